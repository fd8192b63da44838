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

/** SIGHUP moves discovery to a coordinator that takes connections and does not answer yet. */
class CoordinatorMoveTest extends SocketRig {

    /** Reads what it is asked and says nothing. */
    private final class Mute extends StandIn {
        final CountDownLatch asked = new CountDownLatch(1);

        Mute() throws IOException {}

        @Override
        void serve(Socket socket) throws IOException {
            line(socket.getInputStream());
            asked.countDown();
            socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        }
    }

    @Test
    void aDrainIsAppliedThatTheOldCoordinatorTellsWhileTheNewOneDoesNotAnswer() throws Exception {
        Cache draining = new Cache("data");
        Cache other = new Cache("data");
        Coordinator before = new Coordinator();
        Mute after = new Mute();
        String known = NodeTestConfig.list(1, true, member("s-1", draining, "box"), member("s-2", other, "box"));
        start(before.address(), known);
        server.reload(
                NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", after.address(), known)),
                OperatorConfig.NONE,
                null);
        assertTrue(after.asked.await(PATIENCE, TimeUnit.MILLISECONDS));
        before.events.add("id: 2\ndata: "
                + NodeTestConfig.list(2, false, NodeTestConfig.member("s-1", draining.address(), "box", "leaving", 0)));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (server.counters().get(Name.UPDATES) < 2 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertEquals(2, server.counters().get(Name.UPDATES));
    }
}
