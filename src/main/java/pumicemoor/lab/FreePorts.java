package pumicemoor.lab;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates loopback ports for stand-ins and processes that listen later, or again after a restart. The ports lie below
 * the range that the system uses for outgoing connections, and none is allocated again until the range wraps around, so
 * that no other socket takes a port before its owner listens.
 */
final class FreePorts {

    private static final int FIRST_PORT = 15_000;
    private static final int END_PORT = 32_000; // exclusive; below the usual range for outgoing connections

    /** Starts at a port that depends on the process id, so that concurrent runs start at different ports. */
    private static int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() * 37 % (END_PORT - FIRST_PORT));

    private FreePorts() {}

    static synchronized int allocate() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempts = 0; attempts < END_PORT - FIRST_PORT; attempts++) {
            int port = nextPort;
            nextPort = nextPort + 1 < END_PORT ? nextPort + 1 : FIRST_PORT;
            try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                    DatagramSocket udp = new DatagramSocket(new InetSocketAddress(loopback, port))) {
                return port;
            } catch (IOException e) {
                // the port is in use
            }
        }
        throw new IOException("no port is free on loopback");
    }
}
