package pumicemoor.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Base64;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.RequestMemberList;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.CloseIdle;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.Log;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Probe;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.SendToPeer;
import pumicemoor.RouterApi.WatchMembers;

/** Writes the actions of instances as lines of a reply. */
final class ActionWriter {

    private static final int JOIN = 1;
    private static final int ONLY_IF_HELD = 2;
    private static final int PASS_PARENT = 4;
    private static final int RENEW = 8;

    private final JsonGenerator json;

    ActionWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(out);
        json.setRootValueSeparator(null);
        json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    }

    /** Closes the reply to a batch and flushes it. */
    void end(long round, OutputStream out) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", "End");
        json.writeNumberField("round", round);
        endLine();
        json.flush();
        out.flush();
    }

    void fault(int router, String text) throws IOException {
        start("BailOut", router);
        json.writeStringField("message", text);
        endLine();
    }

    void write(int router, Action action) throws IOException {
        if (action instanceof Fetch a) {
            start("Get", router);
            json.writeStringField("id", a.id());
            json.writeNumberField("server", a.member());
            json.writeNumberField("from-where", a.source());
            json.writeNumberField("store-as", a.keepRank());
            json.writeNumberField("how-old-us", a.maxAge());
            json.writeNumberField(
                    "opts",
                    (a.join() ? JOIN : 0)
                            | (a.onlyIfCached() ? ONLY_IF_HELD : 0)
                            | (a.bypassParent() ? PASS_PARENT : 0)
                            | (a.renew() ? RENEW : 0));
            json.writeNumberField("try-for-us", a.timeout());
        } else if (action instanceof Lookup a) {
            start("Try", router);
            json.writeStringField("id", a.id());
            json.writeNumberField("server", a.member());
            json.writeNumberField("try-for-us", a.timeout());
        } else if (action instanceof Refuse a) {
            start("Refuse", router);
            json.writeStringField("id", a.id());
            if (a.retryAfter() > 0) {
                json.writeNumberField("cool-down-us", a.retryAfter());
            }
        } else if (action instanceof Fail a) {
            start("Surrender", router);
            json.writeStringField("id", a.id());
        } else if (action instanceof Cancel a) {
            start("Revoke", router);
            json.writeStringField("id", a.id());
            json.writeNumberField("trial", a.attempt());
        } else if (action instanceof Probe a) {
            start("Sample", router);
            json.writeNumberField("server", a.member());
        } else if (action instanceof CloseIdle a) {
            start("HangUp", router);
            json.writeNumberField("server", a.member());
        } else if (action instanceof SetTimer a) {
            start("SetAlarm", router);
            json.writeNumberField("in-us", a.delay());
            json.writeNumberField("cookie", a.token());
        } else if (action instanceof SendToPeer a) {
            start("Tell", router);
            if (a.router() < 0) {
                json.writeStringField("dest", "all");
            } else {
                json.writeNumberField("dest", a.router());
            }
            json.writeStringField("bytes", Base64.getEncoder().encodeToString(a.payload()));
        } else if (action instanceof WatchMembers a) {
            start("Listen", router);
            json.writeBooleanField("on", a.enabled());
        } else if (action instanceof RequestMemberList) {
            start("ListAll", router);
        } else if (action instanceof Log a) {
            start("SayLog", router);
            json.writeStringField("message", a.text());
        }
        endLine();
    }

    private void start(String name, int router) throws IOException {
        json.writeStartObject();
        json.writeStringField("msg", name);
        json.writeNumberField("router", router);
    }

    private void endLine() throws IOException {
        json.writeEndObject();
        json.writeRaw('\n');
    }
}
