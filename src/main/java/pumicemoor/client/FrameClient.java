package pumicemoor.client;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A plain client of a router: one connection, one frame at a time. It must never serve as
 * part of the router itself.
 */
public final class FrameClient implements Closeable {

    private static final int PATIENCE = 3_000; // milliseconds
    private static final int LONGEST = 262_144;

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;

    /** An answer: its code, its fields, what follows them. */
    public record Answer(int code, Map<String, String> fields, byte[] body) {}

    /** Connects; an address that does not answer is an exception. */
    public FrameClient(String host, int port) throws IOException {
        socket.connect(new InetSocketAddress(host, port), PATIENCE);
        socket.setSoTimeout(PATIENCE);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** Sends a frame with these fields and waits for one of the wanted type; others are skipped. */
    public Answer ask(int type, Map<String, String> fields, int wanted) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream frame = new DataOutputStream(bytes);
        frame.writeByte(type);
        frame.writeInt(1);
        frame.writeByte(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            frame.writeByte(field.getKey().length());
            frame.writeBytes(field.getKey());
            frame.writeShort(field.getValue().length());
            frame.writeBytes(field.getValue());
        }
        out.writeInt(bytes.size());
        bytes.writeTo(out);
        out.flush();
        while (true) {
            int length = in.readInt();
            if (length < 5 || length > LONGEST) {
                throw new IOException("a frame of " + length + " bytes came back");
            }
            byte[] answer = in.readNBytes(length);
            if (answer.length == length && answer[0] == wanted) {
                return read(new DataInputStream(new ByteArrayInputStream(answer, 5, length - 5)));
            }
        }
    }

    private static Answer read(DataInputStream answer) throws IOException {
        int code = answer.readUnsignedByte();
        Map<String, String> fields = new LinkedHashMap<>();
        for (int left = answer.readUnsignedByte(); left > 0; left--) {
            String name = new String(answer.readNBytes(answer.readUnsignedByte()), StandardCharsets.UTF_8);
            fields.put(name, new String(answer.readNBytes(answer.readUnsignedShort()), StandardCharsets.UTF_8));
        }
        return new Answer(code, fields, answer.readAllBytes());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
