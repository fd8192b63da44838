package pumicemoor.calls;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Admission control for calls: bounds the open calls, in total and per caller, and limits the rate of new calls with
 * fair shares. Each active caller earns tokens at an equal share of the rate. The unused part of the rate collects in a
 * common reserve, from which callers may take more than their share, so a caller that floods the router gets only what
 * others leave unused. It owns a small account for each caller, which it drops after a time without calls; it must
 * never look at a request.
 */
public final class FairAdmission {

    /** The number of accounts above which the least recently active caller without open calls is dropped. */
    static final int MAX_CALLERS = 1_000;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double BURST_SECONDS = 0.1; // of its share of the rate that a caller may accumulate
    private static final long IDLE_MICROS = 10_000_000; // until the account of a caller without open calls is dropped
    // callers with a call within this time share the rate
    private static final double ACTIVE_MICROS = 1 * MICROS_PER_SECOND;
    private static final double KEPT_RESERVE = 0.5; // share of the reserve that callers past their own share must leave

    /** The number of least recently active callers to examine for one to drop: some of them may have open calls. */
    private static final int EVICTION_CANDIDATES = 16;

    /**
     * The bounds: open calls in total and of one caller, new calls a second in total, and whether callers get fair
     * shares.
     */
    public record Limits(int open, int openPerCaller, double rate, boolean fair) {}

    /**
     * An admission decision; a refusal names the bound that was reached and the delay before a retry, in microseconds.
     */
    public record Decision(boolean admitted, String bound, long retryAfterMicros) {
        static final Decision ADMITTED = new Decision(true, "", 0);
        /** The decision on every call while the router drains. */
        public static final Decision DRAINING = new Decision(false, "draining", (long) MICROS_PER_SECOND);
    }

    private static final class Account {
        int openCalls;
        double tokens;
        long lastCallAt;
        long refilledAt;
    }

    private Limits limits;
    private final Map<String, Account> accounts = new LinkedHashMap<>(16, 0.75f, true);
    private int openCalls;
    private double reserveTokens;
    private long reserveRefilledAt;
    private int activeCallers;
    private long activeCallersCountedAt = Long.MIN_VALUE / 2;

    public FairAdmission(Limits limits) {
        this.limits = limits;
        this.reserveTokens = burstTokens();
    }

    /** Replaces the bounds; open calls are not affected. */
    public void limits(Limits next) {
        limits = next;
    }

    /** Decides whether to admit a call of a caller. The end of an admitted call must be reported by {@link #ended}. */
    public Decision admit(long now, String caller) {
        if (openCalls >= limits.open()) {
            return new Decision(false, "open calls", (long) MICROS_PER_SECOND);
        }
        Account account = accounts.get(caller);
        if (account == null) {
            account = new Account();
            account.refilledAt = now;
            account.tokens = 1;
            accounts.put(caller, account);
            activeCallersCountedAt = Long.MIN_VALUE / 2;
        }
        account.lastCallAt = now;
        dropIdleAccount(now);
        if (account.openCalls >= limits.openPerCaller()) {
            return new Decision(false, "open calls of the caller", (long) MICROS_PER_SECOND);
        }
        if (!takeToken(now, account)) {
            double share = limits.fair() ? limits.rate() / activeCallers(now) : limits.rate();
            return new Decision(
                    false, "rate", (long) Math.min(MICROS_PER_SECOND, Math.max(1, MICROS_PER_SECOND / share)));
        }
        account.openCalls++;
        openCalls++;
        return Decision.ADMITTED;
    }

    /** Records the end of an admitted call. */
    public void ended(String caller) {
        openCalls--;
        Account account = accounts.get(caller);
        if (account != null) {
            account.openCalls--;
        }
    }

    private boolean takeToken(long now, Account account) {
        reserveTokens =
                Math.min(burstTokens(), reserveTokens + (now - reserveRefilledAt) / MICROS_PER_SECOND * limits.rate());
        reserveRefilledAt = now;
        if (!limits.fair()) {
            return takeFromReserve();
        }
        // the reserve bounds the calls of all callers together; the account shows the caller's own share of them
        double share = limits.rate() / activeCallers(now);
        account.tokens = Math.min(
                Math.max(1, share * BURST_SECONDS),
                account.tokens + (now - account.refilledAt) / MICROS_PER_SECOND * share);
        account.refilledAt = now;
        if (account.tokens >= 1 && reserveTokens >= 1) {
            account.tokens--;
            reserveTokens--;
            return true;
        }
        return reserveTokens >= 1 + KEPT_RESERVE * burstTokens() && takeFromReserve();
    }

    private boolean takeFromReserve() {
        boolean available = reserveTokens >= 1;
        reserveTokens -= available ? 1 : 0;
        return available;
    }

    private double burstTokens() {
        return Math.max(1, limits.rate() * BURST_SECONDS);
    }

    /**
     * Returns the number of callers with a recent call. It is counted again for each new caller, otherwise at most ten
     * times a second.
     */
    private int activeCallers(long now) {
        if (now - activeCallersCountedAt > ACTIVE_MICROS / 10) {
            activeCallersCountedAt = now;
            activeCallers = (int) Math.max(
                    1,
                    accounts.values().stream()
                            .filter(a -> now - a.lastCallAt < ACTIVE_MICROS)
                            .count());
        }
        return activeCallers;
    }

    private void dropIdleAccount(long now) {
        Iterator<Account> leastRecent = accounts.values().iterator();
        for (int i = 0; i < EVICTION_CANDIDATES && leastRecent.hasNext(); i++) {
            Account account = leastRecent.next();
            if (account.openCalls == 0 && (now - account.lastCallAt > IDLE_MICROS || accounts.size() > MAX_CALLERS)) {
                leastRecent.remove();
                return;
            }
        }
    }

    public int openCalls() {
        return openCalls;
    }

    int callers() {
        return accounts.size();
    }
}
