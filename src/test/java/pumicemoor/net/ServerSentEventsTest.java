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

/** The coordinator's stream, however it comes in. */
class ServerSentEventsTest {

    private final List<String> events = new ArrayList<>();
    private final ServerSentEvents stream = new ServerSentEvents(events::add);

    private void take(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        stream.take(bytes);
        bytes.release();
    }

    @Test
    void eventsAreCutWhereverTheInputIsSplit() {
        String text = ": hello\n\nid: 1\ndata: {\"a\":\"ü\"}\n\n:\r\nid:2\r\ndata:x\r\ndata: y\r\n\r\nevent: z\n\n";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= bytes.length; split++) {
            events.clear();
            ServerSentEvents fresh = new ServerSentEvents(events::add);
            fresh.take(Unpooled.wrappedBuffer(bytes, 0, split));
            fresh.take(Unpooled.wrappedBuffer(bytes, split, bytes.length - split));
            assertEquals(List.of("{\"a\":\"ü\"}", "x\ny"), events, "split at " + split);
        }
    }

    @Test
    void halfAnEventIsNotHandedOn() {
        take("id: 1\ndata: {}\n");
        assertEquals(List.of(), events);
        take("\n");
        assertEquals(List.of("{}"), events);
    }

    @Test
    void anEventWithoutEndIsNotCollectedForEver() {
        String much = "x".repeat(1 << 20);
        assertThrows(TooLongFrameException.class, () -> {
            for (int i = 0; i < 5; i++) {
                take(much);
            }
        });
    }
}
