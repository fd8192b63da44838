package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import pumicemoor.lab.MemberStandIn.Kind;

/**
 * Guards against a stand-in whose restart finds its own address in use because one of its threads still holds a socket.
 */
class MemberStandInTest {

    private static final int RESTARTS = 400; // on a busy machine, a single restart failed one time in four

    @Test
    void everyRestartFindsItsAddressFree() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        RequestLog requestLog = new RequestLog();
        try (MemberStandIn cache = new MemberStandIn("box", Kind.CACHE, 10, 0, requestLog, n -> null, executor)) {
            String[] address = cache.address().split(":");
            for (int i = 0; i < RESTARTS; i++) {
                try (Socket client = new Socket(address[0], Integer.parseInt(address[1]))) {
                    client.getOutputStream().write("NOOP 1\r\n".getBytes());
                } // the thread of this connection ends at about the time of the restart
                cache.restart();
            }
            assertEquals(RESTARTS, requestLog.restartMillis().get("box").size());
        } finally {
            executor.shutdownNow();
        }
    }
}
