package review2;

import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pumicemoor.extproc.proto.v1.Ask;
import pumicemoor.extproc.proto.v1.DecisionsGrpc;
import pumicemoor.extproc.proto.v1.End;
import pumicemoor.extproc.proto.v1.Final;
import pumicemoor.extproc.proto.v1.FromCaller;
import pumicemoor.extproc.proto.v1.ToCaller;

/**
 * Proxies ask three routers about bookings, which must not run twice; each proxy has a router of its own and asks the
 * next one when that is away. One router is killed with calls open. A proxy repeats each of these at the next router,
 * under the same id and with the number of earlier tries. A repeat of a booking that was sent to the store may be
 * answered 'failed', but not 'refused', which says that trying again does no harm; a client that is told so tries again.
 */
final class RefusedRepeat {
    private static final int PROXIES = 3;
    private static final int BOOKINGS_PER_SECOND = 60; // of each proxy
    private static final int STORE_MS = 400;
    private static final long DEADLINE_MS = 3_000;
    private static final int CLIENT_RETRIES = 2; // of a client that was refused, each as a new request

    private final Rig rig;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Integer> runs = new ConcurrentHashMap<>(); // by booking: how often the store ran it
    private final AtomicInteger wrongRefusals = new AtomicInteger();
    private final AtomicInteger repeats = new AtomicInteger();
    private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();

    private RefusedRepeat(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Rig.run(rig, () -> new RefusedRepeat(rig).play());
    }

