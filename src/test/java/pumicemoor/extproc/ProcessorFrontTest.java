package pumicemoor.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.extproc.FrontRig.attemptHeaders;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.nio.file.Path;
import java.util.Map;
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
import pumicemoor.extproc.proto.v1.End;
import pumicemoor.extproc.proto.v1.Final;
import pumicemoor.extproc.proto.v1.ToCaller;
import pumicemoor.operator.OperatorConfig;

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

    private FrontRig rig;

    @BeforeEach
    void start() throws Exception {
        start(0);
    }

    private void start(int retryWaitMillis) throws Exception {
        rig = new FrontRig(folder, OPERATOR.formatted(retryWaitMillis));
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private FrontRig.ProxyCall newCall() {
        return rig.new ProxyCall();
    }

    @Test
    void requestGetsHeadersForCacheSourceRankAndFlags() throws Exception {
        FrontRig.ProxyCall call = newCall().request("GET", "/video/00af/3?x=1", "r-1", 1);
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
        rig.awaitNoOpenCalls();
        assertEquals(0, rig.server.counters().get(pumicemoor.node.Counters.Name.FAULTS));
        FrontRig.ProxyCall again = newCall().request("GET", "/video/00af/3", "r-2", 1);
        assertEquals(
                headers.get("x-pumicemoor-cache"), attemptHeaders(again.next()).get("x-pumicemoor-cache"));
        again.out.onCompleted();
        assertEquals(Status.Code.OK, again.endCode());
    }

    @Test
    void requestWithoutAMatchingRuleIsRefusedOrPassedAsConfigured() throws Exception {
        FrontRig.ProxyCall call = newCall().request("GET", "/elsewhere", "r-1", 1);
        ProcessingResponse answer = call.next();
        assertEquals(503, answer.getImmediateResponse().getStatus().getCode());
        assertEquals(Status.Code.OK, call.endCode());
        OperatorConfig pass = rig.operator(OPERATOR.formatted(0) + "  no-rule: pass\n");
        rig.runOnLoop(() -> rig.front.applyOperatorConfig(pass));
        FrontRig.ProxyCall passed = newCall().request("GET", "/elsewhere", "r-2", 1);
        assertEquals(0, attemptHeaders(passed.next()).size());
        passed.response("500");
        assertEquals(ResponseCase.RESPONSE_HEADERS, passed.next().getResponseCase());
        passed.out.onCompleted();
        assertEquals(Status.Code.OK, passed.endCode());
    }

    @Test
    void unsafeRequestGetsNoSecondAttemptOnceItMayHaveRun() throws Exception {
        FrontRig.ProxyCall call = newCall().request("POST", "/book/7", "b-1", 1);
        attemptHeaders(call.next());
        FrontRig.ProxyCall second = newCall().request("POST", "/book/7", "b-1", 1);
        assertEquals(502, second.next().getImmediateResponse().getStatus().getCode(), "while the first call is open");
        call.out.onError(Status.CANCELLED.asRuntimeException());
        rig.awaitNoOpenCalls();
        assertEquals(
                502,
                newCall()
                        .request("POST", "/book/7", "b-1", 2)
                        .next()
                        .getImmediateResponse()
                        .getStatus()
                        .getCode(),
                "the outcome of the first call is unknown");
        assertEquals(
                502,
                newCall()
                        .request("POST", "/book/8", "b-2", 2)
                        .next()
                        .getImmediateResponse()
                        .getStatus()
                        .getCode(),
                "a retry whose first call is not known, as after a start of the router");
        FrontRig.ProxyCall refused = newCall().request("POST", "/book/9", "b-3", 1);
        attemptHeaders(refused.next());
        refused.response("429");
        refused.next();
        refused.out.onCompleted();
        refused.endCode();
        attemptHeaders(newCall().request("POST", "/book/9", "b-3", 2).next()); // it never ran
    }

    @Test
    void retryOfTheCallerGetsTheAttemptKeptReady() throws Exception {
        end();
        start(2_000);
        FrontRig.ProxyCall first = newCall().request("GET", "/video/aa/0", "r-1", 1);
        assertEquals("0", attemptHeaders(first.next()).get("x-pumicemoor-attempt"));
        first.response("503");
        assertEquals(ResponseCase.RESPONSE_HEADERS, first.next().getResponseCase());
        first.out.onCompleted();
        first.endCode();
        FrontRig.ProxyCall second = newCall().request("GET", "/video/aa/0", "r-1", 2);
        assertEquals(
                "1",
                attemptHeaders(second.next()).get("x-pumicemoor-attempt"),
                "the retry belongs to the same request");
        second.response("200");
        second.next();
        second.out.onCompleted();
        second.endCode();
        assertEquals(1, rig.state("tried-again"));
        assertEquals(1, rig.server.counters().get(pumicemoor.node.Counters.Name.REQUESTS));
        assertEquals(1, rig.server.counters().get(pumicemoor.node.Counters.Name.SERVED));
    }

    @Test
    void unusedReadyAttemptIsDiscarded() throws Exception {
        end();
        start(100);
        FrontRig.ProxyCall first = newCall().request("POST", "/book/1", "b-1", 1);
        attemptHeaders(first.next());
        first.response("429");
        assertEquals(ResponseCase.RESPONSE_HEADERS, first.next().getResponseCase());
        first.out.onCompleted();
        first.endCode();
        while (rig.state("held-ready") > 0) {
            Thread.sleep(5);
        }
        FrontRig.ProxyCall later = newCall().request("POST", "/book/1", "b-1", 2);
        assertEquals(
                "0",
                attemptHeaders(later.next()).get("x-pumicemoor-attempt"),
                "the first request never ran, so this is a new one");
        assertEquals(1, rig.state("ids-kept"));
    }

    @Test
    void invalidStreamsAreAbortedWithoutEffectOnOthers() throws Exception {
        FrontRig.ProxyCall good = newCall().request("GET", "/video/aa/0", "r-1", 1);
        attemptHeaders(good.next());
        FrontRig.ProxyCall responseFirst = newCall().response("200");
        assertEquals(Status.Code.INVALID_ARGUMENT, responseFirst.endCode());
        FrontRig.ProxyCall secondRequest = newCall().request("GET", "/video/aa/0", "r-2", 1);
        attemptHeaders(secondRequest.next());
        secondRequest.request("GET", "/video/aa/0", "r-2", 1);
        assertEquals(Status.Code.INVALID_ARGUMENT, secondRequest.endCode());
        FrontRig.ProxyCall withoutPhase = newCall();
        withoutPhase.out.onNext(ProcessingRequest.getDefaultInstance());
        assertEquals(Status.Code.INVALID_ARGUMENT, withoutPhase.endCode());
        FrontRig.ProxyCall withoutHeaders = newCall();
        withoutHeaders.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.getDefaultInstance())
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, withoutHeaders.endCode());
        FrontRig.ProxyCall notText = newCall();
        notText.out.onNext(ProcessingRequest.newBuilder()
                .setRequestHeaders(HttpHeaders.newBuilder()
                        .setHeaders(HeaderMap.newBuilder()
                                .addHeaders(HeaderValue.newBuilder()
                                        .setKey(":path")
                                        .setRawValue(ByteString.copyFrom(new byte[] {(byte) 0xff, (byte) 0xfe})))))
                .build());
        assertEquals(Status.Code.INVALID_ARGUMENT, notText.endCode());
        FrontRig.ProxyCall oversized = newCall();
        oversized.out.onNext(ProcessingRequest.newBuilder()
                .setRequestBody(HttpBody.newBuilder().setBody(ByteString.copyFrom(new byte[20_000])))
                .build());
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, oversized.endCode());
        StatusRuntimeException unknownMethod = org.junit.jupiter.api.Assertions.assertThrows(
                StatusRuntimeException.class,
                () -> io.grpc.stub.ClientCalls.blockingUnaryCall(
                        rig.channel,
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
        rig.awaitNoOpenCalls();
        assertTrue(rig.state("aborted") >= 5);
    }

    @Test
    void callOverTheLimitOfOpenCallsIsRefusedAtOnceWithARetryDelay() throws Exception {
        for (int i = 0; i < 5; i++) {
            attemptHeaders(newCall()
                    .request("GET", "/video/" + Integer.toHexString(i) + "/0", "r-" + i, 1)
                    .next());
        }
        ProcessingResponse answer =
                newCall().request("GET", "/video/aa/0", "r-x", 1).next();
        assertEquals(503, answer.getImmediateResponse().getStatus().getCode());
        assertTrue(answer.getImmediateResponse().getHeaders().getSetHeadersList().stream()
                .anyMatch(h -> h.getHeader().getKey().equals("retry-after")));
        rig.channel.shutdownNow();
        rig.awaitNoOpenCalls();
        assertEquals(0, rig.state("ids-kept"));
    }

    @Test
    void terminationWaitsForOpenCalls() throws Exception {
        FrontRig.ProxyCall open = newCall().request("GET", "/video/aa/0", "r-1", 1);
        attemptHeaders(open.next());
        rig.server.terminate();
        open.response("200");
        assertEquals(ResponseCase.RESPONSE_HEADERS, open.next().getResponseCase());
        open.out.onCompleted();
        assertTrue(rig.server.awaitEnd(10_000));
    }

    @Test
    void reporterGetsOneAttemptAfterAnotherUntilTheFinalAnswer() throws Exception {
        FrontRig.ReporterCall call = rig.new ReporterCall().ask("segment", "x", "q", 0);
        ToCaller first = call.next();
        call.report(first.getNamed().getAttempt(), End.How.UNREACHED);
        ToCaller second = call.next();
        assertEquals(1, second.getNamed().getAttempt());
        assertFalse(second.getNamed().getCache().equals(first.getNamed().getCache()));
        call.report(1, End.How.OK, "parent");
        assertEquals(Final.Code.SERVED, call.finalCode());
        assertEquals(Status.Code.OK, call.endCode());
        assertNull(call.answers.poll());
    }
}
