package pumicemoor.extproc;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import pumicemoor.calls.FairAdmission;
import pumicemoor.extproc.proto.ExternalProcessorGrpc;
import pumicemoor.extproc.proto.HeaderMap;
import pumicemoor.extproc.proto.HeaderValue;
import pumicemoor.extproc.proto.HttpHeaders;
import pumicemoor.extproc.proto.ProcessingRequest;
import pumicemoor.extproc.proto.ProcessingResponse;
import pumicemoor.node.CallLoop;
import pumicemoor.node.Effect;
import pumicemoor.node.Input;
import pumicemoor.operator.ProcessorSection;
import pumicemoor.wire.SettingsReader;

/**
 * Warms up the JVM before the router's front listens (the "rehearsal" of the documentation): makes calls to a front of
 * its own, so that the first callers do not exceed their message timeout by waiting for class loading and JIT
 * compilation. It owns that front, its event loop and a listener on loopback, and answers in place of the decision
 * module; it must never use any object of the serving router.
 */
final class FrontWarmUp {

    private static final int CALLS = 1_500;
    private static final int MAX_CONCURRENT_CALLS = 16;
    private static final long MAX_SECONDS = 5;
    private static final FairAdmission.Limits NO_LIMITS =
            new FairAdmission.Limits(1_000_000, 1_000_000, 1_000_000, true);

    private FrontWarmUp() {}

    /** Runs until all calls are made or the time limit has passed; returns the number of calls begun. */
    static int run(ProcessorSection servingSection, SettingsReader settingsReader)
            throws IOException, InterruptedException {
        String requestClass = servingSection.rules().get(0).requestClass();
        ProcessorSection section = new ProcessorSection(
                "127.0.0.1:0",
                Optional.empty(),
                servingSection.messageTimeoutMicros(),
                0,
                servingSection.headerBytes(),
                1_000,
                NO_LIMITS,
                servingSection.noRule(),
                List.of(new ProcessorSection.RuleSpec("GET", "/(?P<object>.+)", Map.of(), requestClass, null)));
        ProcessorFront front = new ProcessorFront(section, settingsReader);
        WarmUpLoop loop = new WarmUpLoop(front);
        front.open(loop);
        ManagedChannel channel = NettyChannelBuilder.forAddress("127.0.0.1", front.port())
                .usePlaintext()
                .directExecutor()
                .build();
        Semaphore slots = new Semaphore(MAX_CONCURRENT_CALLS);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_SECONDS);
        int begun = 0;
        try {
            while (begun < CALLS
                    && slots.tryAcquire(Math.max(1, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                new OneCall(slots).begin(ExternalProcessorGrpc.newStub(channel), begun++);
            }
            slots.tryAcquire(
                    MAX_CONCURRENT_CALLS, Math.max(1, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
        } finally {
            channel.shutdownNow();
            front.close();
            loop.thread.shutdownNow();
        }
        return begun;
    }

    /** Replaces the event loop and the decision module: announces an attempt for each call, and ends it as served. */
    private static final class WarmUpLoop implements CallLoop {
        private final ExecutorService thread = Executors.newSingleThreadExecutor();
        private final ProcessorFront front;

        WarmUpLoop(ProcessorFront front) {
            this.front = front;
        }

        @Override
        public boolean execute(Runnable task) {
            if (thread.isShutdown()) {
                return false;
            }
            thread.execute(task);
            return true;
        }

        @Override
        public Runnable schedule(long micros, Runnable task) {
            return () -> {}; // no timeout occurs here
        }

        @Override
        public void submit(Input input) {
            if (input instanceof Input.Call call) {
                front.attemptAnnounced(new Effect.AnnounceAttempt(
                        call.number(),
                        -call.number(),
                        0,
                        "rehearsal",
                        "127.0.0.1:1",
                        100,
                        "rehearsal",
                        List.of(),
                        1,
                        0,
                        true,
                        false,
                        false));
            } else if (input instanceof Input.AttemptAnswered answered) {
                front.answered(-answered.attempt(), Effect.Code.SERVED, 0);
            }
        }

        @Override
        public long clock() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
        }

        @Override
        public void reportError(String text) {
            // no other peer takes part in the warm-up
        }
    }

    /** One call to the front: a request, its response and the end of the stream. */
    private static final class OneCall implements StreamObserver<ProcessingResponse> {
        private final Semaphore slots;
        private StreamObserver<ProcessingRequest> out;

        OneCall(Semaphore slots) {
            this.slots = slots;
        }

        void begin(ExternalProcessorGrpc.ExternalProcessorStub stub, int number) {
            out = stub.process(this);
            out.onNext(ProcessingRequest.newBuilder()
                    .setRequestHeaders(headers(
                            Map.of(":method", "GET", ":path", "/" + number, "x-request-id", "rehearsal-" + number)))
                    .build());
        }

        private static HttpHeaders headers(Map<String, String> values) {
            HeaderMap.Builder map = HeaderMap.newBuilder();
            values.forEach((name, value) ->
                    map.addHeaders(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value))));
            return HttpHeaders.newBuilder().setHeaders(map).build();
        }

        @Override
        public void onNext(ProcessingResponse response) {
            if (response.getResponseCase() == ProcessingResponse.ResponseCase.REQUEST_HEADERS) {
                out.onNext(ProcessingRequest.newBuilder()
                        .setResponseHeaders(headers(Map.of(":status", "200")))
                        .build());
            } else {
                out.onCompleted();
            }
        }

        @Override
        public void onError(Throwable cause) {
            slots.release();
        }

        @Override
        public void onCompleted() {
            slots.release();
        }
    }
}
