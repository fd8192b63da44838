package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static pumicemoor.RouterHarness.MICROS_PER_MILLI;
import static pumicemoor.RouterHarness.ofType;

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

/** Tests that every request gets exactly one final answer after the member list has lost nearly all members. */
class ShrunkenFleetTest {

    /** Ends every attempt for a request with a miss while time passes; returns the number of final answers. */
    private static long finalAnswers(RouterHarness router, List<Action> actions) {
        List<Action> seen = new ArrayList<>(actions);
        int attempts = 0;
        for (int step = 0; step < 60; step++) {
            for (Fetch fetch : ofType(Fetch.class, seen)
                    .subList(attempts, ofType(Fetch.class, seen).size())) {
                seen.addAll(router.endAttempt(
                        fetch.id(), attempts++, fetch.member(), Outcome.MISS, FillResult.SOURCE_MISS));
            }
            seen.addAll(router.advance(100 * MICROS_PER_MILLI));
        }
        return ofType(Refuse.class, seen).size() + ofType(Fail.class, seen).size();
    }

    @Test
    void aLocationWithoutAnyCacheAnswersByTheDeadline() {
        RouterHarness router = new RouterHarness().addFleet(0, 2).start();
        assertEquals(1, finalAnswers(router, router.request("a")));
    }

    @Test
    void aListThatShrinksFromHundredsToOneCacheStillServes() {
        RouterHarness router = new RouterHarness().addFleet(90, 20);
        for (int i = 1; i <= 300; i++) {
            router.add(1_000 + i, Role.CACHE, RouterHarness.HUB);
        }
        router.start();
        router.request("before");
        router.members.removeIf(m -> m.id() != 7);
        router.sendMemberList(MemberListKind.SNAPSHOT);
        List<Action> sent = router.request("after");
        assertEquals(7, ofType(Fetch.class, sent).get(0).member());
        assertEquals(1, finalAnswers(router, sent));
    }

    /** The settings may count no router in this location, or none at all, when this router is not listed. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 250})
    void anyNumberOfLocalRoutersWorksWhileMembersAreInSlowStart(int localRouters) {
        RouterHarness router = new RouterHarness();
        router.localRouters = localRouters;
        router.addFleet(1, 1).start();
        router.changeMember(1, RouterApi.State.READY, router.now);
        router.changeMember(101, RouterApi.State.READY, router.now);
        assertEquals(1, finalAnswers(router, router.request("a")));
    }
}
