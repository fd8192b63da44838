package pumicemoor.lab;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Ports on loopback for stand-ins and processes that listen later, or again after a restart. They lie under those that
 * the system gives to outgoing connections, and none is given twice, so that nobody takes one in the meantime.
 */
final class FreePorts {

    private static final int FIRST = 15_000;
    private static final int END = 32_000; // under the usual range for outgoing connections

    private static int next = FIRST + (int) (ProcessHandle.current().pid() * 37 % (END - FIRST));

    private FreePorts() {}

    static synchronized int take() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int tries = 0; tries < END - FIRST; tries++) {
            int port = next;
            next = next + 1 < END ? next + 1 : FIRST;
            try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                    DatagramSocket udp = new DatagramSocket(new InetSocketAddress(loopback, port))) {
                return port;
            } catch (IOException e) {
                // somebody has it
            }
        }
        throw new IOException("no port is free on loopback");
    }
}
