package pumicemoor.lab;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pumicemoor.extproc.proto.ExternalProcessorGrpc;
import pumicemoor.extproc.proto.HeaderMap;
import pumicemoor.extproc.proto.HeaderValue;
import pumicemoor.extproc.proto.HttpHeaders;
import pumicemoor.extproc.proto.ProcessingRequest;
import pumicemoor.extproc.proto.ProcessingResponse;

/**
 * Stand-in for a proxy that calls an external processor as the protocol's documentation describes: it sends the headers
 * of a request, waits at most its message timeout, forwards the request to the cache named in the response, reports the
 * cache's response, and ends the stream. It owns its records of completed calls and received answers, and never queries
 * the processor's metrics.
 */
public final class ProxyStandIn implements AutoCloseable {

    private static final long RECONNECT_INTERVAL_MILLIS = 100; // between connection attempts to a program that is down

    /** How a call ended for the client of the proxy. */
    public enum CallOutcome {
        SERVED,
        REFUSED,
        FAILED,
        NOT_ANSWERED,
        BROKEN
    }

    /** One completed call: its id, its start (System.nanoTime), its outcome and its duration in microseconds. */
    public record CompletedCall(String id, long startNanos, CallOutcome outcome, long micros) {}

    /** The caches behind a proxy. */
    public interface Caches {
        /** Sends a request with this id for an object to a cache and returns whether it was served. */
        boolean send(String cache, String object, String id, Map<String, String> setHeaders);
    }

    private final ManagedChannel channel;
    private final ExternalProcessorGrpc.ExternalProcessorStub stub;
    private final long messageTimeoutMillis;
    private final Caches caches;
    private final long cacheMillis;
    private final ScheduledExecutorService executor;
    // responses to request headers, by id and attempt
    private final Map<String, Integer> answersByAttempt = new HashMap<>();
    private final List<CompletedCall> completed = new ArrayList<>();
    private final List<CompletedCall> unanswered = new ArrayList<>();
    private int openCalls;

    /**
     * Creates a proxy with one connection; the message timeout and the response time of a cache are in milliseconds.
     */
    public ProxyStandIn(
            String name,
            String host,
            int port,
            long messageTimeoutMillis,
            Caches caches,
            long cacheMillis,
            ScheduledExecutorService executor) {
        this.cacheMillis = cacheMillis;
        this.channel = NettyChannelBuilder.forAddress(host, port).usePlaintext().build();
        Metadata callerHeader = new Metadata();
        callerHeader.put(Metadata.Key.of("x-pumicemoor-caller", Metadata.ASCII_STRING_MARSHALLER), name);
        this.stub = ExternalProcessorGrpc.newStub(channel)
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(callerHeader));
        this.messageTimeoutMillis = messageTimeoutMillis;
        this.caches = caches;
        this.executor = executor;
        executor.scheduleAtFixedRate(
                channel::resetConnectBackoff,
                RECONNECT_INTERVAL_MILLIS,
                RECONNECT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts a call for one request; its outcome is recorded in every case. */
    public void call(String id, String method, String path, String object, int attempt) {
        synchronized (this) {
            openCalls++;
        }
        new Call(id, object).begin(method, path, attempt);
    }

    /** Waits until no call is open, for at most the given time in milliseconds; returns whether none is open. */
    public boolean awaitIdle(long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (this) {
            while (openCalls > 0 && System.nanoTime() < deadlineNanos) {
                wait(10);
            }
            return openCalls == 0;
        }
    }

    public synchronized List<CompletedCall> completed() {
        return List.copyOf(completed);
    }

    /** Returns and removes the calls that were not answered or broke since the last invocation. */
    public synchronized List<CompletedCall> takeUnanswered() {
        List<CompletedCall> taken = List.copyOf(unanswered);
        unanswered.clear();
        return taken;
    }

    /** Returns the highest number of responses that any call received to its request headers. */
    public synchronized int maxAnswersPerCall() {
        return answersByAttempt.values().stream().mapToInt(i -> i).max().orElse(0);
    }

    public synchronized int openCalls() {
        return openCalls;
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }

    static HeaderMap headers(Map<String, String> values) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        values.forEach(
                (k, v) -> map.addHeaders(HeaderValue.newBuilder().setKey(k).setRawValue(ByteString.copyFromUtf8(v))));
        return map.build();
    }

