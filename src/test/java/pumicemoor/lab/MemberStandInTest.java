package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import pumicemoor.lab.MemberStandIn.Kind;

/** A stand-in can be ended and started again whatever its threads are doing just then. */
class MemberStandInTest {

    private static final int RESTARTS = 400; // each alone failed once in four on a busy machine

    @Test
    void everyRestartFindsItsAddressFree() throws Exception {
        ExecutorService work = Executors.newCachedThreadPool();
        Record record = new Record();
        try (MemberStandIn box = new MemberStandIn("box", Kind.CACHE, 10, 0, record, n -> null, work)) {
            String[] address = box.address().split(":");
            for (int i = 0; i < RESTARTS; i++) {
                try (Socket client = new Socket(address[0], Integer.parseInt(address[1]))) {
                    client.getOutputStream().write("NOOP 1\r\n".getBytes());
                } // its thread there ends at about the time of the restart
                box.restart();
            }
            assertEquals(RESTARTS, record.starts().get("box").size());
        } finally {
            work.shutdownNow();
        }
    }
}
