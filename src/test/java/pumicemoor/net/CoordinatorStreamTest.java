package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.node.ResourceLimits;

/** One connection to the coordinator, on a clock that the test advances. */
class CoordinatorStreamTest {

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final TestLoop loop = new TestLoop();
    private ResourceLimits limits;
    private CoordinatorStream stream;
    private EmbeddedChannel channel;

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:1", ""));
        limits = ResourceLimits.of(config.settingsReader().settings(), config.resources());
        stream = new CoordinatorStream(
                new Bootstrap().group(group).channel(NioSocketChannel.class), limits, () -> 41, new Counters(), loop);
        channel = new EmbeddedChannel();
        channel.freezeTime();
        channel.pipeline().addLast(stream.handlers());
        channel.pipeline().fireChannelActive();
    }

    @AfterEach
    void stop() throws Exception {
        stream.close();
        channel.finishAndReleaseAll();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private void advanceTime(long micros) {
        channel.advanceTimeBy(micros, TimeUnit.MICROSECONDS);
        channel.runPendingTasks();
    }

    @Test
    void streamIsRequestedFromTheLastAppliedEvent() {
        StringBuilder request = new StringBuilder();
        for (ByteBuf message = channel.readOutbound(); message != null; message = channel.readOutbound()) {
            request.append(message.toString(StandardCharsets.US_ASCII));
            message.release();
        }
        assertTrue(request.toString().startsWith("GET /v2/stream HTTP/1.1\r\n"), request.toString());
        assertTrue(request.toString().toLowerCase().contains("last-event-id: 41\r\n"), request.toString());
    }

    @Test
    void connectionWithoutCommentsTimesOutAndOneWithThemDoesNot() {
        receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        for (int i = 0; i < 10; i++) {
            advanceTime(limits.coordinatorSilenceTimeout() / 2);
            receive(":\n\n");
        }
        assertTrue(channel.isOpen());
        advanceTime(limits.coordinatorSilenceTimeout() + 1_000);
        assertFalse(channel.isOpen());
    }

    @Test
    void requestIsWaitedForLongerThanItsAnswerMayTakeAndNotForever() {
        advanceTime(limits.coordinatorAnswerTimeout() - 1_000);
        assertTrue(channel.isOpen());
        assertTrue(limits.coordinatorAnswerTimeout() > 7_000_000, "events count as told after seven seconds");
        advanceTime(2_000);
        assertFalse(channel.isOpen());
    }

    @Test
    void eventsArePassedOnUnparsed() {
        receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 42\ndata: {\"i\r\n");
        assertEquals(0, loop.inputs.size());
        receive("a\r\nndex\":42}\n\r\n1\r\n\n\r\n");
        assertEquals(List.of(new Input.CoordinatorUpdate("{\"index\":42}")), List.copyOf(loop.inputs));
    }

    /**
     * After a reconnect, missed purges may follow any event: only a comment after all events proves that none is
     * missing.
     */
    @Test
    void missedEventsAreNotHeartbeats() {
        receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n");
        for (int i = 42; i < 52; i++) {
            receive("id: " + i + "\ndata: {\"index\":" + i + "}\n\n");
        }
        assertEquals(10, loop.inputs.size());
        assertTrue(loop.inputs.stream().allMatch(i -> i instanceof Input.CoordinatorUpdate), loop.inputs.toString());
        receive(":\n\n");
        assertEquals(new Input.CoordinatorHeartbeat(), List.copyOf(loop.inputs).get(10));
        receive("id: 52\ndata: {\"index\":52}\n\n");
        assertEquals(12, loop.inputs.size());
    }

    @Test
    void silentStreamIsClosedBeforeUpdatesCountAsOutdated() {
        receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
        advanceTime(1_200_000);
        assertTrue(channel.isOpen(), "a comment is sent each second");
        advanceTime(800_000);
        assertFalse(channel.isOpen(), "two seconds of silence are enough");
        assertTrue(
                limits.coordinatorSilenceTimeout() + limits.coordinatorRetryDelay() + limits.coordinatorConnectTimeout()
                        < 4_000_000);
    }

    @Test
    void onlyCommentsAfterTheFirstAreHeartbeats() {
        receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        assertEquals(0, loop.inputs.size());
        receive(": \n\n");
        assertEquals(0, loop.inputs.size(), "the first comment may precede missed events");
        receive(": \n\n");
        assertEquals(List.of(new Input.CoordinatorHeartbeat()), List.copyOf(loop.inputs));
        receive("\n");
        assertEquals(1, loop.inputs.size(), "an empty line is not a heartbeat");
    }

    @Test
    void incompleteEventIsNotDelivered() {
        receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 42\ndata: {\"index\":42}");
        channel.close();
        assertEquals(0, loop.inputs.size());
    }

    @Test
    void answerOtherThan200ClosesTheConnection() {
        receive("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        assertFalse(channel.isOpen());
    }
}
