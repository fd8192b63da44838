package pumicemoor.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import pumicemoor.client.FrameClient;
import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.JsonRows;

/**
 * The command 'status': queries a running router's readiness, counters and state with the frame in which clients ask
 * for its readiness. It must not send requests that the router would route.
 */
@Usage.Summary("asks a running router whether it is ready and prints its counters and state")
public final class Status extends Command {

    private static final int READY_REQUEST_TYPE = 1;
    private static final int READY_ANSWER_TYPE = 2;
    private static final int READY_CODE = 1;

    @Argument(metaVar = "HOST:PORT", required = true, usage = "where the router listens")
    private String address;

    @Override
    void run() throws IOException, InvalidInputException {
        int colon = portSeparator(address);
        print(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Returns the index of the colon before the port in an address. */
    private static int portSeparator(String address) throws InvalidInputException {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("\\d{1,5}")) {
            throw new InvalidInputException("not an address of the form HOST:PORT: '" + address + "'");
        }
        return colon;
    }

    /** Returns a router's rows about a subject; throws an exception if the router has none. */
    static List<Map<String, Object>> rows(String address, String subject) throws IOException, InvalidInputException {
        int colon = portSeparator(address);
        try (FrameClient client =
                connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            FrameClient.Answer answer = client.request(READY_REQUEST_TYPE, Map.of("rows", subject), READY_ANSWER_TYPE);
            if (answer.fields().isEmpty()) {
                throw new InvalidInputException(
                        address + ": this router has no section 'fleet' in its operator's file");
            }
            return JsonRows.decode(String.join("", answer.fields().values()));
        }
    }

    /** Sends an operator's command to a router and returns its answer. */
    static String command(String address, Map<String, String> fields) throws IOException, InvalidInputException {
        int colon = portSeparator(address);
        try (FrameClient client =
                connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            return client.request(READY_REQUEST_TYPE, fields, READY_ANSWER_TYPE)
                    .fields()
                    .getOrDefault("said", "refused: the router did not answer this command");
        }
    }

    private static FrameClient connect(String host, int port) throws IOException {
        try {
            return new FrameClient(host, port);
        } catch (IOException e) {
            throw new IOException(host + ":" + port + ": " + e.getMessage(), e);
        }
    }

    /** Prints a router's readiness, counters and state. */
    static void print(String host, int port) throws IOException {
        try (FrameClient client = connect(host, port)) {
            FrameClient.Answer answer = client.request(READY_REQUEST_TYPE, Map.of("counters", "1"), READY_ANSWER_TYPE);
            System.out.println("ready " + (answer.code() == READY_CODE ? "yes" : "no"));
            answer.fields().forEach((name, value) -> System.out.println(name + " " + value));
        }
    }
}
