package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicemoor.node.Counters.Name;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;

/**
 * A reload switches to a coordinator that accepts connections but does not answer yet: until it does, updates from the
 * previous coordinator must still be applied.
 */
class CoordinatorMoveTest extends SocketRig {

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
