package pumicemoor.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import pumicemoor.client.FrameClient;
import pumicemoor.net.NodeServer;
import pumicemoor.node.NodeConfig;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.wire.InvalidInputException;

/**
 * The command 'self-check': starts a router on loopback in front of a stub cache, sends it one request, prints its
 * state and shuts it down. It checks an installation, and the build runs it to record the class archive that makes
 * starts quicker. It must not contact anything outside this process.
 */
@Usage.Summary("starts a router on loopback, has it serve one request, prints its state and ends it")
public final class SelfCheck extends Command {

    private static final int REQUEST_TYPE = 7;
    private static final int ANSWER_TYPE = 8;
    private static final int SERVED_CODE = 1;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 10_000;
    private static final String COORDINATOR_RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n:\n\n";
    private static final String BODY = "whole and unaltered";
    private static final String CONFIG =
            """
            {"name":"self-check","listen":"127.0.0.1:0","coordinator":"127.0.0.1:%d",
             "known":{"index":1,"updates":[{"index":1,"endpoints":{"generation":1,"reset":true,"instances":[
              {"instanceId":"own","hostPort":"127.0.0.1:%d","zone":"here","lifecycle":"active"}]}}]},
             "settings":{"az":"here","zones":["here"],"kinds":[],"me":0,"siblings":1,
              "classes":[{"name":"any","aim-us":1000000,"deadline-us":2000000,"idempotency":"pure"}],
              "policy-limits":{"most-tries":2,"max-open":1},"obligations":{}}}
            """;

    @Override
    void run() throws IOException, InvalidInputException, InterruptedException {
        try (ServerSocket cache = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread acceptor = new Thread(() -> acceptConnections(cache));
            acceptor.setDaemon(true);
            acceptor.start();
            NodeServer server = new NodeServer(
                    NodeConfig.parse(CONFIG.formatted(cache.getLocalPort(), cache.getLocalPort())),
                    OperatorConfig.NONE);
            server.start();
            try (FrameClient client =
                    new FrameClient("127.0.0.1", server.address().getPort())) {
                FrameClient.Answer answer = client.request(
                        REQUEST_TYPE,
                        Map.of("op", "any", "call", "0123456789abcdef", "row", "0123456789abcdef", "ttl", "2000"),
                        ANSWER_TYPE);
                if (answer.code() != SERVED_CODE
                        || !Arrays.equals(answer.body(), BODY.getBytes(StandardCharsets.US_ASCII))) {
                    throw new IOException("the router did not serve the request; its answer has code " + answer.code());
                }
            }
            Status.print("127.0.0.1", server.address().getPort());
            server.terminate();
            if (!server.awaitEnd(SHUTDOWN_TIMEOUT_MILLIS)) {
                throw new IOException("the router did not shut down in time");
            }
        }
    }

    /** Plays the cache and the coordinator: accepts connections and answers each on a thread of its own. */
    private static void acceptConnections(ServerSocket cache) {
        while (!cache.isClosed()) {
            try {
                Socket socket = cache.accept();
                Thread responder = new Thread(() -> answer(socket));
                responder.setDaemon(true);
                responder.start();
            } catch (IOException e) {
                return; // the socket was closed at the end of the check
            }
        }
    }

    /** Answers each request for data; a request to the coordinator gets an event stream without updates. */
    private static void answer(Socket socket) {
        try (socket;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
            String firstLine = in.readLine();
            if (firstLine != null && firstLine.startsWith("GET ")) {
                socket.getOutputStream().write(COORDINATOR_RESPONSE.getBytes(StandardCharsets.US_ASCII));
                in.transferTo(Writer.nullWriter());
                return;
            }
            for (String line = firstLine; line != null && line.startsWith("ASK "); line = in.readLine()) {
                in.readLine(); // the line end after the empty body
                String answer = line.split(" ")[1] + " data entity=0,issued=1,tell=mem " + BODY.length() + "\r\n" + BODY
                        + "\r\n";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // the router has closed the connection
        }
    }
}
