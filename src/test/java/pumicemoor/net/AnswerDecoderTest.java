package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Decoding of cache servers' answers, however their bytes are split. */
class AnswerDecoderTest {

    private static final String TWO_ANSWERS = "a1 data entity=4be0,issued=17,tell=mem,meter=inflight:7;util:0.61 6\r\n"
            + "\r\nB\r\n\0\r\nb2 absent - 0\r\n\r\n";

    private long usedBytes;
    private final BufferBudget budget = new BufferBudget(() -> usedBytes, 1_000);

    private EmbeddedChannel channel() {
        return new EmbeddedChannel(new AnswerDecoder(256, 500, budget));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static void checkTwoAnswers(EmbeddedChannel channel) {
        AnswerDecoder.Answer first = channel.readInbound();
        assertEquals("a1", first.id());
        assertEquals("data", first.status());
        assertEquals("mem", first.fields().get("tell"));
        assertEquals(
                Map.of("inflight", 7.0, "util", 0.61),
                CacheProtocol.load(first.fields().get("meter")));
        assertEquals("\r\nB\r\n\0", first.body().toString(StandardCharsets.ISO_8859_1));
        first.body().release();
        AnswerDecoder.Answer second = channel.readInbound();
        assertEquals("b2", second.id());
        assertEquals("absent", second.status());
        assertFalse(second.body().isReadable());
        second.body().release();
        assertNull(channel.readInbound());
    }

    @Test
    void answersAreDecodedWhereverTheInputIsSplit() {
        for (int split = 0; split <= TWO_ANSWERS.length(); split++) {
            EmbeddedChannel channel = channel();
            channel.writeInbound(bytes(TWO_ANSWERS.substring(0, split)));
            channel.writeInbound(bytes(TWO_ANSWERS.substring(split)));
            checkTwoAnswers(channel);
            assertFalse(channel.finish());
        }
        EmbeddedChannel channel = channel();
        for (char character : TWO_ANSWERS.toCharArray()) {
            channel.writeInbound(bytes(String.valueOf(character)));
        }
        checkTwoAnswers(channel);
        assertFalse(channel.finish());
    }

    @Test
    void incompleteAnswerIsNotPassedOnAndItsBufferIsReleased() {
        EmbeddedChannel channel = channel();
        channel.writeInbound(bytes("a1 data - 400\r\n" + "x".repeat(399)));
        assertNull(channel.readInbound());
        assertFalse(channel.finish());
    }

    @Test
    void oversizedInputEndsTheConnection() {
        EmbeddedChannel longHead = channel();
        assertThrows(TooLongFrameException.class, () -> longHead.writeInbound(bytes("x".repeat(300))));
        longHead.finishAndReleaseAll();
        EmbeddedChannel longBody = channel();
        assertThrows(DecoderException.class, () -> longBody.writeInbound(bytes("a1 data - 501\r\n")));
        longBody.finishAndReleaseAll();
    }

    @Test
    void malformedInputEndsTheConnection() {
        for (String malformed : new String[] {
            "\r\n",
            "a1\r\n",
            "a1 data 5\r\n",
            "a1 data - x\r\n",
            "a1 data - -1\r\n",
            "a1 data - 2\r\nabc\r\n",
            "a1 data - 99999999999\r\n",
            "a  data - 1 1\r\n"
        }) {
            EmbeddedChannel channel = channel();
            assertThrows(DecoderException.class, () -> channel.writeInbound(bytes(malformed)), malformed);
            channel.finishAndReleaseAll();
        }
    }

    @Test
    void readingIsPausedWhileTheBudgetHasNoCapacity() {
        usedBytes = 999;
        EmbeddedChannel channel = channel();
        channel.writeInbound(bytes(TWO_ANSWERS));
        assertNull(channel.readInbound());
        assertFalse(channel.config().isAutoRead());
        budget.resume();
        assertNull(channel.readInbound(), "there is still no capacity");
        usedBytes = 0;
        budget.resume();
        assertTrue(channel.config().isAutoRead());
        checkTwoAnswers(channel);
        assertFalse(channel.finish());
    }

    @Test
    void connectionClosedWhileReadingIsPausedIsNotResumed() {
        usedBytes = 1_001;
        EmbeddedChannel channel = channel();
        channel.writeInbound(bytes(TWO_ANSWERS));
        assertFalse(channel.finish());
        usedBytes = 0;
        budget.resume();
        AnswerDecoder.Answer none = channel.readInbound();
        assertNull(none);
        assertNotNull(channel.closeFuture());
    }
}
