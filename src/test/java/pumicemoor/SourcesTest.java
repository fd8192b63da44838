package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.FillSource;
import pumicemoor.RouterApi.FillSources;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.State;

/** Tests how the decisions use configured fill sources in place of the listed parents. */
class SourcesTest {

    private static final long MICROS_PER_SECOND = RouterHarness.MICROS_PER_SECOND;

    private static List<FillSource> equalSources(long... members) {
        return java.util.Arrays.stream(members)
                .mapToObj(m -> new FillSource(m, 1, 0, 0, 0))
                .toList();
    }

    private static FillSources sources(long... members) {
        return new FillSources(equalSources(members), List.of(), List.of(), false, List.of());
    }

    private static RouterHarness withSources(Map<Long, FillSources> lists) {
        RouterHarness router = new RouterHarness().addFleet(4, 4).start();
        router.handle(new FillSourcesUpdate(1, lists));
        return router;
    }

    private static Fetch fill(RouterHarness router, int object) {
        Fetch fetch = RouterHarness.onlyFetch(router.request("o" + object));
        router.now += 100_000;
        router.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED);
        return fetch;
    }

    @Test
    void onlyConfiguredSourcesAreUsedAndTheHashSelectsAmongThem() {
        RouterHarness router = withSources(Map.of(FillSourcesUpdate.LOCATION, sources(101, 103)));
        RouterHarness other = withSources(Map.of(FillSourcesUpdate.LOCATION, sources(103, 101)));
        Set<Long> named = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            long source = fill(router, i).source();
            named.add(source);
            assertEquals(source, fill(other, i).source(), "two routers with the same sources agree");
        }
        assertEquals(Set.of(101L, 103L), named);
    }

    @Test
    void withoutConfiguredSourcesTheListedParentsAreUsedAgain() {
        RouterHarness router = withSources(Map.of(FillSourcesUpdate.LOCATION, sources(101)));
        RouterHarness withoutSources = new RouterHarness().addFleet(4, 4).start();
        router.handle(new FillSourcesUpdate(2, Map.of()));
        for (int i = 0; i < 50; i++) {
            assertEquals(fill(withoutSources, i), fill(router, i));
        }
    }

    /** Returns the objects whose source is the new parent, at each tenth of a migration. */
    private static List<Set<Integer>> migrate(boolean reverting, double initialShare) {
        RouterHarness router = new RouterHarness().addFleet(4, 4).start();
        long start = router.now;
        List<FillSource> current =
                List.of(new FillSource(101, 1, initialShare, start, start + 100 * MICROS_PER_SECOND));
        router.handle(new FillSourcesUpdate(
                1,
                Map.of(
                        FillSourcesUpdate.LOCATION,
                        new FillSources(current, equalSources(102), equalSources(102), reverting, List.of()))));
        List<Set<Integer>> migrated = new java.util.ArrayList<>();
        for (int tenth = 0; tenth <= 10; tenth++) {
            Set<Integer> atNewParent = new HashSet<>();
            router.now = start + tenth * 10 * MICROS_PER_SECOND;
            for (int i = 0; i < 300; i++) {
                Fetch fetch = RouterHarness.onlyFetch(router.request("o" + i));
                if (fetch.source() == 101) {
                    atNewParent.add(i);
                } else {
                    assertEquals(102, fetch.source());
                }
                router.endAttempt(fetch, 0, Outcome.OK, FillResult.FILLED);
            }
            migrated.add(atNewParent);
        }
        return migrated;
    }

    @Test
    void aRisingShareMigratesEachObjectOnce() {
        List<Set<Integer>> migrated = migrate(false, 0);
        assertEquals(0, migrated.get(0).size());
        assertEquals(300, migrated.get(10).size());
        for (int i = 1; i <= 10; i++) {
            assertTrue(migrated.get(i).containsAll(migrated.get(i - 1)), "no object goes back");
            assertEquals(30 * i, migrated.get(i).size(), 45, "the share rises evenly");
        }
    }

    @Test
    void afterAReversalTheObjectsThatMigratedLastReturnFirst() {
        Set<Integer> migratedBefore = migrate(false, 0).get(4);
        Set<Integer> migratedAtReversal = migrate(true, 0.6).get(0);
        Set<Integer> notMigrated = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            if (!migratedBefore.contains(i)) {
                notMigrated.add(i);
            }
        }
        assertEquals(
                notMigrated, migratedAtReversal, "the reversal keeps the objects that had not migrated where they are");
    }

    @Test
    void theFillPathNamesTheSourcesOfASource() {
        Map<Long, FillSources> lists = new HashMap<>();
        lists.put(FillSourcesUpdate.LOCATION, sources(101));
        lists.put(101L, sources(102));
        lists.put(102L, sources(900));
        Fetch fetch = fill(withSources(lists), 1);
        assertEquals(101, fetch.source());
        assertEquals(List.of(102L), fetch.fillPath(), "the origin is upstream of each path and not named in it");
    }

    @Test
    void aMigratedObjectIsFilledFromItsOldHomeThroughTheNewOne() {
        Map<Long, FillSources> lists = new HashMap<>();
        lists.put(
                FillSourcesUpdate.LOCATION,
                new FillSources(equalSources(101), List.of(), equalSources(102), false, List.of()));
        lists.put(101L, new FillSources(equalSources(900), List.of(), List.of(), false, List.of(102L)));
        lists.put(102L, sources(900));
        RouterHarness router = withSources(lists);
        assertEquals(List.of(102L), fill(router, 1).fillPath());
        router.changeMember(102, State.DRAINING, 0);
        assertEquals(List.of(), fill(router, 2).fillPath(), "a draining member is not on the path");
    }

    @Test
    void aCacheUsesItsOwnSourcesWhereItHasSome() {
        Map<Long, FillSources> lists = new HashMap<>();
        lists.put(FillSourcesUpdate.LOCATION, sources(101));
        lists.put(2L, sources(104));
        RouterHarness router = withSources(lists);
        for (int i = 0; i < 60; i++) {
            Fetch fetch = fill(router, i);
            assertEquals(fetch.member() == 2 ? 104 : 101, fetch.source());
        }
    }

    @Test
    void theOriginIsTheSourceWhenAllConfiguredSourcesAreGone() {
        RouterHarness router = withSources(Map.of(FillSourcesUpdate.LOCATION, sources(101)));
        router.changeMember(101, State.GONE, 0);
        assertEquals(900, fill(router, 1).source());
    }

    /** Guards against two caches that each wait for the other's fill of one object. */
    @Test
    void aFillWaitsForTheFillOfASiblingOnlyInTheObjectsOrder() {
        RouterHarness router = withSources(Map.of(FillSourcesUpdate.LOCATION, sources(101)));
        Fetch first = RouterHarness.onlyFetch(router.request("a"));
        router.changeMember(first.member(), State.DRAINING, 0);
        Fetch second = RouterHarness.onlyFetch(router.request("a"));
        assertNotEquals(first.member(), second.member());
        router.changeMember(first.member(), State.READY, 0);
        Fetch third = RouterHarness.onlyFetch(router.request("a"));
        assertEquals(first.member(), third.member());
        assertEquals(101, third.source(), "the hashed cache does not wait for a cache that may wait for it");
    }
}
