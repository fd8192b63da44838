package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decoding of the coordinator's stream, however its bytes are split. */
class ServerSentEventsTest {

    private final List<String> events = new ArrayList<>();
    private final ServerSentEvents stream = new ServerSentEvents(events::add);

    private void receive(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        stream.decode(bytes);
        bytes.release();
    }

    @Test
    void eventsAreDecodedWhereverTheInputIsSplit() {
        String text = ": hello\n\nid: 1\ndata: {\"a\":\"ü\"}\n\n:\r\nid:2\r\ndata:x\r\ndata: y\r\n\r\nevent: z\n\n";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= bytes.length; split++) {
            events.clear();
            ServerSentEvents splitStream = new ServerSentEvents(events::add);
            splitStream.decode(Unpooled.wrappedBuffer(bytes, 0, split));
            splitStream.decode(Unpooled.wrappedBuffer(bytes, split, bytes.length - split));
            assertEquals(List.of("{\"a\":\"ü\"}", "x\ny"), events, "split at " + split);
        }
    }

    @Test
    void incompleteEventIsNotDelivered() {
        receive("id: 1\ndata: {}\n");
        assertEquals(List.of(), events);
        receive("\n");
        assertEquals(List.of("{}"), events);
    }

    @Test
    void eventOverTheSizeLimitIsRejected() {
        String chunk = "x".repeat(1 << 20);
        assertThrows(TooLongFrameException.class, () -> {
            for (int i = 0; i < 5; i++) {
                receive(chunk);
            }
        });
    }
}