    private boolean play() throws Exception {
        Coordinator coordinator = new Coordinator(rig);
        Member box = new Member(rig, "box-1", 1_000, ask -> 50);
        Member hub = new Member(rig, "hub-1", 1_000, ask -> 50);
        Member store = new Member(rig, "store-1", 100, ask -> 30);
        coordinator.publish("\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":["
                + box.listLine("depot-1", "box-a", 4, "active", 0) + ","
                + hub.listLine("central", "hub", 8, "active", 0) + ","
                + store.listLine("central", "store", 64, "active", 0) + "]}");
        List<Rig.Router> routers = new ArrayList<>();
        List<ManagedChannel> channels = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            int port = Rig.freePort();
            String operator = "processor:\n  listen: 127.0.0.1:" + port + "\n  calls-per-second: 150\n  rules:\n"
                    + "    - {method: POST, path: \"/book/(?P<object>.+)\", class: booking-write}\n";
            routers.add(rig.new Router("n" + (i + 1), Site.config(coordinator, i, PROXIES), operator).start());
            channels.add(NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build());
        }
        for (Rig.Router router : routers) {
            router.awaitReady();
        }
        long endAt = rig.ms() + 12_000;
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            Proxy each = new Proxy("proxy-" + (proxy + 1), proxy, channels);
            timer.scheduleAtFixedRate(
                    () -> {
                        if (rig.ms() < endAt) {
                            each.book();
                        }
                    },
                    proxy * 5L,
                    1_000 / BOOKINGS_PER_SECOND,
                    TimeUnit.MILLISECONDS);
        }
        Thread.sleep(6_000);
        if (rig.trouble) {
            rig.note("TROUBLE: router n1 is killed");
            routers.get(0).process.destroyForcibly();
        }
        Thread.sleep(10_500);
        long twice = runs.values().stream().filter(n -> n > 1).count();
        rig.say(runs.size() + " bookings ran at the store, " + repeats.get()
                + " of them were repeated by a proxy after a broken call; finals to clients: " + ends);
        rig.say(wrongRefusals.get() + " repeats of a booking that had run were refused; " + twice
                + " bookings ran more than once");
        runs.forEach((booking, n) -> {
            if (n > 1) {
                rig.note("booking " + booking + " ran " + n + " times");
            }
        });
        return wrongRefusals.get() == 0 && twice == 0;
    }

    /** One proxy: calls its own router, or the next one after a call to that has broken. */
    private final class Proxy {
        private final String name;
        private final int own;
        private final List<DecisionsGrpc.DecisionsStub> stubs = new ArrayList<>();
        private final AtomicInteger count = new AtomicInteger();
        private volatile int current;

        Proxy(String name, int own, List<ManagedChannel> channels) {
            this.name = name;
            this.own = own;
            this.current = own;
            Metadata caller = new Metadata();
            caller.put(Metadata.Key.of("x-pumicemoor-caller", Metadata.ASCII_STRING_MARSHALLER), name);
            channels.forEach(c -> stubs.add(DecisionsGrpc.newStub(c)
                    .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(caller))));
        }

        void book() {
            String booking = name + "-b" + count.incrementAndGet();
            new Call(booking, booking + "-r0", 0, rig.ms() + DEADLINE_MS).ask(0);
        }

        /** One request of a client, under one id; a client that is refused asks again, as a new request. */
        private final class Call {
            private final String booking;
            private final String id;
            private final int clientTry;
            private final long deadline;
            private volatile boolean ran; // this request was sent to the store

            Call(String booking, String id, int clientTry, long deadline) {
                this.booking = booking;
                this.id = id;
                this.clientTry = clientTry;
                this.deadline = deadline;
            }

            void ask(int attempt) {
                int router = current;
                new Stream(router, attempt).begin();
            }

            private final class Stream implements StreamObserver<ToCaller> {
                private final int router;
                private final int attempt;
                private StreamObserver<FromCaller> out;
                private boolean done;

                Stream(int router, int attempt) {
                    this.router = router;
                    this.attempt = attempt;
                }

                synchronized void begin() {
                    out = stubs.get(router).decide(this);
                    out.onNext(FromCaller.newBuilder()
                            .setAsk(Ask.newBuilder()
                                    .setId(id)
                                    .setRequestClass("booking-write")
                                    .setObject(booking)
                                    .setGroup(-1)
                                    .setTimeLeftMs((int) Math.max(1, deadline - rig.ms()))
                                    .setAttempt(attempt))
                            .build());
                }

                @Override
                public synchronized void onNext(ToCaller message) {
                    if (message.hasNamed()) {
                        ran = true;
                        int times = runs.merge(booking, 1, Integer::sum);
                        rig.note("store: " + booking + " runs for request " + id + " by n" + (router + 1) + ", time "
                                + times);
                        int number = message.getNamed().getAttempt();
                        timer.schedule(() -> report(number), STORE_MS, TimeUnit.MILLISECONDS);
                    } else if (message.hasFinal()) {
                        done = true;
                        Final.Code code = message.getFinal().getCode();
                        ends.computeIfAbsent(code.name(), k -> new AtomicInteger()).incrementAndGet();
                        rig.note(name + ": " + id + " try " + attempt + " at n" + (router + 1) + ": " + code);
                        if (code == Final.Code.REFUSED) {
                            if (ran) {
                                wrongRefusals.incrementAndGet();
                                rig.note("WRONG: " + id + " was sent to the store, and its repeat is refused");
                            }
                            if (clientTry < CLIENT_RETRIES) { // the client was told that trying again does no harm
                                timer.schedule(
                                        () -> new Call(
                                                        booking,
                                                        booking + "-r" + (clientTry + 1),
                                                        clientTry + 1,
                                                        rig.ms() + DEADLINE_MS)
                                                .ask(0),
                                        Math.max(300, message.getFinal().getStayAwayMs()),
                                        TimeUnit.MILLISECONDS);
                            }
                        }
                    }
                }

                private synchronized void report(int number) {
                    if (!done) {
                        try {
                            out.onNext(FromCaller.newBuilder()
                                    .setEnd(End.newBuilder().setAttempt(number).setHow(End.How.OK))
                                    .build());
                        } catch (IllegalStateException e) {
                            // the stream has ended
                        }
                    }
                }

                @Override
                public void onError(Throwable cause) {
                    synchronized (this) {
                        if (done) {
                            return;
                        }
                        done = true;
                    }
                    rig.note(name + ": " + id + " try " + attempt + " at n" + (router + 1) + " broke: " + cause);
                    if (router == current) {
                        current = (router + 1) % stubs.size();
                    }
                    if (ran) {
                        repeats.incrementAndGet();
                    }
                    if (attempt == 0 && rig.ms() < deadline) {
                        timer.execute(() -> ask(attempt + 1));
                    }
                }

                @Override
                public synchronized void onCompleted() {
                    done = true;
                }
            }
        }
    }
}
