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
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.FillSource;
import pumicemoor.RouterApi.FillSources;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.RouterApi.State;

/** What the decisions make of the sources that they are given in place of the listed parents. */
class SourcesTest {

    private static final long SECOND = RouterHarness.SECOND;

    private static List<FillSource> all(long... members) {
        return java.util.Arrays.stream(members)
                .mapToObj(m -> new FillSource(m, 1, 0, 0, 0))
                .toList();
    }

    private static FillSources only(long... members) {
        return new FillSources(all(members), List.of(), List.of(), false, List.of());
    }

    private static RouterHarness given(Map<Long, FillSources> lists) {
        RouterHarness r = new RouterHarness().fleet(4, 4).start();
        r.handle(new FillSourcesUpdate(1, lists));
        return r;
    }

    private static Fetch ask(RouterHarness r, int object) {
        Fetch fetch = RouterHarness.fetch(r.ask("o" + object));
        r.now += 100_000;
        r.end(fetch, 0, Outcome.OK, FillResult.FILLED);
        return fetch;
    }

    @Test
    void onlyGivenSourcesAreNamedAndTheHashDecidesAmongThem() {
        RouterHarness r = given(Map.of(FillSourcesUpdate.LOCATION, only(101, 103)));
        RouterHarness other = given(Map.of(FillSourcesUpdate.LOCATION, only(103, 101)));
        Set<Long> named = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            long source = ask(r, i).source();
            named.add(source);
            assertEquals(source, ask(other, i).source(), "two routers with the same news agree");
        }
        assertEquals(Set.of(101L, 103L), named);
    }

    @Test
    void withoutListsTheListedParentsDecideAgain() {
        RouterHarness r = given(Map.of(FillSourcesUpdate.LOCATION, only(101)));
        RouterHarness plain = new RouterHarness().fleet(4, 4).start();
        r.handle(new FillSourcesUpdate(2, Map.of()));
        for (int i = 0; i < 50; i++) {
            assertEquals(ask(plain, i), ask(r, i));
        }
    }

    /** The objects whose source is the new parent at each tenth of a move. */
    private static List<Set<Integer>> moving(boolean back, double from) {
        RouterHarness r = new RouterHarness().fleet(4, 4).start();
        long start = r.now;
        List<FillSource> now = List.of(new FillSource(101, 1, from, start, start + 100 * SECOND));
        r.handle(new FillSourcesUpdate(
                1, Map.of(FillSourcesUpdate.LOCATION, new FillSources(now, all(102), all(102), back, List.of()))));
        List<Set<Integer>> moved = new java.util.ArrayList<>();
        for (int tenth = 0; tenth <= 10; tenth++) {
            Set<Integer> there = new HashSet<>();
            r.now = start + tenth * 10 * SECOND;
            for (int i = 0; i < 300; i++) {
                Fetch fetch = RouterHarness.fetch(r.ask("o" + i));
                if (fetch.source() == 101) {
                    there.add(i);
                } else {
                    assertEquals(102, fetch.source());
                }
                r.end(fetch, 0, Outcome.OK, FillResult.FILLED);
            }
            moved.add(there);
        }
        return moved;
    }

    @Test
    void aShareThatRisesMovesEachObjectOnce() {
        List<Set<Integer>> moved = moving(false, 0);
        assertEquals(0, moved.get(0).size());
        assertEquals(300, moved.get(10).size());
        for (int i = 1; i <= 10; i++) {
            assertTrue(moved.get(i).containsAll(moved.get(i - 1)), "no object goes back");
            assertEquals(30 * i, moved.get(i).size(), 45, "the share rises evenly");
        }
    }

    @Test
    void rolledBackTheObjectsThatMovedLastReturnFirst() {
        Set<Integer> hadMoved = moving(false, 0).get(4);
        Set<Integer> atOnce = moving(true, 0.6).get(0);
        Set<Integer> neverMoved = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            if (!hadMoved.contains(i)) {
                neverMoved.add(i);
            }
        }
        assertEquals(neverMoved, atOnce, "what had not moved is not sent away by the roll-back");
    }

    @Test
    void theWayNamesWhatASourceFillsFrom() {
        Map<Long, FillSources> lists = new HashMap<>();
        lists.put(FillSourcesUpdate.LOCATION, only(101));
        lists.put(101L, only(102));
        lists.put(102L, only(900));
        Fetch fetch = ask(given(lists), 1);
        assertEquals(101, fetch.source());
        assertEquals(List.of(102L), fetch.fillPath(), "the origin stands behind each way and is not named");
    }

    @Test
    void aMovedObjectComesFromItsOldHomeByTheNewOne() {
        Map<Long, FillSources> lists = new HashMap<>();
        lists.put(FillSourcesUpdate.LOCATION, new FillSources(all(101), List.of(), all(102), false, List.of()));
        lists.put(101L, new FillSources(all(900), List.of(), List.of(), false, List.of(102L)));
        lists.put(102L, only(900));
        RouterHarness r = given(lists);
        assertEquals(List.of(102L), ask(r, 1).fillPath());
        r.change(102, State.DRAINING, 0);
        assertEquals(List.of(), ask(r, 2).fillPath(), "a drained one is not asked for what it held");
    }

    @Test
    void aCacheWithAListOfItsOwnFollowsThat() {
        Map<Long, FillSources> lists = new HashMap<>();
        lists.put(FillSourcesUpdate.LOCATION, only(101));
        lists.put(2L, only(104));
        RouterHarness r = given(lists);
        for (int i = 0; i < 60; i++) {
            Fetch fetch = ask(r, i);
            assertEquals(fetch.member() == 2 ? 104 : 101, fetch.source());
        }
    }

    @Test
    void givenSourcesThatAreAllAwayLeaveTheOrigin() {
        RouterHarness r = given(Map.of(FillSourcesUpdate.LOCATION, only(101)));
        r.change(101, State.GONE, 0);
        assertEquals(900, ask(r, 1).source());
    }

    /** Else two caches could each wait for the other's fill of one object. */
    @Test
    void aFillWaitsForASiblingsOnlyInTheObjectsOrder() {
        RouterHarness r = given(Map.of(FillSourcesUpdate.LOCATION, only(101)));
        Fetch first = RouterHarness.fetch(r.ask("a"));
        r.change(first.member(), State.DRAINING, 0);
        Fetch second = RouterHarness.fetch(r.ask("a"));
        assertNotEquals(first.member(), second.member());
        r.change(first.member(), State.READY, 0);
        Fetch third = RouterHarness.fetch(r.ask("a"));
        assertEquals(first.member(), third.member());
        assertEquals(101, third.source(), "the home of the object does not wait for who may wait for it");
    }
}
