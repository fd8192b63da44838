package pumicemoor.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import pumicemoor.extproc.proto.ExternalProcessorGrpc;
import pumicemoor.extproc.proto.HeaderMap;
import pumicemoor.extproc.proto.HeaderValue;
import pumicemoor.extproc.proto.HttpHeaders;
import pumicemoor.extproc.proto.ProcessingRequest;
import pumicemoor.extproc.proto.ProcessingResponse;
import pumicemoor.extproc.proto.ProcessingResponse.ResponseCase;
import pumicemoor.extproc.proto.v1.Ask;
import pumicemoor.extproc.proto.v1.DecisionsGrpc;
import pumicemoor.extproc.proto.v1.End;
import pumicemoor.extproc.proto.v1.Final;
import pumicemoor.extproc.proto.v1.FromCaller;
import pumicemoor.extproc.proto.v1.ToCaller;
import pumicemoor.net.NodeServer;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.OperatorFile;

/** A router with the front for proxies on loopback, with the real reducer and decision module, and calls to it. */
final class FrontRig implements AutoCloseable {

    static final long WAIT_SECONDS = 10; // for an answer

    final NodeServer server;
    final ProcessorFront front;
    final ManagedChannel channel;
    private final Path folder;

    /** Starts a router with this operator's file, which is written into the folder. */
    FrontRig(Path folder, String operatorYaml) throws Exception {
        this.folder = folder;
        OperatorConfig operator = operator(operatorYaml);
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:0",
                "",
                NodeTestConfig.list(
                        1,
                        true,
                        NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                        NodeTestConfig.member("s-2", "127.0.0.1:12", "box", "active", 0),
                        NodeTestConfig.member("p-1", "127.0.0.1:13", "shield", "active", 0),
                        NodeTestConfig.member("o-1", "127.0.0.1:14", "store", "active", 0))));
        server = new NodeServer(config, operator);
        front = new ProcessorFront(operator.processor().orElseThrow(), config.settingsReader());
        server.attachCallFront(front);
        server.start(false);
        channel = NettyChannelBuilder.forAddress("127.0.0.1", front.port())
                .usePlaintext()
                .build();
    }

    OperatorConfig operator(String yaml) throws Exception {
        return OperatorFile.read(Files.writeString(folder.resolve("operator.yaml"), yaml));
    }

    @Override
    public void close() throws Exception {
        channel.shutdownNow();
        server.terminate();
        server.awaitEnd(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
    }

    /** Runs a task on the event loop and waits for its end. */
    void runOnLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        server.execute(() -> {
            task.run();
            done.complete(null);
        });
        done.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** A status field of the front. */
    long state(String name) throws Exception {
        CompletableFuture<Long> value = new CompletableFuture<>();
        server.execute(() -> value.complete(Long.parseLong(server.state().get("processor-" + name))));
        return value.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    void awaitNoOpenCalls() throws Exception {
        while (state("open") > 0) {
            Thread.sleep(5);
        }
    }

    static HttpHeaders http(Map<String, String> headers) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        headers.forEach((name, value) ->
                map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value))));
        return HttpHeaders.newBuilder().setHeaders(map).build();
    }

    static Map<String, String> attemptHeaders(ProcessingResponse answer) {
        assertNotNull(answer);
        assertEquals(ResponseCase.REQUEST_HEADERS, answer.getResponseCase(), answer.toString());
        Map<String, String> headers = new LinkedHashMap<>();
        answer.getRequestHeaders()
                .getResponse()
                .getHeaderMutation()
                .getSetHeadersList()
                .forEach(header -> headers.put(
                        header.getHeader().getKey(),
                        header.getHeader().getRawValue().toStringUtf8()));
        return headers;
    }

    /** One stream of a caller, with its answers in a queue and the status of its end. */
    abstract static class Call<A> implements StreamObserver<A> {
        final BlockingQueue<A> answers = new LinkedBlockingQueue<>();
        final CompletableFuture<Status> end = new CompletableFuture<>();

        @Override
        public void onNext(A answer) {
            answers.add(answer);
        }

        @Override
        public void onError(Throwable cause) {
            end.complete(Status.fromThrowable(cause));
        }

        @Override
        public void onCompleted() {
            end.complete(Status.OK);
        }

        /** The next answer; null if none comes in time. */
        A next() throws InterruptedException {
            return answers.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        Status.Code endCode() throws Exception {
            return end.get(WAIT_SECONDS, TimeUnit.SECONDS).getCode();
        }
    }

    /** A call by Envoy's external processing. */
    final class ProxyCall extends Call<ProcessingResponse> {
        final StreamObserver<ProcessingRequest> out =
                ExternalProcessorGrpc.newStub(channel).process(this);

        ProxyCall request(String method, String path, String id, int attemptCount) {
            return request(method, path, id, Integer.toString(attemptCount));
        }

        ProxyCall request(String method, String path, String id, String attemptCount) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put(":method", method);
            headers.put(":path", path);
            headers.put("x-request-id", id);
            headers.put("x-envoy-attempt-count", attemptCount);
            out.onNext(ProcessingRequest.newBuilder()
                    .setRequestHeaders(http(headers))
                    .build());
            return this;
        }

        ProxyCall response(String status) {
            out.onNext(ProcessingRequest.newBuilder()
                    .setResponseHeaders(http(Map.of(":status", status)))
                    .build());
            return this;
        }

        /** The HTTP status of the next answer, which is final. */
        int rejectedWith() throws InterruptedException {
            ProcessingResponse answer = next();
            assertNotNull(answer);
            assertEquals(ResponseCase.IMMEDIATE_RESPONSE, answer.getResponseCase(), answer.toString());
            return answer.getImmediateResponse().getStatus().getCode();
        }
    }

    /** A call by the project's own service. */
    final class ReporterCall extends Call<ToCaller> {
        final StreamObserver<FromCaller> out = DecisionsGrpc.newStub(channel).decide(this);

        ReporterCall ask(String requestClass, String object, String id, int earlierTries) {
            out.onNext(FromCaller.newBuilder()
                    .setAsk(Ask.newBuilder()
                            .setId(id)
                            .setRequestClass(requestClass)
                            .setObject(object)
                            .setGroup(-1)
                            .setAttempt(earlierTries))
                    .build());
            return this;
        }

        ReporterCall report(int attempt, End.How how) {
            return report(attempt, how, "");
        }

        ReporterCall report(int attempt, End.How how, String note) {
            out.onNext(FromCaller.newBuilder()
                    .setEnd(End.newBuilder().setAttempt(attempt).setHow(how).setNote(note))
                    .build());
            return this;
        }

        /** The code of the next answer, which is final. */
        Final.Code finalCode() throws InterruptedException {
            ToCaller answer = next();
            assertNotNull(answer);
            assertEquals(ToCaller.MessageCase.FINAL, answer.getMessageCase(), answer.toString());
            return answer.getFinal().getCode();
        }
    }
}
