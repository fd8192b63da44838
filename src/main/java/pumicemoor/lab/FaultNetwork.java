package pumicemoor.lab;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;

/**
 * A faulty UDP network between router processes on loopback. Each process is reached at an address of this network,
 * which forwards packets, or drops, delays, duplicates and reorders them, and counts them. The sender is identified by
 * the port that its process listens on. This class owns its sockets and the packets in flight, and must never look into
 * a packet.
 */
final class FaultNetwork implements AutoCloseable {

    private static final int MAX_PACKET_BYTES = 2_048;

    private final List<DatagramSocket> ingressSockets = new ArrayList<>();
    private final List<Integer> listenPorts = new ArrayList<>();
    private final ScheduledExecutorService deliveries = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "fault-network");
        thread.setDaemon(true);
        return thread;
    });
    private final Random random;
    private final AtomicLongArray counters; // per process: packets sent, bytes sent, packets delivered, bytes delivered
    private volatile BiPredicate<Integer, Integer> linkCut = (from, to) -> false;
    private volatile double lossShare;
    private volatile double duplicateShare;
    private volatile int maxDelayMillis;

    /** Creates a network for a number of processes; all random draws come from the seed. */
    FaultNetwork(int processes, long seed) throws IOException {
        this.random = new Random(seed);
        this.counters = new AtomicLongArray(4 * processes);
        for (int i = 0; i < processes; i++) {
            ingressSockets.add(new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0)));
            listenPorts.add(FreePorts.allocate());
        }
        for (int i = 0; i < processes; i++) {
            int to = i;
            Thread thread = new Thread(() -> forward(to), "fault-network-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Returns the address that a process must listen on. */
    String listenAddress(int process) {
        return "127.0.0.1:" + listenPorts.get(process);
    }

    /** Returns the address to which the other processes send packets for this one. */
    String advertisedAddress(int process) {
        return "127.0.0.1:" + ingressSockets.get(process).getLocalPort();
    }

    /** Sets which links drop all packets; each direction (from, to) is tested separately. */
    void cutLinks(BiPredicate<Integer, Integer> newLinkCut) {
        linkCut = newLinkCut;
    }

    /** Sets the shares of packets that are dropped and duplicated, and the maximum delay in milliseconds. */
    void setImpairments(double newLossShare, double newDuplicateShare, int newMaxDelayMillis) {
        lossShare = newLossShare;
        duplicateShare = newDuplicateShare;
        maxDelayMillis = newMaxDelayMillis;
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private void forward(int to) {
        DatagramSocket socket = ingressSockets.get(to);
        byte[] buffer = new byte[MAX_PACKET_BYTES];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                int from = listenPorts.indexOf(packet.getPort());
                if (from >= 0) {
                    count(4 * from, packet.getLength());
                }
                if (from >= 0 && (linkCut.test(from, to) || draw() < lossShare)) {
                    continue;
                }
                byte[] bytes = java.util.Arrays.copyOf(buffer, packet.getLength());
                for (int copies = draw() < duplicateShare ? 2 : 1; copies > 0; copies--) {
                    deliveries.schedule(
                            () -> deliver(to, bytes), (long) (draw() * maxDelayMillis * 1_000), TimeUnit.MICROSECONDS);
                }
            } catch (IOException e) {
                // the socket was closed, or the process is not running
            }
        }
    }

    private void count(int index, int bytes) {
        counters.incrementAndGet(index);
        counters.addAndGet(index + 1, bytes);
    }

    /** Returns the counters of a process: packets sent, bytes sent, packets delivered, bytes delivered. */
    long[] trafficCounters(int process) {
        return IntStream.range(4 * process, 4 * process + 4)
                .mapToLong(counters::get)
                .toArray();
    }

    private void deliver(int to, byte[] bytes) {
        count(4 * to + 2, bytes.length);
        try {
            ingressSockets
                    .get(to)
                    .send(new DatagramPacket(
                            bytes,
                            bytes.length,
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), listenPorts.get(to))));
        } catch (IOException e) {
            // the packet is lost, as on a real network
        }
    }

    @Override
    public void close() {
        ingressSockets.forEach(DatagramSocket::close);
        deliveries.shutdownNow();
    }
}
