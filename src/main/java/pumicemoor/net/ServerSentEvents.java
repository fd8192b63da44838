package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Decodes a text/event-stream into the data of its events, however the input is split. It owns the line and the event
 * being received, and must never deliver an event before the empty line that ends it.
 */
final class ServerSentEvents {

    private static final int MAX_EVENT_BYTES = 4 * 1_048_576;

    private final Consumer<String> sink;
    private boolean heartbeatReceived;
    private boolean firstCommentReceived;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private StringBuilder data;
    private boolean afterCarriageReturn;

    ServerSentEvents(Consumer<String> sink) {
        this.sink = sink;
    }

    void decode(ByteBuf in) {
        while (in.isReadable()) {
            byte next = in.readByte();
            if (next == '\n' && afterCarriageReturn) {
                afterCarriageReturn = false;
            } else if (next == '\n' || next == '\r') {
                afterCarriageReturn = next == '\r';
                handleLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                afterCarriageReturn = false;
                line.write(next);
                if (line.size() + (data == null ? 0 : data.length()) > MAX_EVENT_BYTES) {
                    throw new TooLongFrameException("event exceeds " + MAX_EVENT_BYTES + " bytes");
                }
            }
        }
    }

    /**
     * Whether a heartbeat has been received since the last call. A heartbeat is a comment, sent each second after all
     * events so far; the first comment of a stream does not count, as it may precede the events that were missed. An
     * event is not a heartbeat, as more events may follow it.
     */
    boolean pollHeartbeat() {
        boolean received = heartbeatReceived;
        heartbeatReceived = false;
        return received;
    }

    private void handleLine(String text) {
        if (text.startsWith(":")) {
            heartbeatReceived |= firstCommentReceived;
            firstCommentReceived = true;
        }
        if (text.isEmpty()) {
            if (data != null) {
                String event = data.toString();
                data = null;
                sink.accept(event);
            }
        } else if (text.startsWith("data:")) {
            data = data == null ? new StringBuilder() : data.append('\n');
            data.append(text, text.startsWith("data: ") ? 6 : 5, text.length());
        }
    }
}
