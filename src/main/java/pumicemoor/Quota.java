package pumicemoor;

import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.RouterApi.LimitShare;

/**
 * Counts the use of one limit share and the demand for it, with a token bucket for rates. The kilobytes that a request
 * moves between zones are known only at its end; until then the mean is assumed. This class only counts; it must never
 * decide whether a request is sent, queued or refused.
 */
final class Quota {

    private static final double MEAN_GAIN = 0.1; // weight of the newest value in the mean

    private final double burstMicros; // time for which the bucket may save up tokens
    private LimitShare share;
    private double tokens;
    private double demand;
    private double meanKb; // moved between zones by an attempt
    private int openAttempts; // attempts that may still move data between zones
    private long refilledAt;
    private long nextUncounted; // a denied request with a lower number has already been counted

    /** Creates an empty bucket, which starts to fill now. */
    Quota(double burstMicros, LimitShare share, long now) {
        this.burstMicros = burstMicros;
        this.share = share;
        this.refilledAt = now;
    }

    Quota update(LimitShare next, long now) {
        refill(now);
        share = next;
        return this;
    }

    LimitMeasure measure() {
        return share.measure();
    }

    /** Adds the tokens earned since the last refill and returns the amount in force now. */
    private double refill(long now) {
        double amount = now < share.expiresAt() ? share.amount() : share.amountAfterExpiry();
        tokens = Math.min(Math.max(1, amount * burstMicros / 1e6), tokens + amount * (now - refilledAt) / 1e6);
        refilledAt = now;
        return amount;
    }

    /** Whether the share allows a request, given by its sequence number, in addition to those in flight. */
    boolean allows(long now, int inFlight, long request) {
        double amount = refill(now);
        boolean allowed = share.measure() == LimitMeasure.KB_PER_SECOND
                ? tokens > openAttempts * meanKb
                : share.measure().wholeNumbers ? inFlight < Math.floor(amount) : tokens >= 1;
        if (!allowed && request >= nextUncounted) {
            nextUncounted = request + 1;
            demand += share.measure() == LimitMeasure.KB_PER_SECOND ? meanKb : 1;
        }
        return allowed;
    }

    void spend() {
        tokens--;
        demand += share.measure().wholeNumbers ? 0 : 1;
    }

    void beginAttempt() {
        openAttempts++;
    }

    void endAttempt(double kb) {
        openAttempts = Math.max(0, openAttempts - 1); // an attempt that began before the share arrived was not counted
        tokens -= kb;
        demand += kb;
        meanKb += kb > 0 ? (meanKb == 0 ? 1 : MEAN_GAIN) * (kb - meanKb) : 0;
    }

    /**
     * Returns the demand since the last call: the requests or kilobytes that were sent or denied. For limits on
     * requests in flight, it is the number in flight now plus the requests that were denied.
     */
    LimitDemand takeDemand(int inFlight) {
        LimitDemand taken = new LimitDemand(
                share.member(), share.measure(), demand + (share.measure().wholeNumbers ? inFlight : 0), inFlight);
        demand = 0;
        return taken;
    }
}
