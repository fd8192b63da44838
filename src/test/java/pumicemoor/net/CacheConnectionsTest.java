package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Bytes;
import pumicemoor.node.Counters;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.node.ResourceLimits;

/**
 * The pooled connections to members, against a listener whose answers each test writes, on a clock that the test sets.
 */
class CacheConnectionsTest {

    private static final int TIMEOUT_MILLIS = 20_000; // far above any expected wait

    private final TestLoop loop = new TestLoop();
    private final BlockingQueue<ReceivedLine> received = new LinkedBlockingQueue<>();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServerSocket listener;
    private Thread accepting;
    private ResourceLimits limits;
    private CacheConnections connections;

    /** A line that the member received, and the connection it came on. */
    private record ReceivedLine(Socket from, String line) {}

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:1", ""));
        limits = ResourceLimits.of(config.settingsReader().settings(), config.resources());
        connections = new CacheConnections(
                new Bootstrap().group(group).channel(NioSocketChannel.class),
                limits,
                new BufferBudget(() -> 0, 1_000_000),
                new Counters(),
                loop);
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        accepting = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    Thread worker = new Thread(() -> read(socket));
                    worker.setDaemon(true);
                    worker.start();
                }
            } catch (IOException e) {
                // closed at the end of the test
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    private void read(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next != '\n') {
                    line.append((char) next);
                } else {
                    if (line.length() > 1) {
                        received.add(new ReceivedLine(socket, line.toString().strip()));
                    }
                    line.setLength(0);
                }
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    @AfterEach
    void stop() throws Exception {
        listener.close();
        onLoop(connections::closeAll);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void onLoop(Runnable task) throws Exception {
        group.submit(task).sync();
    }

    private Effect.SendAttempt attempt(long attempt, String id) {
        return new Effect.SendAttempt(
                attempt,
                "s-1",
                "127.0.0.1:" + listener.getLocalPort(),
                id,
                "segment",
                "o",
                0,
                100,
                null,
                0,
                0,
                false,
                false,
                false,
                false,
                null,
                true,
                List.of(),
                Bytes.NONE);
    }

    private ReceivedLine sendAndReceive(long attempt, String id) throws Exception {
        onLoop(() -> connections.send(attempt(attempt, id)));
        assertEquals(new Input.AttemptWritten(attempt), next());
        ReceivedLine line = received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals("ASK " + id + " cls=segment,item=o,chunk=0,limit=100 0", line.line());
        return line;
    }

    private Input next() throws InterruptedException {
        Input input = loop.inputs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertNotNull(input, "no input was submitted");
        return input;
    }

    private void abandon(long attempt) throws Exception {
        onLoop(() -> connections.abandon(new Effect.AbandonAttempt(attempt, true)));
    }

    private static void answer(ReceivedLine to, String id, String status) throws IOException {
        to.from()
                .getOutputStream()
                .write((id + " " + status + (status.equals("data") ? " entity=e1,issued=17 0\r\n\r\n" : " - 0\r\n\r\n"))
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static boolean sameConnection(ReceivedLine one, ReceivedLine other) {
        return one.from() == other.from();
    }

    @Test
    void requestsShareAConnectionButNoIdIsInUseTwiceOnIt() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        assertEquals(true, sameConnection(first, sendAndReceive(2, "b")));
        ReceivedLine again = sendAndReceive(3, "a");
        assertEquals(false, sameConnection(first, again));
        answer(again, "a", "absent");
        answer(first, "a", "full");
        Input.AttemptAnswered one = (Input.AttemptAnswered) next();
        Input.AttemptAnswered two = (Input.AttemptAnswered) next();
        assertEquals(Input.AnswerStatus.ABSENT, one.attempt() == 3 ? one.status() : two.status());
        assertEquals(Input.AnswerStatus.FULL, one.attempt() == 1 ? one.status() : two.status());
    }

    @Test
    void answerThatCrossesAQuitIsNotMatchedToTheNextAttempt() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        abandon(1);
        assertEquals(
                "QUIT a", received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).line());
        ReceivedLine second = sendAndReceive(2, "a");
        assertEquals(false, sameConnection(first, second));
        answer(first, "a", "data");
        ReceivedLine third = sendAndReceive(3, "b");
        assertEquals(true, sameConnection(first, third));
        answer(third, "b", "failed");
        assertEquals(
                new Input.AttemptAnswered(3, Input.AnswerStatus.FAILED, null, java.util.Map.of(), Bytes.NONE), next());
        answer(second, "a", "absent");
        assertEquals(2, ((Input.AttemptAnswered) next()).attempt());
    }

    @Test
    void requestAbandonedBeforeItIsWrittenIsNotSent() throws Exception {
        onLoop(() -> {
            connections.send(attempt(1, "a")); // the connection is not established yet
            connections.abandon(new Effect.AbandonAttempt(1, true));
            connections.send(attempt(2, "b"));
        });
        assertEquals(new Input.AttemptWritten(2), next());
        assertEquals(
                "ASK b cls=segment,item=o,chunk=0,limit=100 0",
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).line());
    }

    /** Guards against a request to a member that has gone that reaches another process at its address. */
    @Test
    void requestWhoseMemberGoesBeforeItsConnectionIsEstablishedIsNotSent() throws Exception {
        onLoop(() -> {
            connections.send(attempt(1, "a")); // the connection is not established yet
            connections.retire("s-1");
            connections.send(attempt(2, "b"));
        });
        assertEquals(new Input.AttemptNeverSent(1), next());
        assertEquals(new Input.AttemptWritten(2), next());
        assertEquals(
                "ASK b cls=segment,item=o,chunk=0,limit=100 0",
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).line());
    }

    @Test
    void requestQueuedForTooLongIsNotSentThoughItsTimeoutHasNotFiredYet() throws Exception {
        onLoop(() -> {
            connections.send(attempt(1, "a"));
            loop.time += limits.writeTimeout() + 1; // the loop is stalled while the connection is established
            connections.send(attempt(2, "b"));
        });
        assertEquals(new Input.AttemptNeverSent(1), next());
        assertEquals(new Input.AttemptWritten(2), next());
        assertEquals(
                "ASK b cls=segment,item=o,chunk=0,limit=100 0",
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).line());
    }

    @Test
    void writtenRequestIsReportedAsLostWhenItsConnectionEnds() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        first.from().close();
        assertEquals(new Input.ConnectionLost(1), next());
        assertEquals(false, sameConnection(first, sendAndReceive(2, "b")));
    }

    @Test
    void requestIsReportedAsNeverSentWhenTheConnectFails() throws Exception {
        Effect.SendAttempt attempt = attempt(1, "a");
        listener.close();
        accepting.join(TIMEOUT_MILLIS); // the kernel accepts connections while a thread is blocked in accept
        onLoop(() -> connections.send(attempt));
        assertEquals(new Input.AttemptNeverSent(1), next());
    }

    @Test
    void failureToOpenASocketIsReportedOnTheEventLoop() throws Exception {
        CacheConnections failing = new CacheConnections(
                new Bootstrap().group(group).channelFactory(() -> {
                    throw new ChannelException("no descriptor is left");
                }),
                limits,
                new BufferBudget(() -> 0, 1_000_000),
                new Counters(),
                loop);
        onLoop(() -> failing.send(attempt(1, "a")));
        assertEquals(new Input.AttemptNeverSent(1), next());
        assertEquals(true, group.next().inEventLoop(loop.submitter), "submitted on the event loop's thread");
    }

    @Test
    void silentConnectionTakesNoNewRequests() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        sendAndReceive(2, "b");
        loop.time += limits.connectTimeout() + 1;
        abandon(1);
        received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        ReceivedLine next = sendAndReceive(3, "c");
        assertEquals(false, sameConnection(first, next));
        answer(first, "b", "absent");
        assertEquals(2, ((Input.AttemptAnswered) next()).attempt());
    }

    @Test
    void connectionThatReceivedAnAnswerStaysInUseAfterAQuit() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        sendAndReceive(2, "b");
        loop.time += 1;
        answer(first, "b", "absent");
        next();
        loop.time += limits.connectTimeout() + 1;
        abandon(1);
        received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(true, sameConnection(first, sendAndReceive(3, "c")));
    }

    @Test
    void idleConnectionIsClosed() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        answer(first, "a", "absent");
        next();
        loop.time += limits.connectionIdleTimeout() + 1;
        onLoop(() -> connections.sweep(loop.time));
        assertEquals(false, sameConnection(first, sendAndReceive(2, "b")));
    }

    @Test
    void malformedInputFromAMemberEndsTheConnectionAndItsAttempts() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        first.from().getOutputStream().write("what is this\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(new Input.ConnectionLost(1), next());
    }

    @Test
    void connectionsOpenedBeforeAMembersStartAreClosed() throws Exception {
        sendAndReceive(1, "a");
        onLoop(() -> connections.closeOpenedBefore("s-1", loop.time));
        onLoop(() -> connections.closeOpenedBefore("s-1", loop.time + 1));
        assertEquals(new Input.ConnectionLost(1), next());
    }

    private static void write(ReceivedLine to, String text) throws IOException {
        to.from().getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void invalidAnswerEndsAllAttemptsOnItsConnection() throws Exception {
        String[] invalid = {
            "a data entity=e 0\r\n\r\n",
            "a data issued=1 0\r\n\r\n",
            "a data entity=e,issued=x 0\r\n\r\n",
            "a data entity=,issued=1 0\r\n\r\n",
            "a data entity=e,issued=1,% 0\r\n\r\n",
            "a strange - 0\r\n\r\n",
            "a unchanged entity=e,issued=1 0\r\n\r\n",
            "zz strange - 0\r\n\r\n"
        };
        for (String text : invalid) {
            ReceivedLine first = sendAndReceive(1, "a");
            sendAndReceive(2, "b");
            write(first, text);
            assertEquals(
                    java.util.Set.of(new Input.ConnectionLost(1), new Input.ConnectionLost(2)),
                    java.util.Set.of(next(), next()),
                    text);
        }
    }

    @Test
    void validAnswerToNoKnownRequestIsIgnored() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        write(first, "zz data entity=e,issued=1 3\r\nabc\r\nzz unchanged entity=e,issued=1 0\r\n\r\n");
        answer(first, "a", "full");
        assertEquals(Input.AnswerStatus.FULL, ((Input.AttemptAnswered) next()).status());
        assertEquals(true, sameConnection(first, sendAndReceive(2, "b")));
    }

    @Test
    void duplicateAnswerIsNotMatchedToALaterRequestWithTheSameId() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        answer(first, "a", "absent");
        assertEquals(1, ((Input.AttemptAnswered) next()).attempt());
        ReceivedLine second = sendAndReceive(2, "a");
        assertEquals(false, sameConnection(first, second));
        answer(first, "a", "absent");
        answer(second, "a", "full");
        assertEquals(Input.AnswerStatus.FULL, ((Input.AttemptAnswered) next()).status());
    }

    @Test
    void atTheConnectionLimitAnAnsweredIdIsReusedButNotAnAbandonedOne() throws Exception {
        for (int i = 1; i <= limits.maxConnectionsPerMember() + 1; i++) {
            answer(sendAndReceive(i, "a"), "a", "failed");
            assertEquals(i, ((Input.AttemptAnswered) next()).attempt());
        }
        for (int i = 1; i <= limits.maxConnectionsPerMember(); i++) {
            sendAndReceive(100 + i, "b");
            abandon(100 + i);
            received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        onLoop(() -> connections.send(attempt(200, "b")));
        assertEquals(new Input.NoConnectionAvailable(200), next());
    }

    @Test
    void endedIdIsForgottenAfterItsRetention() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        answer(first, "a", "absent");
        next();
        loop.time += limits.endedIdRetention() + 1;
        ReceivedLine other = sendAndReceive(2, "b");
        answer(other, "b", "absent");
        next();
        assertEquals(true, sameConnection(first, sendAndReceive(3, "a")));
    }

    @Test
    void connectionThatDoesNotAnswerTheProbeIsClosedAndOneThatDoesIsNot() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        loop.time += limits.livenessProbeDelay() + 1;
        onLoop(() -> connections.sweep(loop.time));
        assertEquals(
                "NOOP life",
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).line());
        write(first, "life well - 0\r\n\r\n");
        ReceivedLine second = sendAndReceive(2, "b");
        write(first, "b absent - 0\r\n\r\n");
        assertEquals(2, ((Input.AttemptAnswered) next()).attempt());
        assertEquals(true, sameConnection(first, second));
        onLoop(() -> {}); // all received input is processed
        loop.time += limits.livenessProbeDelay() + 1;
        onLoop(() -> connections.sweep(loop.time));
        assertEquals(
                "NOOP life",
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).line());
        loop.time += limits.livenessProbeTimeout();
        onLoop(() -> connections.sweep(loop.time));
        loop.time += 1;
        onLoop(() -> connections.sweep(loop.time));
        assertEquals(new Input.ConnectionLost(1), next());
    }

    @Test
    void atTheLimitOnAllConnectionsTheLeastRecentlyUsedIdleOneIsClosedElseTheAttemptIsRefused() throws Exception {
        NodeConfig small = NodeTestConfig.parse(
                NodeTestConfig.json("127.0.0.1:1", "").replace("\"sockets\":1024", "\"sockets\":32"));
        limits = ResourceLimits.of(small.settingsReader().settings(), small.resources());
        connections = new CacheConnections(
                new Bootstrap().group(group).channel(NioSocketChannel.class),
                limits,
                new BufferBudget(() -> 0, 1_000_000),
                new Counters(),
                loop);
        ReceivedLine oldest = null;
        for (int i = 1; i <= limits.maxMemberConnections(); i++) {
            loop.time++;
            Effect.SendAttempt attempt = attemptTo("s-" + i, i);
            onLoop(() -> connections.send(attempt));
            assertEquals(new Input.AttemptWritten(i), next());
            ReceivedLine line = received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            oldest = oldest == null ? line : oldest;
        }
        Effect.SendAttempt another = attemptTo("s-another", 100);
        onLoop(() -> connections.send(another));
        assertEquals(new Input.NoConnectionAvailable(100), next(), "all are in use");
        answer(oldest, "i1", "absent");
        assertEquals(1, ((Input.AttemptAnswered) next()).attempt());
        onLoop(() -> connections.send(another));
        assertEquals(new Input.AttemptWritten(100), next());
        assertEquals(-1, oldest.from().getInputStream().read(), "it was closed to free its slot");
    }

    private Effect.SendAttempt attemptTo(String instance, long attempt) {
        return new Effect.SendAttempt(
                attempt,
                instance,
                "127.0.0.1:" + listener.getLocalPort(),
                "i" + attempt,
                "segment",
                "o",
                0,
                100,
                null,
                0,
                0,
                false,
                false,
                false,
                false,
                null,
                true,
                List.of(),
                Bytes.NONE);
    }

    @Test
    void answerThatStallsEndsItsConnection() throws Exception {
        ReceivedLine first = sendAndReceive(1, "a");
        sendAndReceive(2, "b");
        write(first, "b absent - 0\r\n\r\na data entity=e,issued=1 10\r\nhalf");
        assertEquals(2, ((Input.AttemptAnswered) next()).attempt());
        onLoop(() -> {}); // all received input is processed
        loop.time += limits.livenessProbeDelay() + limits.livenessProbeTimeout() + 1;
        onLoop(() -> connections.sweep(loop.time));
        assertEquals(new Input.ConnectionLost(1), next());
    }
}
