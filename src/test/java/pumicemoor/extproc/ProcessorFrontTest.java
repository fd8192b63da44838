package pumicemoor.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.extproc.proto.ExternalProcessorGrpc;
import pumicemoor.extproc.proto.HeaderMap;
import pumicemoor.extproc.proto.HeaderValue;
import pumicemoor.extproc.proto.HttpBody;
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

/** The front on a loopback socket, called as proxies call it, with the real reducer and decision module. */
class ProcessorFrontTest {

    private static final String OPERATOR =
            """
            processor:
              listen: 127.0.0.1:0
              message-timeout-ms: 400
              retry-wait-ms: %d
              open-calls: 5
              header-bytes: 8192
              rules:
                - {method: GET, path: "/video/(?P<object>[0-9a-f]+)/(?P<part>[0-9]+)", class: segment}
                - {method: POST, path: "/book/(?P<object>.+)", class: order}
            """;

    @TempDir
    Path folder;

    private NodeServer server;
    private ProcessorFront front;
    private ManagedChannel channel;

    @BeforeEach
    void start() throws Exception {
        start(0);
    }

    private void start(int retryWaitMillis) throws Exception {
        OperatorConfig operator = operator(OPERATOR.formatted(retryWaitMillis));
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

    private OperatorConfig operator(String yaml) throws Exception {
        return OperatorFile.read(Files.writeString(folder.resolve("operator.yaml"), yaml));
    }

    @AfterEach
    void end() throws Exception {
        channel.shutdownNow();
        server.terminate();
        server.awaitEnd(10_000);
    }

    /** One stream of a proxy, with its answers in a queue and the status of its end. */
    private final class Call implements StreamObserver<ProcessingResponse> {
        final BlockingQueue<ProcessingResponse> answers = new LinkedBlockingQueue<>();
        final CompletableFuture<Status> end = new CompletableFuture<>();
        final StreamObserver<ProcessingRequest> out =
                ExternalProcessorGrpc.newStub(channel).process(this);

        @Override
        public void onNext(ProcessingResponse answer) {
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

        Call request(String method, String path, String id, int attempt) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put(":method", method);
            headers.put(":path", path);
            headers.put("x-request-id", id);
            headers.put("x-envoy-attempt-count", Integer.toString(attempt));
            out.onNext(ProcessingRequest.newBuilder()
                    .setRequestHeaders(http(headers))
                    .build());
            return this;
        }

        Call response(String status) {
            out.onNext(ProcessingRequest.newBuilder()
                    .setResponseHeaders(http(Map.of(":status", status)))
                    .build());
            return this;
        }

        ProcessingResponse next() throws InterruptedException {
            return answers.poll(10, TimeUnit.SECONDS);
        }

        Status.Code endCode() throws Exception {
            return end.get(10, TimeUnit.SECONDS).getCode();
        }
    }

    private static HttpHeaders http(Map<String, String> headers) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        headers.forEach((name, value) ->
                map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value))));
        return HttpHeaders.newBuilder().setHeaders(map).build();
    }

    private static Map<String, String> attemptHeaders(ProcessingResponse answer) {
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

    private long state(String name) throws Exception {
        CompletableFuture<Long> value = new CompletableFuture<>();
        server.execute(() -> value.complete(Long.parseLong(server.state().get("processor-" + name))));
        return value.get(10, TimeUnit.SECONDS);
    }

    private void awaitNoOpenCalls() throws Exception {
        while (state("open") > 0) {
            Thread.sleep(5);
        }
    }

    @Test
    void requestGetsHeadersForCacheSourceRankAndFlags() throws Exception {
        Call call = new Call().request("GET", "/video/00af/3?x=1", "r-1", 1);
        Map<String, String> headers = attemptHeaders(call.next());
        assertTrue(headers.get("x-pumicemoor-cache").matches("s-[12]"), headers.toString());
        assertEquals("127.0.0.1:1" + headers.get("x-pumicemoor-cache").charAt(2), headers.get("x-pumicemoor-address"));
        assertEquals("p-1", headers.get("x-pumicemoor-source"));
        assertEquals("1", headers.get("x-pumicemoor-keep-rank"));
        assertEquals("collapse", headers.get("x-pumicemoor-flags"));
        assertEquals("0", headers.get("x-pumicemoor-attempt"));
        call.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, call.next().getResponseCase());
        call.out.onCompleted();
        assertEquals(Status.Code.OK, call.endCode());
        awaitNoOpenCalls();
        assertEquals(0, server.counters().get(pumicemoor.node.Counters.Name.FAULTS));
        Call again = new Call().request("GET", "/video/00af/3", "r-2", 1);
        assertEquals(
                headers.get("x-pumicemoor-cache"), attemptHeaders(again.next()).get("x-pumicemoor-cache"));
        again.out.onCompleted();
        assertEquals(Status.Code.OK, again.endCode());
    }

    @Test
    void requestWithoutAMatchingRuleIsRefusedOrPassedAsConfigured() throws Exception {
        Call call = new Call().request("GET", "/elsewhere", "r-1", 1);
        ProcessingResponse answer = call.next();
        assertEquals(503, answer.getImmediateResponse().getStatus().getCode());
        assertEquals(Status.Code.OK, call.endCode());
        CompletableFuture<Void> reloaded = new CompletableFuture<>();
        OperatorConfig pass = operator(OPERATOR.formatted(0) + "  no-rule: pass\n");
        server.execute(() -> {
            front.applyOperatorConfig(pass);
            reloaded.complete(null);
        });
        reloaded.get(10, TimeUnit.SECONDS);
        Call passed = new Call().request("GET", "/elsewhere", "r-2", 1);
        assertEquals(0, attemptHeaders(passed.next()).size());
        passed.response("500");
        assertEquals(ResponseCase.RESPONSE_HEADERS, passed.next().getResponseCase());
        passed.out.onCompleted();
        assertEquals(Status.Code.OK, passed.endCode());
    }

    @Test
    void unsafeRequestGetsNoSecondAttemptOnceItMayHaveRun() throws Exception {
        Call call = new Call().request("POST", "/book/7", "b-1", 1);
        attemptHeaders(call.next());
        Call second = new Call().request("POST", "/book/7", "b-1", 1);
        assertEquals(502, second.next().getImmediateResponse().getStatus().getCode(), "while the first call is open");
        call.out.onError(Status.CANCELLED.asRuntimeException());
        awaitNoOpenCalls();
        assertEquals(
                502,
                new Call()
                        .request("POST", "/book/7", "b-1", 2)
                        .next()
                        .getImmediateResponse()
                        .getStatus()
                        .getCode(),
                "the outcome of the first call is unknown");
        assertEquals(
                502,
                new Call()
                        .request("POST", "/book/8", "b-2", 2)
                        .next()
                        .getImmediateResponse()
                        .getStatus()
                        .getCode(),
                "a retry whose first call is not known, as after a start of the router");
        Call refused = new Call().request("POST", "/book/9", "b-3", 1);
        attemptHeaders(refused.next());
        refused.response("429");
        refused.next();
        refused.out.onCompleted();
        refused.endCode();
        attemptHeaders(new Call().request("POST", "/book/9", "b-3", 2).next()); // it never ran
    }

    @Test
    void retryOfTheCallerGetsTheAttemptKeptReady() throws Exception {
        end();
        start(2_000);
        Call first = new Call().request("GET", "/video/aa/0", "r-1", 1);
        assertEquals("0", attemptHeaders(first.next()).get("x-pumicemoor-attempt"));
        first.response("503");
        assertEquals(ResponseCase.RESPONSE_HEADERS, first.next().getResponseCase());
        first.out.onCompleted();
        first.endCode();
        Call second = new Call().request("GET", "/video/aa/0", "r-1", 2);
        assertEquals(
                "1",
                attemptHeaders(second.next()).get("x-pumicemoor-attempt"),
                "the retry belongs to the same request");
        second.response("200");
        second.next();
        second.out.onCompleted();
        second.endCode();
        assertEquals(1, state("tried-again"));
        assertEquals(1, server.counters().get(pumicemoor.node.Counters.Name.REQUESTS));
        assertEquals(1, server.counters().get(pumicemoor.node.Counters.Name.SERVED));
    }

    @Test
    void unusedReadyAttemptIsDiscarded() throws Exception {
        end();
        start(100);
        Call first = new Call().request("POST", "/book/1", "b-1", 1);
        attemptHeaders(first.next());
        first.response("429");
        assertEquals(ResponseCase.RESPONSE_HEADERS, first.next().getResponseCase());
        first.out.onCompleted();
        first.endCode();
        while (state("held-ready") > 0) {
            Thread.sleep(5);
        }
        Call later = new Call().request("POST", "/book/1", "b-1", 2);
        assertEquals(
                "0",
                attemptHeaders(later.next()).get("x-pumicemoor-attempt"),
                "the first request never ran, so this is a new one");
        assertEquals(1, state("ids-kept"));
    }

    @Test
    void invalidStreamsAreAbortedWithoutEffectOnOthers() throws Exception {
        Call good = new Call().request("GET", "/video/aa/0", "r-1", 1);
        attemptHeaders(good.next());
        Call responseFirst = new Call().response("200");
        assertEquals(Status.Code.INVALID_ARGUMENT, responseFirst.endCode());
        Call secondRequest = new Call().request("GET", "/video/aa/0", "r-2", 1);
        attemptHeaders(secondRequest.next());
        secondRequest.request("GET", "/video/aa/0", "r-2", 1);
        assertEquals(Status.Code.INVALID_ARGUMENT, secondRequest.endCode());
        Call withoutPhase = new Call();
        withoutPhase.out.onNext(ProcessingRequest.getDefaultInstance());
        assertEquals(Status.Code.INVALID_ARGUMENT, withoutPhase.endCode());
        Call withoutHeaders = new Call();
        withoutHeaders.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.getDefaultInstance())
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, withoutHeaders.endCode());
        Call notText = new Call();
        notText.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder()
                        .setHeaders(HeaderMap.newBuilder()
                                .addHeaders(HeaderValue.newBuilder()
                                        .setKey(":path")
                                        .setRawValue(ByteString.copyFrom(new byte[] {(byte) 0xff, (byte) 0xfe})))))
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, notText.endCode());
        Call oversized = new Call();
        oversized.out.onNext(ProcessingRequest.newBuilder()
                .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[20_000])))
                .build());
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, oversized.endCode());
        StatusRuntimeException unknownMethod = org.junit.jupiter.api.Assertions.assertThrows(
                StatusRuntimeException.class,
                () -> io.grpc.stub.ClientCalls.blockingUnaryCall(
                        channel,
                        ExternalProcessorGrpc.getProcessMethod().toBuilder()
                                .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
                                .setFullMethodName("envoy.service.ext_proc.v3.ExternalProcessor/Nothing")
                                .build(),
                        io.grpc.CallOptions.DEFAULT,
                        ProcessingRequest.getDefaultInstance()));
        assertEquals(Status.Code.UNIMPLEMENTED, unknownMethod.getStatus().getCode());
        good.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, good.next().getResponseCase());
        good.out.onCompleted();
        good.endCode();
        awaitNoOpenCalls();
        assertTrue(state("aborted") >= 5);
    }

    @Test
    void callOverTheLimitOfOpenCallsIsRefusedAtOnceWithARetryDelay() throws Exception {
        for (int i = 0; i < 5; i++) {
            attemptHeaders(new Call()
                    .request("GET", "/video/" + Integer.toHexString(i) + "/0", "r-" + i, 1)
                    .next());
        }
        ProcessingResponse answer =
                new Call().request("GET", "/video/aa/0", "r-x", 1).next();
        assertEquals(503, answer.getImmediateResponse().getStatus().getCode());
        assertTrue(answer.getImmediateResponse().getHeaders().getSetHeadersList().stream()
                .anyMatch(h -> h.getHeader().getKey().equals("retry-after")));
        channel.shutdownNow();
        awaitNoOpenCalls();
        assertEquals(0, state("ids-kept"));
    }

    @Test
    void terminationWaitsForOpenCalls() throws Exception {
        Call open = new Call().request("GET", "/video/aa/0", "r-1", 1);
        attemptHeaders(open.next());
        server.terminate();
        open.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, open.next().getResponseCase());
        open.out.onCompleted();
        assertTrue(server.awaitEnd(10_000));
    }

    @Test
    void reporterGetsOneAttemptAfterAnotherUntilTheFinalAnswer() throws Exception {
        BlockingQueue<ToCaller> answers = new LinkedBlockingQueue<>();
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        StreamObserver<FromCaller> out = DecisionsGrpc.newStub(channel).decide(new StreamObserver<>() {
            @Override
            public void onNext(ToCaller message) {
                answers.add(message);
            }

            @Override
            public void onError(Throwable cause) {
                ended.complete(false);
            }

            @Override
            public void onCompleted() {
                ended.complete(true);
            }
        });
        out.onNext(FromCaller.newBuilder()
                .setAsk(Ask.newBuilder()
                        .setId("q")
                        .setRequestClass("segment")
                        .setObject("x")
                        .setGroup(-1))
                .build());
        ToCaller first = answers.poll(10, TimeUnit.SECONDS);
        out.onNext(FromCaller.newBuilder()
                .setEnd(End.newBuilder()
                        .setAttempt(first.getNamed().getAttempt())
                        .setHow(End.How.UNREACHED))
                .build());
        ToCaller second = answers.poll(10, TimeUnit.SECONDS);
        assertEquals(1, second.getNamed().getAttempt());
        assertFalse(second.getNamed().getCache().equals(first.getNamed().getCache()));
        out.onNext(FromCaller.newBuilder()
                .setEnd(End.newBuilder().setAttempt(1).setHow(End.How.OK).setNote("parent"))
                .build());
        assertEquals(
                Final.Code.SERVED, answers.poll(10, TimeUnit.SECONDS).getFinal().getCode());
        assertTrue(ended.get(10, TimeUnit.SECONDS));
        assertNull(answers.poll());
    }
}
