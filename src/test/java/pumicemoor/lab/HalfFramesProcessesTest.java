package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.RequestOutcome;

/** Guards against frames received in part that use up the direct memory and stop the event loop (review case 1). */
class HalfFramesProcessesTest {

    private static final int BAD_CLIENTS = 200;
    private static final int FRAME_BYTES = 262_144; // the longest that the protocol allows
    private static final int MISSING_BYTES = 2;
    private static final long DEADLINE_MILLIS = 4_000; // of the rig's requests
    private static final long LATE_MILLIS = 500; // after the deadline an answer counts as lost

    @TempDir
    Path folder;

    @Test
    void requestsAreAnsweredWhileHundredsOfClientsSendFramesInPart() throws Exception {
        try (FleetRig rig = FleetRig.ofSmallProcesses(folder, 1, 1, 4, 50, router -> "", List.of(0))) {
            rig.runLoad(1);
            List<Socket> badClients = sendHalfFrames(rig.routers.get(0).address());
            rig.runLoad(3);
            for (Socket badClient : badClients) {
                badClient.close();
            }
            rig.runLoad(1);
            Thread.sleep(DEADLINE_MILLIS + LATE_MILLIS);
            assertEquals(0, rig.clients.openRequests(), "requests without an answer");
            Map<RequestOutcome, Long> outcomes = rig.clients.completed().stream()
                    .collect(Collectors.groupingBy(LoadClients.RequestResult::outcome, Collectors.counting()));
            assertTrue(
                    Set.of(RequestOutcome.SERVED, RequestOutcome.REFUSED).containsAll(outcomes.keySet()),
                    outcomes.toString());
            assertTrue(rig.clients.completed().size() > 200, "the clients sent no load");
        }
    }

    private static List<Socket> sendHalfFrames(String address) throws IOException {
        byte[] frame = Arrays.copyOf(
                ByteBuffer.allocate(9)
                        .putInt(FRAME_BYTES)
                        .put((byte) 7)
                        .putInt(1)
                        .array(),
                Integer.BYTES + FRAME_BYTES - MISSING_BYTES);
        String[] hostAndPort = address.split(":");
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
            sockets.add(socket);
            Thread sender = new Thread(
                    () -> {
                        try {
                            socket.getOutputStream().write(frame);
                        } catch (IOException e) {
                            // the router has closed the connection
                        }
                    },
                    "half-frame");
            sender.setDaemon(true);
            sender.start();
        }
        return sockets;
    }
}
