package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters;
import pumicemoor.node.Counters.Name;

/** Frames received in part: their memory is bounded over all connections, the largest go first. */
class FrameDecoderTest {

    private static final int MAX_FRAME_BYTES = 262_144;
    private static final int MAX_PARTIAL_BYTES = 1_000_000;

    private final Counters counters = new Counters();
    private final PartialFrames partialFrames = new PartialFrames(MAX_PARTIAL_BYTES, counters);
    private final List<EmbeddedChannel> channels = new ArrayList<>();

    private EmbeddedChannel connect() {
        EmbeddedChannel channel = new EmbeddedChannel(
                new FrameDecoder(MAX_FRAME_BYTES, partialFrames, new ReadTurns(task -> {}, () -> 0)));
        channels.add(channel);
        return channel;
    }

    @AfterEach
    void close() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
        assertEquals(0, partialFrames.bytes(), "memory of frames whose connections have ended");
        assertEquals(0, partialFrames.connections());
    }

    private static ByteBuf frameStart(int length, int stream, int sentBytes) {
        ByteBuf frame = Unpooled.buffer()
                .writeInt(length)
                .writeByte(ClientFrame.REQUEST)
                .writeInt(stream);
        return frame.writeZero(sentBytes - frame.readableBytes());
    }

    @Test
    void partialFramesOfManyConnectionsStayWithinTheirLimit() {
        for (int i = 0; i < 200; i++) {
            EmbeddedChannel channel = connect();
            channel.writeInbound(frameStart(MAX_FRAME_BYTES, 1, 100_000));
            channel.writeInbound(Unpooled.buffer().writeZero(162_146));
            assertTrue(partialFrames.bytes() <= MAX_PARTIAL_BYTES, "held: " + partialFrames.bytes());
        }
        assertTrue(counters.get(Name.FRAMES_DROPPED) > 0);
    }

    @Test
    void smallPartialFrameIsKeptWhereLargeOnesAreDropped() {
        EmbeddedChannel small = connect();
        small.writeInbound(frameStart(400, 7, 300));
        for (int i = 0; i < 50; i++) {
            connect().writeInbound(frameStart(MAX_FRAME_BYTES, 1, 200_000));
        }
        small.writeInbound(Unpooled.buffer().writeZero(104));
        ByteBuf frame = small.readInbound();
        assertEquals(400, frame.readableBytes());
        assertEquals(7, frame.getInt(frame.readerIndex() + 1));
        frame.release();
    }

    @Test
    void droppedFrameIsReportedAtItsEndAndTheNextFrameIsDecoded() {
        EmbeddedChannel large = connect();
        large.writeInbound(frameStart(MAX_FRAME_BYTES, 9, 250_000));
        for (int i = 0; i < 4; i++) {
            connect().writeInbound(frameStart(MAX_FRAME_BYTES, 1, 240_000));
        }
        assertEquals(1, counters.get(Name.FRAMES_DROPPED));
        large.writeInbound(Unpooled.buffer().writeZero(MAX_FRAME_BYTES + 4 - 250_000 - 1));
        assertTrue(large.inboundMessages().isEmpty(), "the frame has not ended yet");
        large.writeInbound(Unpooled.buffer()
                .writeZero(1)
                .writeInt(5)
                .writeByte(ClientFrame.CANCEL)
                .writeInt(3));
        FrameDecoder.DroppedFrame dropped = large.readInbound();
        assertEquals(ClientFrame.REQUEST, dropped.type());
        assertEquals(9, dropped.stream());
        assertEquals(1_024, dropped.payloadStart().readableBytes(), "no more of a dropped frame is kept");
        ByteBuf next = large.readInbound();
        assertEquals(3, next.getInt(next.readerIndex() + 1));
        next.release();
    }

    @Test
    void lengthFieldAloneReservesNoMemory() {
        for (int i = 0; i < 100; i++) {
            connect().writeInbound(frameStart(MAX_FRAME_BYTES, 1, 9));
        }
        assertTrue(partialFrames.bytes() <= 100 * 256, "held: " + partialFrames.bytes());
        assertEquals(0, counters.get(Name.FRAMES_DROPPED));
    }

    @Test
    void frameIsDecodedWhereverItsBytesAreSplit() {
        for (int split = 1; split < 304; split++) {
            EmbeddedChannel channel = connect();
            ByteBuf whole = frameStart(300, 5, 304);
            channel.writeInbound(whole.readRetainedSlice(split));
            assertTrue(channel.inboundMessages().isEmpty());
            channel.writeInbound(whole);
            ByteBuf frame = channel.readInbound();
            assertEquals(300, frame.readableBytes(), "split after " + split);
            frame.release();
            assertFalse(channel.pipeline().get(FrameDecoder.class).hasPartialFrame());
        }
    }
}
