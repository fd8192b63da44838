package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.State;
import pumicemoor.fleet.drains.Drains.View;

/**
 * Tests that drained members appear as draining and returned ones as just started, and that no list is passed on before
 * the drains are known.
 */
class DrainedMembersTest {

    private static Member cache(long id, long started, State state) {
        return new Member(id, Role.CACHE, 0, 0, 8, started, state);
    }

    private static MemberListUpdate update(MemberListKind kind, Member... members) {
        return new MemberListUpdate(kind, 4, List.of(members));
    }

    @Test
    void theListIsHeldBackUntilDrainsAreKnownAndThenFollowsThem() {
        DrainedMembers drainedMembers = new DrainedMembers();
        assertTrue(drainedMembers
                .applyListUpdate(update(MemberListKind.SNAPSHOT, cache(1, 5, State.READY), cache(2, 5, State.READY)))
                .isEmpty());
        assertTrue(
                drainedMembers.applyView(new View(false, Set.of(2L), Map.of())).isEmpty());
        assertEquals(
                update(MemberListKind.SNAPSHOT, cache(1, 5, State.READY), cache(2, 5, State.DRAINING)),
                drainedMembers.applyView(new View(true, Set.of(2L), Map.of())).orElseThrow());
        assertTrue(
                drainedMembers.applyView(new View(true, Set.of(2L), Map.of())).isEmpty());
        // the member counts as started at its return, until the list reports a later start
        assertEquals(
                update(MemberListKind.DELTA, cache(2, 90, State.READY)),
                drainedMembers
                        .applyView(new View(true, Set.of(), Map.of(2L, 90L)))
                        .orElseThrow());
        assertEquals(
                update(MemberListKind.DELTA, cache(2, 95, State.READY), cache(1, 5, State.DRAINING)),
                drainedMembers
                        .applyListUpdate(
                                update(MemberListKind.DELTA, cache(2, 95, State.READY), cache(1, 5, State.DRAINING)))
                        .orElseThrow());
        assertEquals(
                update(MemberListKind.DELTA, cache(2, 0, State.GONE)),
                drainedMembers
                        .applyListUpdate(update(MemberListKind.DELTA, cache(2, 0, State.GONE)))
                        .orElseThrow());
        assertTrue(
                drainedMembers
                        .applyView(new View(true, Set.of(1L, 2L), Map.of()))
                        .isEmpty(),
                "members that are gone, or that the list itself reports as draining");
        assertEquals(
                update(MemberListKind.SNAPSHOT, cache(2, 99, State.DRAINING)),
                drainedMembers
                        .applyListUpdate(update(MemberListKind.SNAPSHOT, cache(2, 99, State.READY)))
                        .orElseThrow());
    }
}
