package pumicemoor.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Base64;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.CloseIdle;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.Log;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Probe;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestMemberList;
import pumicemoor.RouterApi.SendToPeer;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.WatchMembers;

/**
 * Writes the actions of the simulated router instances as a reply to a batch: one JSON object a line. A reply is
 * buffered until {@link #endReply} flushes it.
 */
final class ActionWriter {

    // bits of the field 'opts' of a 'Get'
    private static final int JOIN_FLAG = 1;
    private static final int ONLY_IF_CACHED_FLAG = 2;
    private static final int BYPASS_PARENT_FLAG = 4;
    private static final int RENEW_FLAG = 8;

    private final JsonGenerator json;

    ActionWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(out);
        json.setRootValueSeparator(null);
        json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    }

    /** Writes the line that ends the reply to a batch, and flushes the reply. */
    void endReply(long round, OutputStream out) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", "End");
        json.writeNumberField("round", round);
        endObject();
        json.flush();
        out.flush();
    }

    /** Reports an exception that the decisions of a router threw. */
    void writeFault(int router, String text) throws IOException {
        startObject("BailOut", router);
        json.writeStringField("message", text);
        endObject();
    }

    void write(int router, Action action) throws IOException {
        if (action instanceof Fetch fetch) {
            startObject("Get", router);
            json.writeStringField("id", fetch.id());
            json.writeNumberField("server", fetch.member());
            json.writeNumberField("from-where", fetch.source());
            json.writeNumberField("store-as", fetch.keepRank());
            json.writeNumberField("how-old-us", fetch.maxAge());
            json.writeNumberField(
                    "opts",
                    (fetch.join() ? JOIN_FLAG : 0)
                            | (fetch.onlyIfCached() ? ONLY_IF_CACHED_FLAG : 0)
                            | (fetch.bypassParent() ? BYPASS_PARENT_FLAG : 0)
                            | (fetch.renew() ? RENEW_FLAG : 0));
            json.writeNumberField("try-for-us", fetch.timeout());
        } else if (action instanceof Lookup lookup) {
            startObject("Try", router);
            json.writeStringField("id", lookup.id());
            json.writeNumberField("server", lookup.member());
            json.writeNumberField("try-for-us", lookup.timeout());
        } else if (action instanceof Refuse refusal) {
            startObject("Refuse", router);
            json.writeStringField("id", refusal.id());
            if (refusal.retryAfter() > 0) {
                json.writeNumberField("cool-down-us", refusal.retryAfter());
            }
        } else if (action instanceof Fail failure) {
            startObject("Surrender", router);
            json.writeStringField("id", failure.id());
        } else if (action instanceof Cancel cancel) {
            startObject("Revoke", router);
            json.writeStringField("id", cancel.id());
            json.writeNumberField("trial", cancel.attempt());
        } else if (action instanceof Probe probe) {
            startObject("Sample", router);
            json.writeNumberField("server", probe.member());
        } else if (action instanceof CloseIdle closeIdle) {
            startObject("HangUp", router);
            json.writeNumberField("server", closeIdle.member());
        } else if (action instanceof SetTimer timer) {
            startObject("SetAlarm", router);
            json.writeNumberField("in-us", timer.delay());
            json.writeNumberField("cookie", timer.token());
        } else if (action instanceof SendToPeer peerMessage) {
            startObject("Tell", router);
            if (peerMessage.router() < 0) {
                json.writeStringField("dest", "all");
            } else {
                json.writeNumberField("dest", peerMessage.router());
            }
            json.writeStringField("bytes", Base64.getEncoder().encodeToString(peerMessage.payload()));
        } else if (action instanceof WatchMembers watch) {
            startObject("Listen", router);
            json.writeBooleanField("on", watch.enabled());
        } else if (action instanceof RequestMemberList) {
            startObject("ListAll", router);
        } else if (action instanceof Log log) {
            startObject("SayLog", router);
            json.writeStringField("message", log.text());
        }
        endObject();
    }

    private void startObject(String messageName, int router) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", messageName);
        json.writeNumberField("router", router);
    }

    private void endObject() throws IOException {
        json.writeEndObject();
        json.writeRaw('\n');
    }
}