    private final class Call implements StreamObserver<ProcessingResponse> {
        private final String id;
        private final String object;
        private String attemptKey;
        private final long startNanos = System.nanoTime();
        private StreamObserver<ProcessingRequest> out;
        private boolean answered;
        private boolean ended;
        private boolean cancelled;

        Call(String id, String object) {
            this.id = id;
            this.object = object;
        }

        synchronized void begin(String method, String path, int attempt) {
            attemptKey = id + "#" + attempt;
            out = stub.process(this);
            out.onNext(ProcessingRequest.newBuilder()
                    .setRequestHeaders(HttpHeaders.newBuilder()
                            .setEndOfStream(true)
                            .setHeaders(headers(Map.of(
                                    ":method",
                                    method,
                                    ":path",
                                    path,
                                    "x-request-id",
                                    id,
                                    "x-envoy-attempt-count",
                                    Integer.toString(attempt)))))
                    .build());
            executor.schedule(this::onMessageTimeout, messageTimeoutMillis, TimeUnit.MILLISECONDS);
        }

        private synchronized void onMessageTimeout() {
            if (!answered && !ended) {
                end(CallOutcome.NOT_ANSWERED);
                cancelled = true;
                out.onError(io.grpc.Status.CANCELLED.asException());
            }
        }

        @Override
        public void onNext(ProcessingResponse response) {
            switch (response.getResponseCase()) {
                case REQUEST_HEADERS -> {
                    if (countAnswer()) {
                        Map<String, String> setHeaders = new HashMap<>();
                        response.getRequestHeaders()
                                .getResponse()
                                .getHeaderMutation()
                                .getSetHeadersList()
                                .forEach(option -> setHeaders.put(
                                        option.getHeader().getKey(),
                                        option.getHeader().getRawValue().toStringUtf8()));
                        executor.schedule(() -> forward(setHeaders), cacheMillis, TimeUnit.MILLISECONDS);
                    }
                }
                case IMMEDIATE_RESPONSE -> {
                    if (countAnswer()) {
                        end(
                                response.getImmediateResponse().getStatus().getCode() == 503
                                        ? CallOutcome.REFUSED
                                        : CallOutcome.FAILED);
                    }
                }
                case RESPONSE_HEADERS -> {
                    synchronized (this) {
                        end(CallOutcome.SERVED);
                        out.onCompleted();
                    }
                }
                default -> {
                    // no other response is expected, since no body was sent
                }
            }
        }

        private synchronized boolean countAnswer() {
            answered = true;
            synchronized (ProxyStandIn.this) {
                answersByAttempt.merge(attemptKey, 1, Integer::sum);
            }
            return !ended;
        }

        private void forward(Map<String, String> setHeaders) {
            boolean served = caches.send(setHeaders.get("x-pumicemoor-cache"), object, id, setHeaders);
            synchronized (this) {
                if (ended) {
                    return;
                }
                if (!served) {
                    end(CallOutcome.FAILED);
                }
                try {
                    out.onNext(ProcessingRequest.newBuilder()
                            .setResponseHeaders(HttpHeaders.newBuilder()
                                    .setHeaders(headers(
                                            Map.of(":status", served ? "200" : "503", "x-pumicemoor-note", "mem"))))
                            .build());
                } catch (IllegalStateException e) {
                    // the processor is gone, but a served client has its response
                    end(served ? CallOutcome.SERVED : CallOutcome.FAILED);
                }
            }
        }

        private synchronized void end(CallOutcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            synchronized (ProxyStandIn.this) {
                CompletedCall call =
                        new CompletedCall(id, startNanos, outcome, (System.nanoTime() - startNanos) / 1_000);
                completed.add(call);
                if (outcome == CallOutcome.BROKEN || outcome == CallOutcome.NOT_ANSWERED) {
                    unanswered.add(call);
                }
                openCalls--;
                ProxyStandIn.this.notifyAll();
            }
        }

        @Override
        public synchronized void onError(Throwable error) {
            if (!cancelled) {
                end(CallOutcome.BROKEN);
            }
        }

        @Override
        public synchronized void onCompleted() {
            end(answered ? CallOutcome.SERVED : CallOutcome.BROKEN);
        }
    }
}
