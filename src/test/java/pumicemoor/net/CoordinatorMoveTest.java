package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;

/**
 * A reload switches to a coordinator that accepts connections but answers late or not at all: until it does, updates
 * from the previous coordinator must still be applied, and the answer must be waited for.
 */
class CoordinatorMoveTest extends SocketRig {

    private static final long TOLD_SECONDS = 7; // after which an event counts as told, whether it arrived or not

    /** Reads the request and never answers. */
    private final class SilentCoordinator extends StubServer {
        final CountDownLatch requested = new CountDownLatch(1);

        SilentCoordinator() throws IOException {}

        @Override
        void serve(Socket socket) throws IOException {
            line(socket.getInputStream());
            requested.countDown();
            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        }
    }

    /** Answers each stream request only after some seconds, with all events. */
    private final class SlowCoordinator extends StubServer {
        private static final long ANSWER_DELAY_MILLIS = 5_500;

        private final String event;

        SlowCoordinator(String event) throws IOException {
            this.event = event;
        }

        @Override
        void serve(Socket socket) throws IOException {
            while (!line(socket.getInputStream()).isEmpty()) {
                // the request ends with an empty line
            }
            try {
                Thread.sleep(ANSWER_DELAY_MILLIS);
                write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n" + event + "\n\n");
                while (true) {
                    write(socket, ":\n\n");
                    Thread.sleep(COMMENT_INTERVAL_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
    }

    /** Guards against stream requests that are closed for younger ones before a slow coordinator answers (case 9). */
    @Test
    void drainIsAppliedAlthoughTheCoordinatorAnswersEachStreamRequestAfterSeconds() throws Exception {
        Cache cache = new Cache("data");
        Coordinator quick = new Coordinator();
        SlowCoordinator slow = new SlowCoordinator("id: 2\ndata: "
                + NodeTestConfig.list(2, false, NodeTestConfig.member("s-1", cache.address(), "box", "leaving", 0)));
        String initialMembers = NodeTestConfig.list(1, true, member("s-1", cache, "box"));
        start(quick.address(), initialMembers);
        server.reload(
                NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", slow.address(), initialMembers)),
                OperatorConfig.NONE,
                null);
        quick.close();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TOLD_SECONDS);
        while (server.counters().get(Name.UPDATES) < 2 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(5);
        }
        assertEquals(2, server.counters().get(Name.UPDATES));
    }

    @Test
    void drainFromTheOldCoordinatorIsAppliedWhileTheNewOneDoesNotAnswer() throws Exception {
        Cache drainingCache = new Cache("data");
        Cache otherCache = new Cache("data");
        Coordinator oldCoordinator = new Coordinator();
        SilentCoordinator newCoordinator = new SilentCoordinator();
        String initialMembers =
                NodeTestConfig.list(1, true, member("s-1", drainingCache, "box"), member("s-2", otherCache, "box"));
        start(oldCoordinator.address(), initialMembers);
        server.reload(
                NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", newCoordinator.address(), initialMembers)),
                OperatorConfig.NONE,
                null);
        assertTrue(newCoordinator.requested.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        oldCoordinator.events.add("id: 2\ndata: "
                + NodeTestConfig.list(
                        2, false, NodeTestConfig.member("s-1", drainingCache.address(), "box", "leaving", 0)));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (server.counters().get(Name.UPDATES) < 2 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(5);
        }
        assertEquals(2, server.counters().get(Name.UPDATES));
    }
}
