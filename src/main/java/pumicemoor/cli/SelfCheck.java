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
import pumicemoor.wire.WireException;

/**
 * Starts a router on loopback before a cache of its own making, has one request served, prints the state and
 * ends it: a first look at an installation, and what the build records for quicker starts. It must never
 * reach anything outside this process.
 */
@Usage.Text("starts a router on loopback, has it serve one request, prints its state and ends it")
public final class SelfCheck extends Command {

    private static final int REQUEST = 7;
    private static final int ANSWER = 8;
    private static final int SERVED = 1;
    private static final long LONGEST_END = 10_000; // milliseconds
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n:\n\n";
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
    void run() throws IOException, WireException, InterruptedException {
        try (ServerSocket cache = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread answering = new Thread(() -> answer(cache));
            answering.setDaemon(true);
            answering.start();
            NodeServer server = new NodeServer(
                    NodeConfig.parse(CONFIG.formatted(cache.getLocalPort(), cache.getLocalPort())),
                    OperatorConfig.NONE);
            server.start();
            try (FrameClient client =
                    new FrameClient("127.0.0.1", server.address().getPort())) {
                FrameClient.Answer answer = client.ask(
                        REQUEST,
                        Map.of("op", "any", "call", "0123456789abcdef", "row", "0123456789abcdef", "ttl", "2000"),
                        ANSWER);
                if (answer.code() != SERVED
                        || !Arrays.equals(answer.body(), BODY.getBytes(StandardCharsets.US_ASCII))) {
                    throw new IOException("the request was not served, code " + answer.code());
                }
            }
            Status.print("127.0.0.1", server.address().getPort());
            server.terminate();
            if (!server.awaitEnd(LONGEST_END)) {
                throw new IOException("the router did not end");
            }
        }
    }

    /** Answers each request on each connection, and the coordinator's question with a stream that tells nothing new. */
    private static void answer(ServerSocket cache) {
        while (!cache.isClosed()) {
            try {
                Socket socket = cache.accept();
                Thread each = new Thread(() -> answer(socket));
                each.setDaemon(true);
                each.start();
            } catch (IOException e) {
                return; // the check is over
            }
        }
    }

    private static void answer(Socket socket) {
        try (socket;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
            String first = in.readLine();
            if (first != null && first.startsWith("GET ")) {
                socket.getOutputStream().write(STREAM.getBytes(StandardCharsets.US_ASCII));
                in.transferTo(Writer.nullWriter());
                return;
            }
            for (String line = first; line != null && line.startsWith("ASK "); line = in.readLine()) {
                in.readLine(); // the end of the empty body
                String answer = line.split(" ")[1] + " data entity=0,issued=1,tell=mem " + BODY.length() + "\r\n" + BODY
                        + "\r\n";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // the router has closed the connection
        }
    }
}
