package pumicemoor;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.TimerDue;

/**
 * Measures a tick of the decision module while thousands of requests wait for full caches; the event loop does nothing
 * else meanwhile. The compiler is limited as in the router's run line.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = "-XX:TieredStopAtLevel=1")
public class WaitingRequestsBenchmark {

    private static final long TIME_LEFT_MICROS = 5_000_000;

    @Param({"4", "16"})
    int caches;

    @Param({"1000", "8192"})
    int requests;

    private Logic logic;
    private long now;

    @Setup(Level.Trial)
    public void build() {
        RouterHarness harness = new RouterHarness().addFleet(caches, 3);
        logic = new Logic(harness.settings(), 7);
        now = harness.now;
        logic.handle(now, new MemberListUpdate(MemberListKind.SNAPSHOT, 1, List.copyOf(harness.members)), action -> {});
        for (int i = 0; i < requests; i++) {
            logic.handle(
                    now,
                    new RequestArrived("r" + i, RouterHarness.PAGE, "o" + i, 0, 4, 1_000, TIME_LEFT_MICROS, false),
                    action -> {});
        }
    }

    @Benchmark
    public void tick() {
        logic.handle(now + 1, new TimerDue(0), action -> {});
    }
}
