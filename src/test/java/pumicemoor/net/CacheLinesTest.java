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

/** The pooled connections to members, against a listener that a test answers by hand, on a clock it sets. */
class CacheLinesTest {

    private static final int PATIENCE = 20_000; // milliseconds; far above anything waited for here

    private final TestLoop loop = new TestLoop();
    private final BlockingQueue<Got> got = new LinkedBlockingQueue<>();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServerSocket listener;
    private Thread accepting;
    private ResourceLimits limits;
    private CacheLines lines;

    /** A line that the member was sent, and the connection it came on. */
    private record Got(Socket from, String line) {}

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:1", ""));
        limits = ResourceLimits.of(config.words().settings(), config.figures());
        lines = new CacheLines(
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
                    Thread each = new Thread(() -> read(socket));
                    each.setDaemon(true);
                    each.start();
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
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (b != '\n') {
                    line.append((char) b);
                } else {
                    if (line.length() > 1) {
                        got.add(new Got(socket, line.toString().strip()));
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
        onLoop(lines::closeAll);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void onLoop(Runnable what) throws Exception {
        group.submit(what).sync();
    }

    private Effect.SendAttempt ask(long attempt, String id) {
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

    private Got sent(long attempt, String id) throws Exception {
        onLoop(() -> lines.ask(ask(attempt, id)));
        assertEquals(new Input.Written(attempt), next());
        Got line = got.poll(PATIENCE, TimeUnit.MILLISECONDS);
        assertEquals("ASK " + id + " cls=segment,item=o,chunk=0,limit=100 0", line.line());
        return line;
    }

    private Input next() throws InterruptedException {
        Input input = loop.inputs.poll(PATIENCE, TimeUnit.MILLISECONDS);
        assertNotNull(input, "nothing came");
        return input;
    }

    private void quit(long attempt) throws Exception {
        onLoop(() -> lines.quit(new Effect.AbandonAttempt(attempt, true)));
    }

    private static void answer(Got to, String id, String word) throws IOException {
        to.from()
                .getOutputStream()
                .write((id + " " + word + (word.equals("data") ? " entity=e1,issued=17 0\r\n\r\n" : " - 0\r\n\r\n"))
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static boolean same(Got one, Got other) {
        return one.from() == other.from();
    }

    @Test
    void requestsShareAConnectionButNoIdStandsTwiceOnIt() throws Exception {
        Got first = sent(1, "a");
        assertEquals(true, same(first, sent(2, "b")));
        Got again = sent(3, "a");
        assertEquals(false, same(first, again));
        answer(again, "a", "absent");
        answer(first, "a", "full");
        Input.Answered one = (Input.Answered) next();
        Input.Answered two = (Input.Answered) next();
        assertEquals(Input.AnswerStatus.ABSENT, one.attempt() == 3 ? one.status() : two.status());
        assertEquals(Input.AnswerStatus.FULL, one.attempt() == 1 ? one.status() : two.status());
    }

    @Test
    void anAnswerThatCrossesAQuitIsNotTakenForTheNextAttempt() throws Exception {
        Got first = sent(1, "a");
        quit(1);
        assertEquals("QUIT a", got.poll(PATIENCE, TimeUnit.MILLISECONDS).line());
        Got second = sent(2, "a");
        assertEquals(false, same(first, second));
        answer(first, "a", "data");
        Got third = sent(3, "b");
        assertEquals(true, same(first, third));
        answer(third, "b", "failed");
        assertEquals(new Input.Answered(3, Input.AnswerStatus.FAILED, null, java.util.Map.of(), Bytes.NONE), next());
        answer(second, "a", "absent");
        assertEquals(2, ((Input.Answered) next()).attempt());
    }

    @Test
    void aRequestTakenBackBeforeItIsWrittenNeverLeaves() throws Exception {
        onLoop(() -> {
            lines.ask(ask(1, "a")); // the connection is not up yet
            lines.quit(new Effect.AbandonAttempt(1, true));
            lines.ask(ask(2, "b"));
        });
        assertEquals(new Input.Written(2), next());
        assertEquals(
                "ASK b cls=segment,item=o,chunk=0,limit=100 0",
                got.poll(PATIENCE, TimeUnit.MILLISECONDS).line());
    }

    @Test
    void aRequestThatWaitedTooLongForItsConnectionIsNotWrittenThoughItsTimeOutComesLater() throws Exception {
        onLoop(() -> {
            lines.ask(ask(1, "a"));
            loop.time += limits.unwritten() + 1; // the loop is held up; the connection comes up meanwhile
            lines.ask(ask(2, "b"));
        });
        assertEquals(new Input.NeverSent(1), next());
        assertEquals(new Input.Written(2), next());
        assertEquals(
                "ASK b cls=segment,item=o,chunk=0,limit=100 0",
                got.poll(PATIENCE, TimeUnit.MILLISECONDS).line());
    }

    @Test
    void whenAConnectionEndsWhatWasWrittenMayHaveRun() throws Exception {
        Got first = sent(1, "a");
        first.from().close();
        assertEquals(new Input.ConnectionLost(1), next());
        assertEquals(false, same(first, sent(2, "b")));
    }

    @Test
    void whenNoConnectionComesUpNothingRan() throws Exception {
        Effect.SendAttempt ask = ask(1, "a");
        listener.close();
        accepting.join(PATIENCE); // the system accepts connections for as long as a thread waits for one
        onLoop(() -> lines.ask(ask));
        assertEquals(new Input.NeverSent(1), next());
    }

    @Test
    void whenNoSocketCanBeOpenedNothingRanAndTheLoopIsTold() throws Exception {
        CacheLines without = new CacheLines(
                new Bootstrap().group(group).channelFactory(() -> {
                    throw new ChannelException("no descriptor is left");
                }),
                limits,
                new BufferBudget(() -> 0, 1_000_000),
                new Counters(),
                loop);
        onLoop(() -> without.ask(ask(1, "a")));
        assertEquals(new Input.NeverSent(1), next());
        assertEquals(true, group.next().inEventLoop(loop.submitter), "told on the loop's own thread");
    }

    @Test
    void aConnectionThatFellSilentIsUsedForNothingNew() throws Exception {
        Got first = sent(1, "a");
        sent(2, "b");
        loop.time += limits.connectTimeout() + 1;
        quit(1);
        got.poll(PATIENCE, TimeUnit.MILLISECONDS);
        Got next = sent(3, "c");
        assertEquals(false, same(first, next));
        answer(first, "b", "absent");
        assertEquals(2, ((Input.Answered) next()).attempt());
    }

    @Test
    void aConnectionThatWasHeardGoesOnAfterAQuit() throws Exception {
        Got first = sent(1, "a");
        sent(2, "b");
        loop.time += 1;
        answer(first, "b", "absent");
        next();
        loop.time += limits.connectTimeout() + 1;
        quit(1);
        got.poll(PATIENCE, TimeUnit.MILLISECONDS);
        assertEquals(true, same(first, sent(3, "c")));
    }

    @Test
    void anIdleConnectionIsClosedBeforeTheOtherSideDoes() throws Exception {
        Got first = sent(1, "a");
        answer(first, "a", "absent");
        next();
        loop.time += limits.lineIdle() + 1;
        onLoop(() -> lines.sweep(loop.time));
        assertEquals(false, same(first, sent(2, "b")));
    }

    @Test
    void garbageFromAMemberEndsTheConnectionAndItsAttempts() throws Exception {
        Got first = sent(1, "a");
        first.from().getOutputStream().write("what is this\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(new Input.ConnectionLost(1), next());
    }

    @Test
    void connectionsOpenedBeforeAMembersStartAreDropped() throws Exception {
        sent(1, "a");
        onLoop(() -> lines.drop("s-1", loop.time));
        onLoop(() -> lines.drop("s-1", loop.time + 1));
        assertEquals(new Input.ConnectionLost(1), next());
    }

    private static void raw(Got to, String text) throws IOException {
        to.from().getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void anAnswerThatCannotBeReadEndsAllOnItsConnection() throws Exception {
        String[] spoilt = {
            "a data entity=e 0\r\n\r\n",
            "a data issued=1 0\r\n\r\n",
            "a data entity=e,issued=x 0\r\n\r\n",
            "a data entity=,issued=1 0\r\n\r\n",
            "a data entity=e,issued=1,% 0\r\n\r\n",
            "a strange - 0\r\n\r\n",
            "a unchanged entity=e,issued=1 0\r\n\r\n",
            "zz strange - 0\r\n\r\n"
        };
        for (String text : spoilt) {
            Got first = sent(1, "a");
            sent(2, "b");
            raw(first, text);
            assertEquals(
                    java.util.Set.of(new Input.ConnectionLost(1), new Input.ConnectionLost(2)), java.util.Set.of(next(), next()), text);
        }
    }

    @Test
    void aGoodAnswerThatNobodyAskedForHarmsNothing() throws Exception {
        Got first = sent(1, "a");
        raw(first, "zz data entity=e,issued=1 3\r\nabc\r\nzz unchanged entity=e,issued=1 0\r\n\r\n");
        answer(first, "a", "full");
        assertEquals(Input.AnswerStatus.FULL, ((Input.Answered) next()).status());
        assertEquals(true, same(first, sent(2, "b")));
    }

    @Test
    void theSecondCopyOfAnAnswerIsNotTakenForALaterAskOfTheSameId() throws Exception {
        Got first = sent(1, "a");
        answer(first, "a", "absent");
        assertEquals(1, ((Input.Answered) next()).attempt());
        Got second = sent(2, "a");
        assertEquals(false, same(first, second));
        answer(first, "a", "absent");
        answer(second, "a", "full");
        assertEquals(Input.AnswerStatus.FULL, ((Input.Answered) next()).status());
    }

    @Test
    void whereNoOtherConnectionIsLeftAnAnsweredIdIsAskedAgainButNotOneGivenUp() throws Exception {
        for (int i = 1; i <= limits.linesPerMember() + 1; i++) {
            answer(sent(i, "a"), "a", "failed");
            assertEquals(i, ((Input.Answered) next()).attempt());
        }
        for (int i = 1; i <= limits.linesPerMember(); i++) {
            sent(100 + i, "b");
            quit(100 + i);
            got.poll(PATIENCE, TimeUnit.MILLISECONDS);
        }
        onLoop(() -> lines.ask(ask(200, "b")));
        assertEquals(new Input.NoConnectionAvailable(200), next());
    }

    @Test
    void anIdIsForgottenOnceNobodyCanAskForItAnyMore() throws Exception {
        Got first = sent(1, "a");
        answer(first, "a", "absent");
        next();
        loop.time += limits.idKept() + 1;
        Got other = sent(2, "b");
        answer(other, "b", "absent");
        next();
        assertEquals(true, same(first, sent(3, "a")));
    }

    @Test
    void aConnectionThatShowsNoSignOfLifeIsClosedAndOneThatDoesIsNot() throws Exception {
        Got first = sent(1, "a");
        loop.time += limits.lineQuiet() + 1;
        onLoop(() -> lines.sweep(loop.time));
        assertEquals("NOOP life", got.poll(PATIENCE, TimeUnit.MILLISECONDS).line());
        raw(first, "life well - 0\r\n\r\n");
        Got second = sent(2, "b");
        raw(first, "b absent - 0\r\n\r\n");
        assertEquals(2, ((Input.Answered) next()).attempt());
        assertEquals(true, same(first, second));
        onLoop(() -> {}); // what has come is taken in to its end
        loop.time += limits.lineQuiet() + 1;
        onLoop(() -> lines.sweep(loop.time));
        assertEquals("NOOP life", got.poll(PATIENCE, TimeUnit.MILLISECONDS).line());
        loop.time += limits.lineDead();
        onLoop(() -> lines.sweep(loop.time));
        loop.time += 1;
        onLoop(() -> lines.sweep(loop.time));
        assertEquals(new Input.ConnectionLost(1), next());
    }

    @Test
    void atTheBoundOnAllConnectionsTheOneUnusedForLongestGoesAndWithoutSuchTheAttemptNeverRan() throws Exception {
        NodeConfig small = NodeTestConfig.parse(
                NodeTestConfig.json("127.0.0.1:1", "").replace("\"sockets\":1024", "\"sockets\":32"));
        limits = ResourceLimits.of(small.words().settings(), small.figures());
        lines = new CacheLines(
                new Bootstrap().group(group).channel(NioSocketChannel.class),
                limits,
                new BufferBudget(() -> 0, 1_000_000),
                new Counters(),
                loop);
        Got oldest = null;
        for (int i = 1; i <= limits.lines(); i++) {
            loop.time++;
            Effect.SendAttempt ask = askOf("s-" + i, i);
            onLoop(() -> lines.ask(ask));
            assertEquals(new Input.Written(i), next());
            Got line = got.poll(PATIENCE, TimeUnit.MILLISECONDS);
            oldest = oldest == null ? line : oldest;
        }
        Effect.SendAttempt another = askOf("s-another", 100);
        onLoop(() -> lines.ask(another));
        assertEquals(new Input.NoConnectionAvailable(100), next(), "all are in use");
        answer(oldest, "i1", "absent");
        assertEquals(1, ((Input.Answered) next()).attempt());
        onLoop(() -> lines.ask(another));
        assertEquals(new Input.Written(100), next());
        assertEquals(-1, oldest.from().getInputStream().read(), "it gave its place");
    }

    private Effect.SendAttempt askOf(String instance, long attempt) {
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
    void anAnswerThatStopsShortEndsItsConnection() throws Exception {
        Got first = sent(1, "a");
        sent(2, "b");
        raw(first, "b absent - 0\r\n\r\na data entity=e,issued=1 10\r\nhalf");
        assertEquals(2, ((Input.Answered) next()).attempt());
        onLoop(() -> {}); // what has come is taken in to its end
        loop.time += limits.lineQuiet() + limits.lineDead() + 1;
        onLoop(() -> lines.sweep(loop.time));
        assertEquals(new Input.ConnectionLost(1), next());
    }
}
