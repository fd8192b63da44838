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
 * Makes calls to a front of its own before the real one listens, so that the first callers don't wait for classes
 * and the compiler past their message time-out. It owns that front, its loop and a listener on loopback, and answers
 * in place of the decisions; it must never touch the router that serves.
 */
final class FrontRehearsal {

    private static final int CALLS = 1_500;
    private static final int AT_ONCE = 16;
    private static final long LONGEST = 5; // seconds
    private static final FairAdmission.Limits NONE = new FairAdmission.Limits(1_000_000, 1_000_000, 1_000_000, true);

    private FrontRehearsal() {}

    /** Goes on until so many calls are done or the longest time has passed; tells how many were. */
    static int run(ProcessorSection real, SettingsReader words) throws IOException, InterruptedException {
        String requestClass = real.rules().get(0).requestClass();
        ProcessorSection section = new ProcessorSection(
                "127.0.0.1:0",
                Optional.empty(),
                real.messageTimeout(),
                0,
                real.headerBytes(),
                1_000,
                NONE,
                real.noRule(),
                List.of(new ProcessorSection.RuleText("GET", "/(?P<object>.+)", Map.of(), requestClass, null)));
        ProcessorFront front = new ProcessorFront(section, words);
        OwnLoop loop = new OwnLoop(front);
        front.open(loop);
        ManagedChannel channel = NettyChannelBuilder.forAddress("127.0.0.1", front.port())
                .usePlaintext()
                .directExecutor()
                .build();
        Semaphore room = new Semaphore(AT_ONCE);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST);
        int done = 0;
        try {
            while (done < CALLS && room.tryAcquire(Math.max(1, end - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                new OneCall(room).begin(ExternalProcessorGrpc.newStub(channel), done++);
            }
            room.tryAcquire(AT_ONCE, Math.max(1, end - System.nanoTime()), TimeUnit.NANOSECONDS);
        } finally {
            channel.shutdownNow();
            front.close();
            loop.thread.shutdownNow();
        }
        return done;
    }

    /** Stands in for the loop and the decisions: names a member for each call, serves each response. */
    private static final class OwnLoop implements CallLoop {
        private final ExecutorService thread = Executors.newSingleThreadExecutor();
        private final ProcessorFront front;

        OwnLoop(ProcessorFront front) {
            this.front = front;
        }

        @Override
        public boolean execute(Runnable what) {
            if (thread.isShutdown()) {
                return false;
            }
            thread.execute(what);
            return true;
        }

        @Override
        public Runnable schedule(long micros, Runnable what) {
            return () -> {}; // nothing is late here
        }

        @Override
        public void submit(Input input) {
            if (input instanceof Input.Call c) {
                front.attemptAnnounced(new Effect.AnnounceAttempt(
                        c.number(),
                        -c.number(),
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
            } else if (input instanceof Input.Answered a) {
                front.answered(-a.attempt(), Effect.Code.SERVED, 0);
            }
        }

        @Override
        public long clock() {
            return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
        }

        @Override
        public void complain(String text) {
            // nobody called
        }
    }

    private static final class OneCall implements StreamObserver<ProcessingResponse> {
        private final Semaphore room;
        private StreamObserver<ProcessingRequest> out;

        OneCall(Semaphore room) {
            this.room = room;
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
            values.forEach((k, v) ->
                    map.addHeaders(HeaderValue.newBuilder().setKey(k).setRawValue(ByteString.copyFromUtf8(v))));
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
        public void onError(Throwable t) {
            room.release();
        }

        @Override
        public void onCompleted() {
            room.release();
        }
    }
}
