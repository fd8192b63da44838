package pumicemoor;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicemoor.RouterApi.Allowance;
import pumicemoor.RouterApi.Measure;
import pumicemoor.RouterApi.Wanted;

/**
 * What is left unspent of one allowance, and how much of it was wanted: a token bucket for what is counted by the
 * second. It only keeps count; whether a request is sent, held or refused it must never decide.
 */
final class Quota {

    private final double span;  // microseconds that a bucket may save up for
    private Allowance given;
    private double tokens;
    private double wanted;
    private long at;
    private long denied;  // requests numbered under this were counted as wanted when they were first held up

    /** An empty bucket of this depth; it starts to fill now. */
    Quota(double span, Allowance given, long now) {
        this.span = span;
        this.given = given;
        this.at = now;
    }

    private Quota follow(Allowance next, long now) {
        share(now);
        given = next;
        return this;
    }

    Measure measure() {
        return given.measure();
    }

    /** What this router may have of it now; up to now the bucket fills by what it could have had before. */
    private double share(long now) {
        double share = now < given.until() ? given.share() : given.after();
        tokens = Math.min(Math.max(1, share * span / 1e6), tokens + share * (now - at) / 1e6);
        at = now;
        return share;
    }

    /** Whether there is room for a request more, of this number, where so many are under way. */
    boolean room(long now, int underWay, long request) {
        double share = share(now);
        boolean room = given.measure().whole ? underWay < Math.floor(share) : tokens >= 1;
        if (!room && request >= denied) {
            denied = request + 1;
            wanted++;
        }
        return room;
    }

    void spend() {
        tokens--;
        wanted += given.measure().whole ? 0 : 1;
    }

    /** How much was wanted since this was last asked: by the second, or under way at once. */
    Wanted told(int underWay) {
        Wanted since = new Wanted(given.member(), given.measure(), wanted + (given.measure().whole ? underWay : 0),
                underWay);
        wanted = 0;
        return since;
    }

    /** Goes over to these allowances; what each member's buckets had saved up stays. */
    static Map<Long, List<Quota>> follow(Map<Long, List<Quota>> before, List<Allowance> allowances, double span,
            long now) {
        Map<Long, List<Quota>> quotas = new TreeMap<>();
        for (Allowance a : allowances) {
            quotas.computeIfAbsent(a.member(), m -> new ArrayList<>()).add(before.getOrDefault(a.member(), List.of())
                    .stream().filter(q -> q.measure() == a.measure()).findFirst()
                    .orElseGet(() -> new Quota(span, a, now)).follow(a, now));
        }
        return quotas;
    }
}
