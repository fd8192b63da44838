package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** One connection of a client, in the frames of the protocol page. */
final class Client implements AutoCloseable {

    /** An answer: its code (1 served, 0 refused, 9 failed), when it was read, and the bytes of its body. */
    record Answer(int code, long atMs, int bodyBytes) {}

    private static final Random RANDOM = new Random();

    final String name;
    final Map<Integer, Answer> answers = new ConcurrentHashMap<>(); // by stream
    volatile long endedAtMs = -1; // when the router's end of the connection was seen
    volatile boolean told; // type 3: no new request on this connection
    private final Rig rig;
    private final Socket socket = new Socket();
    private final OutputStream out;
    private int stream;

    Client(Rig rig, String name, int port) throws IOException {
        this.rig = rig;
        this.name = name;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        out = socket.getOutputStream();
        Coordinator.daemon(this::read);
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                int length = in.readInt();
                int type = in.readUnsignedByte();
                int of = in.readInt();
                byte[] payload = new byte[length - 5];
                in.readFully(payload);
                if (type == 8) {
                    ByteBuffer rest = ByteBuffer.wrap(payload);
                    int code = rest.get();
                    for (int fields = rest.get() & 0xff; fields > 0; fields--) {
                        rest.position(rest.position() + 1 + (rest.get(rest.position()) & 0xff));
                        rest.position(rest.position() + 2 + (rest.getShort(rest.position()) & 0xffff));
                    }
                    rig.note(name + ": answer on stream " + of + ", code " + code + ", " + rest.remaining()
                            + " bytes");
                    answers.put(of, new Answer(code, rig.ms(), rest.remaining()));
                } else if (type == 3) {
                    told = true;
                    rig.note(name + ": told to bring nothing new (type 3)");
                }
            }
        } catch (IOException e) {
            endedAtMs = rig.ms();
            rig.note(name + ": the connection has ended (" + e + ")");
        }
    }

    static String newId() {
        synchronized (RANDOM) {
            return String.format("%016x", RANDOM.nextLong());
        }
    }

    /** A request frame; the stream is the next one of this connection. */
    synchronized byte[] request(String op, String id, long ttlMs, String row, int piece, int lot, byte[] body) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("op", op);
        fields.put("call", id);
        fields.put("ttl", Long.toString(ttlMs));
        fields.put("row", row);
        fields.put("piece", Integer.toString(piece));
        fields.put("lot", Integer.toString(lot));
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        payload.write(fields.size());
        fields.forEach((key, value) -> {
            payload.write(key.length());
            payload.writeBytes(key.getBytes(StandardCharsets.US_ASCII));
            payload.write(value.length() >> 8);
            payload.write(value.length());
            payload.writeBytes(value.getBytes(StandardCharsets.US_ASCII));
        });
        payload.writeBytes(body);
        ByteBuffer frame = ByteBuffer.allocate(9 + payload.size());
        frame.putInt(5 + payload.size()).put((byte) 7).putInt(++stream).put(payload.toByteArray());
        return frame.array();
    }

    synchronized int lastStream() {
        return stream;
    }

    void write(byte[] bytes, int from, int to) throws IOException {
        out.write(bytes, from, to - from);
        out.flush();
    }

    /** Sends one request whole; returns its stream. */
    synchronized int send(String op, String id, long ttlMs, String row, int piece, int lot) throws IOException {
        byte[] frame = request(op, id, ttlMs, row, piece, lot, new byte[0]);
        rig.note(name + ": request " + id + " on stream " + stream + ": " + op + " " + row + "/" + piece);
        write(frame, 0, frame.length);
        return stream;
    }

    /** Whether a router answers a readiness request with code 1. */
    static boolean ready(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(new byte[] {0, 0, 0, 6, 1, 0, 0, 0, 1, 0});
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readInt();
            return in.readUnsignedByte() == 2 && in.readInt() == 1 && in.readUnsignedByte() == 1;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
