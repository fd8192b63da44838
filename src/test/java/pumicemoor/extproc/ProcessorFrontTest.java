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

/** The front on a socket of loopback, called as a proxy calls it, round the real reducer and decisions. */
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

    private void start(int retryWait) throws Exception {
        OperatorConfig operator = operator(OPERATOR.formatted(retryWait));
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
        front = new ProcessorFront(operator.processor().orElseThrow(), config.words());
        server.attach(front);
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

    /** One stream, its answers in a queue; the end is an answer without a case, or its status. */
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
        public void onError(Throwable t) {
            end.complete(Status.fromThrowable(t));
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
        headers.forEach(
                (k, v) -> map.addHeaders(HeaderValue.newBuilder().setKey(k).setRawValue(ByteString.copyFromUtf8(v))));
        return HttpHeaders.newBuilder().setHeaders(map).build();
    }

    private static Map<String, String> told(ProcessingResponse answer) {
        assertNotNull(answer);
        assertEquals(ResponseCase.REQUEST_HEADERS, answer.getResponseCase(), answer.toString());
        Map<String, String> told = new LinkedHashMap<>();
        answer.getRequestHeaders()
                .getResponse()
                .getHeaderMutation()
                .getSetHeadersList()
                .forEach(h -> told.put(
                        h.getHeader().getKey(), h.getHeader().getRawValue().toStringUtf8()));
        return told;
    }

    private long state(String name) throws Exception {
        CompletableFuture<Long> value = new CompletableFuture<>();
        server.execute(() -> value.complete(Long.parseLong(server.state().get("processor-" + name))));
        return value.get(10, TimeUnit.SECONDS);
    }

    private void awaitNothingOpen() throws Exception {
        while (state("open") > 0) {
            Thread.sleep(5);
        }
    }

    @Test
    void aRequestIsToldItsCacheSourceRankAndLimits() throws Exception {
        Call call = new Call().request("GET", "/video/00af/3?x=1", "r-1", 1);
        Map<String, String> told = told(call.next());
        assertTrue(told.get("x-pumicemoor-cache").matches("s-[12]"), told.toString());
        assertEquals("127.0.0.1:1" + told.get("x-pumicemoor-cache").charAt(2), told.get("x-pumicemoor-address"));
        assertEquals("p-1", told.get("x-pumicemoor-source"));
        assertEquals("1", told.get("x-pumicemoor-keep-rank"));
        assertEquals("collapse", told.get("x-pumicemoor-flags"));
        assertEquals("0", told.get("x-pumicemoor-attempt"));
        call.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, call.next().getResponseCase());
        call.out.onCompleted();
        assertEquals(Status.Code.OK, call.endCode());
        awaitNothingOpen();
        assertEquals(0, server.counters().get(pumicemoor.node.Counters.Name.FAULTS));
        Call again = new Call().request("GET", "/video/00af/3", "r-2", 1);
        assertEquals(told.get("x-pumicemoor-cache"), told(again.next()).get("x-pumicemoor-cache"));
        again.out.onCompleted();
        assertEquals(Status.Code.OK, again.endCode());
    }

    @Test
    void whatNoRuleFitsIsRefusedOrPassedAsTheFileSays() throws Exception {
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
        assertEquals(0, told(passed.next()).size());
        passed.response("500");
        assertEquals(ResponseCase.RESPONSE_HEADERS, passed.next().getResponseCase());
        passed.out.onCompleted();
        assertEquals(Status.Code.OK, passed.endCode());
    }

    @Test
    void aRequestWithAnEffectIsNeverNamedTwiceOnceItMayHaveRun() throws Exception {
        Call call = new Call().request("POST", "/book/7", "b-1", 1);
        told(call.next());
        Call second = new Call().request("POST", "/book/7", "b-1", 1);
        assertEquals(502, second.next().getImmediateResponse().getStatus().getCode(), "while it is open");
        call.out.onError(Status.CANCELLED.asRuntimeException());
        awaitNothingOpen();
        assertEquals(
                502,
                new Call()
                        .request("POST", "/book/7", "b-1", 2)
                        .next()
                        .getImmediateResponse()
                        .getStatus()
                        .getCode(),
                "its end is unknown");
        assertEquals(
                502,
                new Call()
                        .request("POST", "/book/8", "b-2", 2)
                        .next()
                        .getImmediateResponse()
                        .getStatus()
                        .getCode(),
                "a repeat of which nothing is known, as after a start");
        Call turnedAway = new Call().request("POST", "/book/9", "b-3", 1);
        told(turnedAway.next());
        turnedAway.response("429");
        turnedAway.next();
        turnedAway.out.onCompleted();
        turnedAway.endCode();
        told(new Call().request("POST", "/book/9", "b-3", 2).next()); // it never ran
    }

    @Test
    void aCallerThatTriesAgainByItselfGetsTheAttemptHeldReady() throws Exception {
        end();
        start(2_000);
        Call first = new Call().request("GET", "/video/aa/0", "r-1", 1);
        assertEquals("0", told(first.next()).get("x-pumicemoor-attempt"));
        first.response("503");
        assertEquals(ResponseCase.RESPONSE_HEADERS, first.next().getResponseCase());
        first.out.onCompleted();
        first.endCode();
        Call second = new Call().request("GET", "/video/aa/0", "r-1", 2);
        assertEquals("1", told(second.next()).get("x-pumicemoor-attempt"), "it belongs to the same request");
        second.response("200");
        second.next();
        second.out.onCompleted();
        second.endCode();
        assertEquals(1, state("tried-again"));
        assertEquals(1, server.counters().get(pumicemoor.node.Counters.Name.REQUESTS));
        assertEquals(1, server.counters().get(pumicemoor.node.Counters.Name.SERVED));
    }

    @Test
    void whatIsHeldReadyAndNotFetchedIsLetGo() throws Exception {
        end();
        start(100);
        Call first = new Call().request("POST", "/book/1", "b-1", 1);
        told(first.next());
        first.response("429");
        assertEquals(ResponseCase.RESPONSE_HEADERS, first.next().getResponseCase());
        first.out.onCompleted();
        first.endCode();
        while (state("held-ready") > 0) {
            Thread.sleep(5);
        }
        Call later = new Call().request("POST", "/book/1", "b-1", 2);
        assertEquals("0", told(later.next()).get("x-pumicemoor-attempt"), "it never ran, and is a new request now");
        assertEquals(1, state("ids-kept"));
    }

    @Test
    void badStreamsEndByThemselvesAndOthersGoOn() throws Exception {
        Call good = new Call().request("GET", "/video/aa/0", "r-1", 1);
        told(good.next());
        Call order = new Call().response("200");
        assertEquals(Status.Code.INVALID_ARGUMENT, order.endCode());
        Call twice = new Call().request("GET", "/video/aa/0", "r-2", 1);
        told(twice.next());
        twice.request("GET", "/video/aa/0", "r-2", 1);
        assertEquals(Status.Code.INVALID_ARGUMENT, twice.endCode());
        Call nothing = new Call();
        nothing.out.onNext(ProcessingRequest.getDefaultInstance());
        assertEquals(Status.Code.INVALID_ARGUMENT, nothing.endCode());
        Call empty = new Call();
        empty.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.getDefaultInstance())
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, empty.endCode());
        Call bytes = new Call();
        bytes.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder()
                        .setHeaders(HeaderMap.newBuilder()
                                .addHeaders(HeaderValue.newBuilder()
                                        .setKey(":path")
                                        .setRawValue(ByteString.copyFrom(new byte[] {(byte) 0xff, (byte) 0xfe})))))
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, bytes.endCode());
        Call large = new Call();
        large.out.onNext(ProcessingRequest.newBuilder()
                .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[20_000])))
                .build());
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, large.endCode());
        StatusRuntimeException unknown = org.junit.jupiter.api.Assertions.assertThrows(
                StatusRuntimeException.class,
                () -> io.grpc.stub.ClientCalls.blockingUnaryCall(
                        channel,
                        ExternalProcessorGrpc.getProcessMethod().toBuilder()
                                .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
                                .setFullMethodName("envoy.service.ext_proc.v3.ExternalProcessor/Nothing")
                                .build(),
                        io.grpc.CallOptions.DEFAULT,
                        ProcessingRequest.getDefaultInstance()));
        assertEquals(Status.Code.UNIMPLEMENTED, unknown.getStatus().getCode());
        good.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, good.next().getResponseCase());
        good.out.onCompleted();
        good.endCode();
        awaitNothingOpen();
        assertTrue(state("aborted") >= 5);
    }

    @Test
    void pastTheBoundOnOpenCallsTheAnswerIsARefusalAtOnceWithATimeToStayAway() throws Exception {
        for (int i = 0; i < 5; i++) {
            told(new Call()
                    .request("GET", "/video/" + Integer.toHexString(i) + "/0", "r-" + i, 1)
                    .next());
        }
        ProcessingResponse answer =
                new Call().request("GET", "/video/aa/0", "r-x", 1).next();
        assertEquals(503, answer.getImmediateResponse().getStatus().getCode());
        assertTrue(answer.getImmediateResponse().getHeaders().getSetHeadersList().stream()
                .anyMatch(h -> h.getHeader().getKey().equals("retry-after")));
        channel.shutdownNow();
        awaitNothingOpen();
        assertEquals(0, state("ids-kept"));
    }

    @Test
    void aPlannedEndTakesNoNewCallsAndWaitsForTheOpenOnes() throws Exception {
        Call open = new Call().request("GET", "/video/aa/0", "r-1", 1);
        told(open.next());
        server.terminate();
        open.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, open.next().getResponseCase());
        open.out.onCompleted();
        assertTrue(server.awaitEnd(10_000));
    }

    @Test
    void aReporterIsNamedOneAttemptAfterTheOtherUntilTheEnd() throws Exception {
        BlockingQueue<ToCaller> answers = new LinkedBlockingQueue<>();
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        StreamObserver<FromCaller> out = DecisionsGrpc.newStub(channel).decide(new StreamObserver<>() {
            @Override
            public void onNext(ToCaller m) {
                answers.add(m);
            }

            @Override
            public void onError(Throwable t) {
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
