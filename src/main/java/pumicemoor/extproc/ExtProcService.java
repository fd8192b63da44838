package pumicemoor.extproc;

import com.google.protobuf.ByteString;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.Optional;
import pumicemoor.calls.CallState;
import pumicemoor.calls.CallState.Style;
import pumicemoor.extproc.proto.BodyResponse;
import pumicemoor.extproc.proto.CommonResponse;
import pumicemoor.extproc.proto.ExternalProcessorGrpc;
import pumicemoor.extproc.proto.HeadersResponse;
import pumicemoor.extproc.proto.HttpStatus;
import pumicemoor.extproc.proto.ImmediateResponse;
import pumicemoor.extproc.proto.ProcessingMode;
import pumicemoor.extproc.proto.ProcessingRequest;
import pumicemoor.extproc.proto.ProcessingResponse;
import pumicemoor.extproc.proto.TrailersResponse;
import pumicemoor.node.Effect;

/** Envoy's external processing service, one stream for each HTTP request. It only decodes and encodes messages. */
final class ExtProcService extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    private static final int REFUSED_HTTP_STATUS = 503;
    private static final int FAILED_HTTP_STATUS = 502;
    private static final ProcessingMode RESPONSE_HEADERS_ONLY = ProcessingMode.newBuilder()
            .setResponseHeaderMode(ProcessingMode.HeaderSendMode.SEND)
            .setRequestTrailerMode(ProcessingMode.HeaderSendMode.SKIP)
            .setResponseTrailerMode(ProcessingMode.HeaderSendMode.SKIP)
            .build();

    private final ProcessorFront front;

    ExtProcService(ProcessorFront front) {
        this.front = front;
    }

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> responses) {
        ServerCallStreamObserver<ProcessingResponse> out = (ServerCallStreamObserver<ProcessingResponse>) responses;
        ProxyStream stream = new ProxyStream(ProcessorFront.caller(), out);
        return front.receive(stream, out, message -> onMessage(stream, message));
    }

    private void onMessage(ProxyStream stream, ProcessingRequest message) {
        stream.answeredPhase = message.getRequestCase();
        switch (message.getRequestCase()) {
            case REQUEST_HEADERS -> {
                Optional<Map<String, String>> headers =
                        Headers.read(message.getRequestHeaders().getHeaders());
                if (headers.isEmpty()) {
                    front.execute(stream, front.malformed(stream, "headers that are too many or not text"));
                } else {
                    front.request(stream, headers.get());
                }
            }
            case RESPONSE_HEADERS -> {
                Map<String, String> headers =
                        Headers.read(message.getResponseHeaders().getHeaders()).orElse(Map.of());
                front.response(stream, -1, Headers.endStatus(headers), Headers.note(headers));
            }
            case REQUEST_NOT_SET -> front.execute(stream, front.malformed(stream, "a phase that is not known"));
            default -> front.bodyOrTrailers(stream);
        }
    }

    /** The stream of one HTTP request, towards the proxy. */
    private static final class ProxyStream extends ProcessorFront.Stream {
        private final ServerCallStreamObserver<ProcessingResponse> out;

        ProxyStream(String caller, ServerCallStreamObserver<ProcessingResponse> out) {
            super(caller, Style.PROXY, out);
            this.out = out;
        }

        private void send(ProcessingResponse.Builder response) {
            if (callerConnected()) {
                out.onNext(response.build());
            }
        }

        @Override
        void sendAttempt(Effect.AnnounceAttempt attempt) {
            send(ProcessingResponse.newBuilder()
                    .setModeOverride(RESPONSE_HEADERS_ONLY)
                    .setRequestHeaders(HeadersResponse.newBuilder()
                            .setResponse(CommonResponse.newBuilder()
                                    .setHeaderMutation(Headers.attemptHeaders(attempt))
                                    .setClearRouteCache(true))));
        }

        @Override
        void sendFinal(CallState.Code code, long retryAfterMillis) {
            boolean refused = code == CallState.Code.REFUSED;
            send(ProcessingResponse.newBuilder()
                    .setImmediateResponse(ImmediateResponse.newBuilder()
                            .setStatus(
                                    HttpStatus.newBuilder().setCode(refused ? REFUSED_HTTP_STATUS : FAILED_HTTP_STATUS))
                            .setHeaders(Headers.refusal(refused ? "refused" : "failed", retryAfterMillis))
                            .setBody(ByteString.EMPTY)
                            .setDetails(refused ? "refused" : "failed")));
        }

        @Override
        void sendContinue() {
            ProcessingResponse.Builder response = ProcessingResponse.newBuilder();
            switch ((ProcessingRequest.RequestCase) answeredPhase) {
                case REQUEST_HEADERS -> response.setRequestHeaders(HeadersResponse.getDefaultInstance());
                case RESPONSE_HEADERS -> response.setResponseHeaders(HeadersResponse.getDefaultInstance());
                case REQUEST_BODY -> response.setRequestBody(BodyResponse.getDefaultInstance());
                case RESPONSE_BODY -> response.setResponseBody(BodyResponse.getDefaultInstance());
                case REQUEST_TRAILERS -> response.setRequestTrailers(TrailersResponse.getDefaultInstance());
                default -> response.setResponseTrailers(TrailersResponse.getDefaultInstance());
            }
            send(response);
        }
    }
}
