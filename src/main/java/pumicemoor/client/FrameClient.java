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
 * A blocking client of a router: one connection, one request at a time. It is for tools and tests; the router itself
 * must not use it.
 */
public final class FrameClient implements Closeable {

    private static final int TIMEOUT_MILLIS = 3_000; // of connecting and of each read
    private static final int MAX_FRAME_BYTES = 262_144;
    private static final int HEADER_BYTES = 1 + 4; // frame type and stream number
    private static final int STREAM_NUMBER = 1;

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;

    /** An answer: its code, its fields, and the bytes after them. */
    public record Answer(int code, Map<String, String> fields, byte[] body) {}

    /** Connects to a router; throws an exception if the address does not answer within the timeout. */
    public FrameClient(String host, int port) throws IOException {
        socket.connect(new InetSocketAddress(host, port), TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** Sends a frame with these fields and returns the next frame of the answer type; skips frames of other types. */
    public Answer request(int requestType, Map<String, String> fields, int answerType) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream frame = new DataOutputStream(bytes);
        frame.writeByte(requestType);
        frame.writeInt(STREAM_NUMBER);
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
            if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
                throw new IOException("the router sent a frame of invalid length: " + length + " bytes");
            }
            byte[] received = in.readNBytes(length);
            if (received.length == length && received[0] == answerType) {
                return parse(
                        new DataInputStream(new ByteArrayInputStream(received, HEADER_BYTES, length - HEADER_BYTES)));
            }
        }
    }

    private static Answer parse(DataInputStream answer) throws IOException {
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
