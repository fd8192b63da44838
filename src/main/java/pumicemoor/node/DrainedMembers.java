package pumicemoor.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.State;
import pumicemoor.fleet.drains.Drains;

/**
 * The list of members as the decisions are to see it where the fleet takes members out in order: who drains or is out is
 * draining, who came back has just started, and before it is known who is out there is no list. It owns the list as it was
 * told and what was made of it; it must never decide who is out.
 */
final class DrainedMembers {

    private final Map<Long, Member> told = new TreeMap<>();
    private final Map<Long, Member> seen = new TreeMap<>(); // as the decisions have them
    private Drains.View view = new Drains.View(false, Set.of(), Map.of());
    private long version;

    /** Takes news of the list; what the decisions are to be told of it, if anything. */
    Optional<MemberListUpdate> listed(MemberListUpdate news) {
        version = news.version();
        if (news.kind() == MemberListKind.SNAPSHOT) {
            told.keySet().retainAll(news.members().stream().map(Member::id).collect(Collectors.toSet()));
            seen.keySet().retainAll(told.keySet());
        }
        List<Member> members = new ArrayList<>();
        for (Member m : news.members()) {
            if (m.state() == State.GONE) {
                told.remove(m.id());
                seen.remove(m.id());
                members.add(m);
            } else {
                told.put(m.id(), m);
                members.add(asSeen(m));
                seen.put(m.id(), asSeen(m));
            }
        }
        return view.settled() ? Optional.of(new MemberListUpdate(news.kind(), version, members)) : Optional.empty();
    }

    /** Goes over to this view; what is new for the decisions, if anything. */
    Optional<MemberListUpdate> follow(Drains.View next) {
        boolean first = next.settled() && !view.settled();
        view = next;
        List<Member> changed = new ArrayList<>();
        told.values().forEach(m -> {
            Member now = asSeen(m);
            if (!now.equals(seen.put(m.id(), now)) || first) {
                changed.add(now);
            }
        });
        return !view.settled() || changed.isEmpty()
                ? Optional.empty()
                : Optional.of(new MemberListUpdate(first ? MemberListKind.SNAPSHOT : MemberListKind.DELTA, version, changed));
    }

    private Member asSeen(Member m) {
        State state = m.state() == State.READY && view.alone().contains(m.id()) ? State.DRAINING : m.state();
        return new Member(
                m.id(),
                m.role(),
                m.zone(),
                m.cell(),
                m.weight(),
                Math.max(m.started(), view.returned().getOrDefault(m.id(), 0L)),
                state);
    }
}
