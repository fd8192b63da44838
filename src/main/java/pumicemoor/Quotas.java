package pumicemoor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitShare;

/**
 * Counts the use of all limit shares of this router, by member. A member without a share is not limited. This class
 * only counts; it must never decide whether a request is sent, queued or refused.
 */
final class Quotas {

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final double burstMicros; // time for which a bucket may save up tokens
    private Map<Long, List<Quota>> byMember = Map.of();
    private long demandReportedAt;

    Quotas(double burstMicros) {
        this.burstMicros = burstMicros;
    }

    /** Replaces the limit shares; a bucket whose member and measure stay keeps what it has saved up. */
    void update(List<LimitShare> shares, long now) {
        Map<Long, List<Quota>> next = new TreeMap<>();
        for (LimitShare share : shares) {
            next.computeIfAbsent(share.member(), id -> new ArrayList<>())
                    .add(quotasOf(share.member()).stream()
                            .filter(q -> q.measure() == share.measure())
                            .findFirst()
                            .orElseGet(() -> new Quota(burstMicros, share, now))
                            .update(share, now));
        }
        byMember = next;
    }

    private List<Quota> quotasOf(long member) {
        return byMember.getOrDefault(member, List.of());
    }

    /**
     * Whether a member's limits allow a request, given by its sequence number, in addition to those in flight there.
     * For a member in another zone, the limit on the traffic between zones must allow it too.
     */
    boolean allows(long now, long member, boolean warm, int inFlight, long request, boolean inOtherZone) {
        if (byMember.isEmpty()) {
            return true;
        }
        return quotasOf(member).stream()
                        .allMatch(q ->
                                q.measure() == LimitMeasure.COLD_IN_FLIGHT && warm || q.allows(now, inFlight, request))
                && (!inOtherZone
                        || quotasOf(LimitShare.ACROSS_ZONES).stream().allMatch(q -> q.allows(now, 0, request)));
    }

    void spend(long member) {
        quotasOf(member).forEach(Quota::spend);
    }

    /** Counts a new attempt if it may cross zones. */
    void beginAttempt(boolean mayCrossZones) {
        if (mayCrossZones) {
            quotasOf(LimitShare.ACROSS_ZONES).forEach(Quota::beginAttempt);
        }
    }

    /** Counts the end of an attempt that might cross zones, with the kilobytes that it has moved between them. */
    void endAttempt(boolean mayCrossZones, double kb) {
        if (mayCrossZones) {
            quotasOf(LimitShare.ACROSS_ZONES).forEach(q -> q.endAttempt(kb));
        }
    }

    /** Reports the demand once a second; the function returns how many requests are in flight at a member. */
    void reportDemand(long now, ToIntFunction<Long> inFlight, Consumer<LimitDemand> sink) {
        if (now < demandReportedAt + MICROS_PER_SECOND) {
            return;
        }
        demandReportedAt = now;
        byMember.forEach(
                (member, quotas) -> quotas.forEach(q -> sink.accept(q.takeDemand(inFlight.applyAsInt(member)))));
    }
}
