package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters;

/** The order in which client connections have the event loop, on a clock that moves with each frame. */
class ReadTurnsTest {

    private static final long FRAME_NANOS = TimeUnit.MICROSECONDS.toNanos(200); // that handling one frame takes

    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final List<String> handled = new ArrayList<>(); // the connection of each frame
    private final List<String> completedReads = new ArrayList<>();
    private long nanos;
    private final ReadTurns turns = new ReadTurns(tasks::add, () -> nanos);

    @AfterEach
    void stop() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    private EmbeddedChannel connect(String name) {
        FrameDecoder decoder = new FrameDecoder(1_000, new PartialFrames(1_000, new Counters()), turns);
        EmbeddedChannel channel = new EmbeddedChannel(decoder, new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ((ByteBuf) message).release();
                nanos += FRAME_NANOS;
                handled.add(name);
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext ctx) {
                completedReads.add(name);
            }
        });
        channels.add(channel);
        return channel;
    }

    private static void send(EmbeddedChannel channel, int frames) {
        ByteBuf all = Unpooled.buffer();
        for (int i = 0; i < frames; i++) {
            all.writeInt(5).writeByte(ClientFrame.CANCEL).writeInt(1);
        }
        channel.writeInbound(all);
    }

    private void runLoop() {
        for (int pending = tasks.size(); pending > 0; pending--) {
            tasks.poll().run();
        }
    }

    /** Guards against a client that has the loop for as long as it sends. */
    @Test
    void aConnectionThatHasSentMuchWaitsForTheOthersAfterEachTurn() {
        EmbeddedChannel first = connect("a");
        EmbeddedChannel second = connect("b");
        send(first, 7);
        send(second, 1);
        assertEquals(List.of("a", "a", "a"), handled, "then its turn is over");
        assertFalse(first.config().isAutoRead(), "nothing more is read meanwhile");
        assertTrue(completedReads.isEmpty());
        runLoop();
        assertEquals(List.of("a", "a", "a", "a", "a", "a", "b", "a"), handled);
        assertEquals(List.of("b", "a"), completedReads);
        assertTrue(first.config().isAutoRead());
    }

    /** Guards against a turn of the loop that grows with the number of clients that send. */
    @Test
    void allConnectionsTogetherHaveTheLoopForALimitedTime() {
        for (int i = 0; i < 100; i++) {
            send(connect("c" + i), 3);
        }
        assertEquals(51, handled.size(), "10 ms, of 200 us each, and the end of the last turn");
        runLoop();
        assertEquals(102, handled.size());
        for (int turn = 0; turn < 10; turn++) {
            runLoop();
        }
        assertEquals(300, handled.size());
        assertTrue(tasks.isEmpty());
    }

    @Test
    void whatWaitsIsReleasedWithItsConnectionAndAtTheEndOfTheProcessDecoded() {
        EmbeddedChannel first = connect("a");
        EmbeddedChannel second = connect("b");
        send(first, 7);
        send(second, 7);
        first.close();
        turns.finish();
        assertEquals(7, handled.stream().filter("b"::equals).count());
        runLoop();
        assertEquals(10, handled.size());
    }
}
