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
import pumicemoor.RouterApi.FillSource;
import pumicemoor.RouterApi.FillSources;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.Role;

/**
 * Measures the time that the decision module takes for one request, from its arrival to its end, with a given number of
 * hubs: without configured fill sources, or with a topology in which the location fills from four hubs and these from
 * four others, either without a migration or in the middle of one.
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
    private RouterHarness harness;
    private long now;
    private long requestCount;
    private Fetch lastFetch;

    private static List<FillSource> sources(long first, long rampStart) {
        return LongStream.range(first, first + 4)
                .mapToObj(m -> new FillSource(m, 1, 0, rampStart, rampStart + (1L << 40)))
                .toList();
    }

    @Setup(Level.Trial)
    public void build() {
        harness = new RouterHarness();
        for (int i = 1; i <= 8; i++) {
            harness.add(i, Role.CACHE, RouterHarness.HOME);
        }
        for (int i = 0; i < hubs; i++) {
            harness.add(1_000 + i, Role.PARENT, RouterHarness.HUB);
        }
        harness.add(900, Role.ORIGIN, RouterHarness.HUB);
        logic = new Logic(harness.settings(), 7);
        now = harness.now;
        logic.handle(now, new MemberListUpdate(MemberListKind.SNAPSHOT, 1, List.copyOf(harness.members)), action -> {});
        if (!given.equals("none")) {
            Map<Long, FillSources> lists = new HashMap<>();
            List<FillSource> previous = given.equals("moving") ? sources(1_004, 0) : List.of();
            lists.put(
                    FillSourcesUpdate.LOCATION,
                    new FillSources(sources(1_000, now), previous, previous, false, List.of()));
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
            logic.handle(now, new FillSourcesUpdate(1, lists), action -> {});
        }
    }

    @Benchmark
    public Object request() {
        now += 1_000;
        String id = Long.toString(++requestCount);
        lastFetch = null;
        logic.handle(
                now, new RequestArrived(id, 0, "o" + requestCount % 5_000, 0, 4, 1_000, 5_000_000, false), action -> {
                    if (action instanceof Fetch fetch) {
                        lastFetch = fetch;
                    }
                });
        if (lastFetch != null) {
            logic.handle(
                    now + 500,
                    new AttemptEnded(
                            id,
                            0,
                            lastFetch.member(),
                            Outcome.OK,
                            500,
                            true,
                            requestCount % 3 == 0 ? FillResult.FILLED : FillResult.HIT,
                            0,
                            Map.of()),
                    action -> {});
        }
        return lastFetch;
    }
}
