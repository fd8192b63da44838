package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Role;
import pumicemoor.RouterApi.State;
import pumicemoor.fleet.drains.Drains.View;

/** The decisions see who drains as draining and who came back as just started, and nothing before that is known. */
class DrainedMembersTest {

    private static Member box(long id, long started, State state) {
        return new Member(id, Role.CACHE, 0, 0, 8, started, state);
    }

    private static MemberListUpdate list(MemberListKind kind, Member... members) {
        return new MemberListUpdate(kind, 4, List.of(members));
    }

    @Test
    void theListIsHeldBackUntilItIsKnownWhoIsOutAndFollowsThePlan() {
        DrainedMembers drained = new DrainedMembers();
        assertTrue(drained.listed(list(MemberListKind.SNAPSHOT, box(1, 5, State.READY), box(2, 5, State.READY)))
                .isEmpty());
        assertTrue(drained.follow(new View(false, Set.of(2L), Map.of())).isEmpty());
        assertEquals(
                list(MemberListKind.SNAPSHOT, box(1, 5, State.READY), box(2, 5, State.DRAINING)),
                drained.follow(new View(true, Set.of(2L), Map.of())).orElseThrow());
        assertTrue(drained.follow(new View(true, Set.of(2L), Map.of())).isEmpty());
        // back, and cold whatever the list says, until the list tells of a later start
        assertEquals(
                list(MemberListKind.DELTA, box(2, 90, State.READY)),
                drained.follow(new View(true, Set.of(), Map.of(2L, 90L))).orElseThrow());
        assertEquals(
                list(MemberListKind.DELTA, box(2, 95, State.READY), box(1, 5, State.DRAINING)),
                drained.listed(list(MemberListKind.DELTA, box(2, 95, State.READY), box(1, 5, State.DRAINING)))
                        .orElseThrow());
        assertEquals(
                list(MemberListKind.DELTA, box(2, 0, State.GONE)),
                drained.listed(list(MemberListKind.DELTA, box(2, 0, State.GONE))).orElseThrow());
        assertTrue(
                drained.follow(new View(true, Set.of(1L, 2L), Map.of())).isEmpty(),
                "who is gone, or drains by the list");
        assertEquals(
                list(MemberListKind.SNAPSHOT, box(2, 99, State.DRAINING)),
                drained.listed(list(MemberListKind.SNAPSHOT, box(2, 99, State.READY))).orElseThrow());
    }
}
