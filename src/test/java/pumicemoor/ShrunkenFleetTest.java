package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static pumicemoor.RouterHarness.MILLI;
import static pumicemoor.RouterHarness.only;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.Role;

/** Lists that have lost nearly all: every request still gets its one final answer. */
class ShrunkenFleetTest {

    /** Lets every attempt for a request miss, and time pass; returns the final answers given. */
    private static long finals(RouterHarness r, List<Action> actions) {
        List<Action> all = new ArrayList<>(actions);
        int attempts = 0;
        for (int step = 0; step < 60; step++) {
            for (Fetch fetch : only(Fetch.class, all)
                    .subList(attempts, only(Fetch.class, all).size())) {
                all.addAll(r.end(fetch.id(), attempts++, fetch.member(), Outcome.MISS, FillResult.SOURCE_LACKS));
            }
            all.addAll(r.pass(100 * MILLI));
        }
        return only(Refuse.class, all).size() + only(Fail.class, all).size();
    }

    @Test
    void aLocationWithoutAnyCacheAnswersAtTheDeadlineAtTheLatest() {
        RouterHarness r = new RouterHarness().fleet(0, 2).start();
        assertEquals(1, finals(r, r.ask("a")));
    }

    @Test
    void aListThatShrinksFromHundredsToOneCacheStillServes() {
        RouterHarness r = new RouterHarness().fleet(90, 20);
        for (int i = 1; i <= 300; i++) {
            r.add(1_000 + i, Role.CACHE, RouterHarness.HUB);
        }
        r.start();
        r.ask("before");
        r.members.removeIf(m -> m.id() != 7);
        r.list(MemberListKind.SNAPSHOT);
        List<Action> sent = r.ask("after");
        assertEquals(7, only(Fetch.class, sent).get(0).member());
        assertEquals(1, finals(r, sent));
    }

    /** The settings may count no router here, or none at all, when this one is not on the list. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 250})
    void anyCountOfRoutersIsBorneWhileMembersAreCold(int routersHere) {
        RouterHarness r = new RouterHarness();
        r.routersHere = routersHere;
        r.fleet(1, 1).start();
        r.change(1, RouterApi.State.READY, r.now);
        r.change(101, RouterApi.State.READY, r.now);
        assertEquals(1, finals(r, r.ask("a")));
    }
}
