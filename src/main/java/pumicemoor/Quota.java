package pumicemoor;

import pumicemoor.RouterApi.LimitShare;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitDemand;

/**
 * What is left unspent of one allowance, and how much of it was wanted: a token bucket for what is counted by the
 * second. What a request brings across zones is known only at its end: till then it is taken for the mean. It only
 * keeps count; whether a request is sent, held or refused it must never decide.
 */
final class Quota {

    private static final double NEWEST = 0.1; // weight of the newest in the mean

    private final double span; // microseconds that a bucket may save up for
    private LimitShare given;
    private double tokens;
    private double wanted;
    private double mean; // kilobytes that an attempt brought across
    private int open; // attempts that may still bring some
    private long at;
    private long denied; // requests numbered under this were counted as wanted when they were first held up

    /** An empty bucket of this depth; it starts to fill now. */
    Quota(double span, LimitShare given, long now) {
        this.span = span;
        this.given = given;
        this.at = now;
    }

    Quota follow(LimitShare next, long now) {
        share(now);
        given = next;
        return this;
    }

    LimitMeasure measure() {
        return given.measure();
    }

    /** What this router may have of it now; up to now the bucket fills by what it could have had before. */
    private double share(long now) {
        double share = now < given.expiresAt() ? given.amount() : given.amountAfterExpiry();
        tokens = Math.min(Math.max(1, share * span / 1e6), tokens + share * (now - at) / 1e6);
        at = now;
        return share;
    }

    /** Whether there is room for a request more, of this number, where so many are under way. */
    boolean room(long now, int underWay, long request) {
        double share = share(now);
        boolean room = given.measure() == LimitMeasure.KB_PER_SECOND
                ? tokens > open * mean
                : given.measure().wholeNumbers ? underWay < Math.floor(share) : tokens >= 1;
        if (!room && request >= denied) {
            denied = request + 1;
            wanted += given.measure() == LimitMeasure.KB_PER_SECOND ? mean : 1;
        }
        return room;
    }

    void spend() {
        tokens--;
        wanted += given.measure().wholeNumbers ? 0 : 1;
    }

    void begin() {
        open++;
    }

    void end(double kb) {
        open = Math.max(0, open - 1); // one that began before the allowance came was not counted
        tokens -= kb;
        wanted += kb;
        mean += kb > 0 ? (mean == 0 ? 1 : NEWEST) * (kb - mean) : 0;
    }

    /** How much was wanted since this was last asked: by the second, or under way at once. */
    LimitDemand told(int underWay) {
        LimitDemand since =
                new LimitDemand(given.member(), given.measure(), wanted + (given.measure().wholeNumbers ? underWay : 0), underWay);
        wanted = 0;
        return since;
    }
}
