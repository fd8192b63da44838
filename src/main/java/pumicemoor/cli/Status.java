package pumicemoor.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import pumicemoor.client.FrameClient;
import pumicemoor.wire.Rows;
import pumicemoor.wire.WireException;

/**
 * Asks a running router whether it is ready and what it has counted, with the frame that clients use to ask.
 * It must never send a request.
 */
@Usage.Text("asks a running router whether it is ready and prints its counters and state")
public final class Status extends Command {

    private static final int READY_ASKED = 1;
    private static final int READY = 2;

    @Argument(metaVar = "HOST:PORT", required = true, usage = "where the router listens")
    private String address;

    @Override
    void run() throws IOException, WireException {
        int colon = colon(address);
        print(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Where the port begins in an address. */
    private static int colon(String address) throws WireException {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("\\d{1,5}")) {
            throw new WireException("no address: '" + address + "'");
        }
        return colon;
    }

    /** The router's rows about a subject; an exception where it knows none. */
    static List<Map<String, Object>> rows(String address, String subject) throws IOException, WireException {
        int colon = colon(address);
        try (FrameClient client =
                connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            FrameClient.Answer answer = client.ask(READY_ASKED, Map.of("rows", subject), READY);
            if (answer.fields().isEmpty()) {
                throw new WireException(address + ": this router has no section 'fleet' in its operator's file");
            }
            return Rows.read(String.join("", answer.fields().values()));
        }
    }

    /** What a router says to an operator's command. */
    static String command(String address, Map<String, String> fields) throws IOException, WireException {
        int colon = colon(address);
        try (FrameClient client =
                connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            return client.ask(READY_ASKED, fields, READY).fields().getOrDefault("said", "refused: no answer to that");
        }
    }

    private static FrameClient connect(String host, int port) throws IOException {
        try {
            return new FrameClient(host, port);
        } catch (IOException e) {
            throw new IOException(host + ":" + port + ": " + e.getMessage(), e);
        }
    }

    static void print(String host, int port) throws IOException {
        try (FrameClient client = connect(host, port)) {
            FrameClient.Answer answer = client.ask(READY_ASKED, Map.of("counters", "1"), READY);
            System.out.println("ready " + (answer.code() == 1 ? "yes" : "no"));
            answer.fields().forEach((name, value) -> System.out.println(name + " " + value));
        }
    }
}
