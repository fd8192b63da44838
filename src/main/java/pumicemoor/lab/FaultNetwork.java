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
 * The network between router processes on loopback: each is reached at an address of this network, which passes packets
 * on, or loses, delays, doubles, reorders and cuts them, and counts them. It knows who sent by the port that a process listens on. It
 * owns its sockets and what is on its way, and must never read a packet.
 */
final class FaultNetwork implements AutoCloseable {

    private static final int LONGEST = 2_048;

    private final List<DatagramSocket> doors = new ArrayList<>();
    private final List<Integer> listens = new ArrayList<>();
    private final ScheduledExecutorService flying = Executors.newScheduledThreadPool(2, r -> {
        Thread t = new Thread(r, "fault-network");
        t.setDaemon(true);
        return t;
    });
    private final Random random;
    private final AtomicLongArray
            counts; // for each process: packets and bytes that it sent, packets and bytes that came
    private volatile BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private volatile double loss;
    private volatile double doubled;
    private volatile int mostDelay; // milliseconds

    /** A network for so many processes; its draws come from the seed. */
    FaultNetwork(int processes, long seed) throws IOException {
        this.random = new Random(seed);
        this.counts = new AtomicLongArray(4 * processes);
        for (int i = 0; i < processes; i++) {
            doors.add(new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0)));
            listens.add(FreePorts.take());
        }
        for (int i = 0; i < processes; i++) {
            int to = i;
            Thread t = new Thread(() -> pass(to), "fault-network-" + i);
            t.setDaemon(true);
            t.start();
        }
    }

    /** Where a process is to listen. */
    String listen(int process) {
        return "127.0.0.1:" + listens.get(process);
    }

    /** Where the others are to send what is for it. */
    String advertise(int process) {
        return "127.0.0.1:" + doors.get(process).getLocalPort();
    }

    /** Which ways are cut, each direction by itself. */
    void cut(BiPredicate<Integer, Integer> ways) {
        cut = ways;
    }

    /** What happens to packets: the shares lost and doubled, and up to how many milliseconds late they come. */
    void weather(double lost, double twice, int late) {
        loss = lost;
        doubled = twice;
        mostDelay = late;
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private void pass(int to) {
        DatagramSocket door = doors.get(to);
        byte[] buffer = new byte[LONGEST];
        while (!door.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                door.receive(packet);
                int from = listens.indexOf(packet.getPort());
                if (from >= 0) {
                    count(4 * from, packet.getLength());
                }
                if (from >= 0 && (cut.test(from, to) || draw() < loss)) {
                    continue;
                }
                byte[] bytes = java.util.Arrays.copyOf(buffer, packet.getLength());
                for (int copies = draw() < doubled ? 2 : 1; copies > 0; copies--) {
                    flying.schedule(
                            () -> arrive(to, bytes), (long) (draw() * mostDelay * 1_000), TimeUnit.MICROSECONDS);
                }
            } catch (IOException e) {
                // a door that was closed, or a process that is not there
            }
        }
    }

    private void count(int at, int bytes) {
        counts.incrementAndGet(at);
        counts.addAndGet(at + 1, bytes);
    }

    /** What a process sent and what came to it so far: packets and bytes out, packets and bytes in. */
    long[] counted(int process) {
        return IntStream.range(4 * process, 4 * process + 4)
                .mapToLong(counts::get)
                .toArray();
    }

    private void arrive(int to, byte[] bytes) {
        count(4 * to + 2, bytes.length);
        try {
            doors.get(to)
                    .send(new DatagramPacket(
                            bytes,
                            bytes.length,
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), listens.get(to))));
        } catch (IOException e) {
            // lost, as packets are
        }
    }

    @Override
    public void close() {
        doors.forEach(DatagramSocket::close);
        flying.shutdownNow();
    }
}
