package pumicemoor;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
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
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.FillSource;
import pumicemoor.RouterApi.FillSources;
import pumicemoor.RouterApi.FillSourcesUpdate;

/**
 * What one request costs from its arrival to its end, with so many hubs: all listed hubs as before, or a shape by
 * which the depot fills from four of them and those from four others, at rest or in the middle of a move.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class SourcesBenchmark {

    @Param({"10", "100", "1000"})
    int hubs;

    @Param({"none", "shape", "moving"})
    String given;

    private Logic logic;
    private RouterHarness setup;
    private long now;
    private long number;
    private Fetch sent;

    private static List<FillSource> sources(long first, long opensAt) {
        return LongStream.range(first, first + 4)
                .mapToObj(m -> new FillSource(m, 1, 0, opensAt, opensAt + (1L << 40)))
                .toList();
    }

    @Setup(Level.Trial)
    public void build() {
        setup = new RouterHarness();
        for (int i = 1; i <= 8; i++) {
            setup.add(i, Role.CACHE, RouterHarness.HOME);
        }
        for (int i = 0; i < hubs; i++) {
            setup.add(1_000 + i, Role.PARENT, RouterHarness.HUB);
        }
        setup.add(900, Role.ORIGIN, RouterHarness.HUB);
        logic = new Logic(setup.settings(), 7);
        now = setup.now;
        logic.handle(now, new MemberListUpdate(MemberListKind.SNAPSHOT, 1, List.copyOf(setup.members)), a -> {});
        if (!given.equals("none")) {
            Map<Long, FillSources> lists = new HashMap<>();
            List<FillSource> before = given.equals("moving") ? sources(1_004, 0) : List.of();
            lists.put(FillSourcesUpdate.LOCATION, new FillSources(sources(1_000, now), before, before, false, List.of()));
            for (int i = 0; i < hubs; i++) {
                lists.put(
                        1_000L + i,
                        new FillSources(
                                i < 4 ? sources(1_004, 0) : List.of(new FillSource(900, 1, 0, 0, 0)),
                                List.of(),
                                List.of(),
                                false,
                                List.of()));
            }
            logic.handle(now, new FillSourcesUpdate(1, lists), a -> {});
        }
    }

    @Benchmark
    public Object request() {
        now += 1_000;
        String id = Long.toString(++number);
        sent = null;
        logic.handle(now, new RequestArrived(id, 0, "o" + number % 5_000, 0, 4, 1_000, 5_000_000, false), a -> {
            if (a instanceof Fetch f) {
                sent = f;
            }
        });
        if (sent != null) {
            logic.handle(
                    now + 500,
                    new AttemptEnded(
                            id,
                            0,
                            sent.member(),
                            Outcome.OK,
                            500,
                            true,
                            number % 3 == 0 ? FillResult.FILLED : FillResult.HIT,
                            0,
                            Map.of()),
                    a -> {});
        }
        return sent;
    }
}
