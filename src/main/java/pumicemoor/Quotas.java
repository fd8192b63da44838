package pumicemoor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitDemand;

/**
 * What is left unspent of every allowance, by member; empty where none is given. It only keeps count; whether a request
 * is sent, held or refused it must never decide.
 */
final class Quotas {

    private static final long SECOND = 1_000_000; // microseconds

    private final double span; // microseconds that a bucket may save up for
    private Map<Long, List<Quota>> byMember = Map.of();
    private long toldAt;

    Quotas(double span) {
        this.span = span;
    }

    /** Goes over to these allowances; what each bucket had saved up stays. */
    void follow(List<LimitShare> allowances, long now) {
        Map<Long, List<Quota>> next = new TreeMap<>();
        for (LimitShare a : allowances) {
            next.computeIfAbsent(a.member(), m -> new ArrayList<>())
                    .add(of(a.member()).stream()
                            .filter(q -> q.measure() == a.measure())
                            .findFirst()
                            .orElseGet(() -> new Quota(span, a, now))
                            .follow(a, now));
        }
        byMember = next;
    }

    private List<Quota> of(long member) {
        return byMember.getOrDefault(member, List.of());
    }

    /**
     * Whether there is room at a member for a request more, of this number, where so many are under way; for one that is
     * away, in another zone, also for what crosses zones.
     */
    boolean room(long now, long member, boolean warm, int underWay, long request, boolean away) {
        return of(member).stream()
                        .allMatch(q -> q.measure() == LimitMeasure.COLD_IN_FLIGHT && warm || q.room(now, underWay, request))
                && (!away || of(LimitShare.ACROSS_ZONES).stream().allMatch(q -> q.room(now, 0, request)));
    }

    void spend(long member) {
        of(member).forEach(Quota::spend);
    }

    /** An attempt that may cross zones is sent. */
    void begin(boolean away) {
        if (away) {
            of(LimitShare.ACROSS_ZONES).forEach(Quota::begin);
        }
    }

    /** It has ended, and this is what crossed. */
    void end(boolean away, double kb) {
        if (away) {
            of(LimitShare.ACROSS_ZONES).forEach(q -> q.end(kb));
        }
    }

    /** Tells once a second what was wanted in it; the function says how many are under way at a member. */
    void told(long now, ToIntFunction<Long> underWay, Consumer<LimitDemand> sink) {
        if (now < toldAt + SECOND) {
            return;
        }
        toldAt = now;
        byMember.forEach((member, list) -> list.forEach(q -> sink.accept(q.told(underWay.applyAsInt(member)))));
    }
}
