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
 * A proxy that calls an external processor as its published pages say: it sends a request's headers, waits its
 * message time-out and no longer, forwards to the cache that it is told, tells of the response, and ends the stream.
 * It owns its record of how every call ended and of what it sent; it never asks the processor for figures.
 */
public final class ProxyStandIn implements AutoCloseable {

    private static final long RECONNECT = 100; // milliseconds between tries at a program that is away

    /** How a call ended for the proxy's own client. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        NOT_ANSWERED,
        BROKEN
    }

    /** One call: its id, when it began (System.nanoTime), how it ended and after how long (microseconds). */
    public record Done(String id, long began, End end, long micros) {}

    /** What a cache is asked for: by name, object and id; true where it served. */
    public interface Caches {
        boolean ask(String cache, String object, String id, Map<String, String> told);
    }

    private final ManagedChannel channel;
    private final ExternalProcessorGrpc.ExternalProcessorStub stub;
    private final long messageTimeout;
    private final Caches caches;
    private final long cacheMillis;
    private final ScheduledExecutorService work;
    private final Map<String, Integer> answers = new HashMap<>(); // answers to request headers, by id
    private final List<Done> done = new ArrayList<>();
    private final List<Done> unanswered = new ArrayList<>();
    private int open;

    /** A proxy with one connection; the message time-out and what a cache takes are in milliseconds. */
    public ProxyStandIn(
            String name,
            String host,
            int port,
            long messageTimeoutMillis,
            Caches caches,
            long cacheMillis,
            ScheduledExecutorService work) {
        this.cacheMillis = cacheMillis;
        this.channel = NettyChannelBuilder.forAddress(host, port).usePlaintext().build();
        Metadata who = new Metadata();
        who.put(Metadata.Key.of("x-pumicemoor-caller", Metadata.ASCII_STRING_MARSHALLER), name);
        this.stub =
                ExternalProcessorGrpc.newStub(channel).withInterceptors(MetadataUtils.newAttachHeadersInterceptor(who));
        this.messageTimeout = messageTimeoutMillis;
        this.caches = caches;
        this.work = work;
        work.scheduleAtFixedRate(channel::resetConnectBackoff, RECONNECT, RECONNECT, TimeUnit.MILLISECONDS);
    }

    /** Calls for one request; its end is written down whatever happens. */
    public void call(String id, String method, String path, String object, int attempt) {
        synchronized (this) {
            open++;
        }
        new Call(id, object).begin(method, path, attempt);
    }

    /** Waits until no call is open, at most so long; whether that came. */
    public boolean awaitQuiet(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (this) {
            while (open > 0 && System.nanoTime() < end) {
                wait(10);
            }
            return open == 0;
        }
    }

    public synchronized List<Done> done() {
        return List.copyOf(done);
    }

    /** Those that were not answered or broke since this was last asked. */
    public synchronized List<Done> takeUnanswered() {
        List<Done> taken = List.copyOf(unanswered);
        unanswered.clear();
        return taken;
    }

    /** The most answers that one call got to its request headers. */
    public synchronized int mostAnswers() {
        return answers.values().stream().mapToInt(i -> i).max().orElse(0);
    }

    public synchronized int open() {
        return open;
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
        private String key;
        private final long began = System.nanoTime();
        private StreamObserver<ProcessingRequest> out;
        private boolean answered;
        private boolean over;
        private boolean cancelled;

        Call(String id, String object) {
            this.id = id;
            this.object = object;
        }

        synchronized void begin(String method, String path, int attempt) {
            key = id + "#" + attempt;
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
            work.schedule(this::messageTimeUp, messageTimeout, TimeUnit.MILLISECONDS);
        }

        private synchronized void messageTimeUp() {
            if (!answered && !over) {
                end(End.NOT_ANSWERED);
                cancelled = true;
                out.onError(io.grpc.Status.CANCELLED.asException());
            }
        }

        @Override
        public void onNext(ProcessingResponse response) {
            switch (response.getResponseCase()) {
                case REQUEST_HEADERS -> {
                    if (counted()) {
                        Map<String, String> told = new HashMap<>();
                        response.getRequestHeaders()
                                .getResponse()
                                .getHeaderMutation()
                                .getSetHeadersList()
                                .forEach(h -> told.put(
                                        h.getHeader().getKey(),
                                        h.getHeader().getRawValue().toStringUtf8()));
                        work.schedule(() -> forward(told), cacheMillis, TimeUnit.MILLISECONDS);
                    }
                }
                case IMMEDIATE_RESPONSE -> {
                    if (counted()) {
                        end(response.getImmediateResponse().getStatus().getCode() == 503 ? End.REFUSED : End.FAILED);
                    }
                }
                case RESPONSE_HEADERS -> {
                    synchronized (this) {
                        end(End.SERVED);
                        out.onCompleted();
                    }
                }
                default -> {
                    // no body was sent
                }
            }
        }

        private synchronized boolean counted() {
            answered = true;
            synchronized (ProxyStandIn.this) {
                answers.merge(key, 1, Integer::sum);
            }
            return !over;
        }

        private void forward(Map<String, String> told) {
            boolean served = caches.ask(told.get("x-pumicemoor-cache"), object, id, told);
            synchronized (this) {
                if (over) {
                    return;
                }
                if (!served) {
                    end(End.FAILED);
                }
                try {
                    out.onNext(ProcessingRequest.newBuilder()
                            .setResponseHeaders(HttpHeaders.newBuilder()
                                    .setHeaders(headers(
                                            Map.of(":status", served ? "200" : "503", "x-pumicemoor-note", "mem"))))
                            .build());
                } catch (IllegalStateException e) {
                    end(served ? End.SERVED : End.FAILED); // the processor has gone, the response is there
                }
            }
        }

        private synchronized void end(End end) {
            if (over) {
                return;
            }
            over = true;
            synchronized (ProxyStandIn.this) {
                Done d = new Done(id, began, end, (System.nanoTime() - began) / 1_000);
                done.add(d);
                if (end == End.BROKEN || end == End.NOT_ANSWERED) {
                    unanswered.add(d);
                }
                open--;
                ProxyStandIn.this.notifyAll();
            }
        }

        @Override
        public synchronized void onError(Throwable t) {
            if (!cancelled) {
                end(End.BROKEN);
            }
        }

        @Override
        public synchronized void onCompleted() {
            end(answered ? End.SERVED : End.BROKEN);
        }
    }
}
