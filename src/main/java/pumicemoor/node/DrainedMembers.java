package pumicemoor.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.State;
import pumicemoor.fleet.drains.Drains;

/**
 * Applies the fleet's drains to the member list that the decision module receives. It is used where the fleet
 * coordinates drains. A member that is drained or out of service appears as draining, and one that has returned appears
 * as just started. No list is passed on until it is known which members are drained. It owns the list as the
 * coordinator reported it and the list as the decision module has it; it must never decide which members are drained.
 */
final class DrainedMembers {

    private final Map<Long, Member> reported = new TreeMap<>();
    private final Map<Long, Member> published = new TreeMap<>(); // as passed on to the decision module
    private Drains.View view = new Drains.View(false, Set.of(), Map.of());
    private long version;

    /** Applies an update of the member list and returns the resulting update for the decision module, if any. */
    Optional<MemberListUpdate> applyListUpdate(MemberListUpdate update) {
        version = update.version();
        if (update.kind() == MemberListKind.SNAPSHOT) {
            reported.keySet()
                    .retainAll(update.members().stream().map(Member::id).collect(Collectors.toSet()));
            published.keySet().retainAll(reported.keySet());
        }
        List<Member> members = new ArrayList<>();
        for (Member member : update.members()) {
            if (member.state() == State.GONE) {
                reported.remove(member.id());
                published.remove(member.id());
                members.add(member);
            } else {
                reported.put(member.id(), member);
                members.add(withDrains(member));
                published.put(member.id(), withDrains(member));
            }
        }
        return view.settled() ? Optional.of(new MemberListUpdate(update.kind(), version, members)) : Optional.empty();
    }

    /** Applies a new view of the drains and returns the resulting update for the decision module, if any. */
    Optional<MemberListUpdate> applyView(Drains.View next) {
        boolean firstView = next.settled() && !view.settled();
        view = next;
        List<Member> changed = new ArrayList<>();
        reported.values().forEach(member -> {
            Member current = withDrains(member);
            if (!current.equals(published.put(member.id(), current)) || firstView) {
                changed.add(current);
            }
        });
        return !view.settled() || changed.isEmpty()
                ? Optional.empty()
                : Optional.of(new MemberListUpdate(
                        firstView ? MemberListKind.SNAPSHOT : MemberListKind.DELTA, version, changed));
    }

    private Member withDrains(Member member) {
        State state = member.state() == State.READY && view.avoidedMembers().contains(member.id())
                ? State.DRAINING
                : member.state();
        return new Member(
                member.id(),
                member.role(),
                member.zone(),
                member.cell(),
                member.weight(),
                Math.max(member.startedAt(), view.returnedAt().getOrDefault(member.id(), 0L)),
                state);
    }
}
