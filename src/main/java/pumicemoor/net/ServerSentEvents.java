package pumicemoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts a text/event-stream into the data of its events, wherever the input is split. It owns the line and
 * the event that are coming in, and must never hand on an event before the empty line that ends it.
 */
final class ServerSentEvents {

    private static final int LONGEST = 4 * 1_048_576;

    private final Consumer<String> sink;
    private boolean heard;
    private boolean commented; // a comment has come before
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private StringBuilder data;
    private boolean afterReturn;

    ServerSentEvents(Consumer<String> sink) {
        this.sink = sink;
    }

    void take(ByteBuf in) {
        while (in.isReadable()) {
            byte b = in.readByte();
            if (b == '\n' && afterReturn) {
                afterReturn = false;
            } else if (b == '\n' || b == '\r') {
                afterReturn = b == '\r';
                line(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                afterReturn = false;
                line.write(b);
                if (line.size() + (data == null ? 0 : data.length()) > LONGEST) {
                    throw new TooLongFrameException("an event of more than " + LONGEST + " bytes");
                }
            }
        }
    }

    /**
     * Whether a sign that all was told has come since this was asked last: a comment, which comes each second, but not
     * the stream's first, which may stand before what was missed. An event alone says nothing of those behind it.
     */
    boolean heard() {
        boolean was = heard;
        heard = false;
        return was;
    }

    private void line(String text) {
        if (text.startsWith(":")) {
            heard |= commented;
            commented = true;
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
