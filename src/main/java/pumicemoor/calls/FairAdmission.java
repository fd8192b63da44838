package pumicemoor.calls;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whether there is room for one call more of a caller: bounds on open calls, and on new calls a second that are
 * shared out fairly. Each caller earns an equal part of the rate; what callers leave unused goes to a reserve
 * from which those who want more take in turn. So one that floods gets what others leave and no more. It owns
 * a small account for each caller, dropped when it has been quiet; it must never look at a request.
 */
public final class FairAdmission {

    /** Callers remembered at most; past it the quietest is forgotten. */
    static final int MOST_CALLERS = 1_000;

    private static final double SECOND = 1_000_000;
    private static final double BURST = 0.1; // seconds of its part that a caller may save up
    private static final long QUIET = 10_000_000; // microseconds until a caller without open calls is forgotten
    private static final double ACTIVE = 1 * SECOND; // who asked within this has a part of the rate
    private static final double RESERVE_LEFT = 0.5; // share of the reserve that is not lent to who had its part

    private static final int LOOKED_AT = 16; // of the quietest, for one to forget: some may have calls open

    /** The bounds: open calls in all and of one caller, new calls a second in all. */
    public record Limits(int open, int openPerCaller, double rate, boolean fair) {}

    /** What was decided, and for how long a caller that is turned away should stay away, in microseconds. */
    public record Verdict(boolean admitted, String bound, long stayAway) {
        static final Verdict YES = new Verdict(true, "", 0);
    }

    private static final class Account {
        int open;
        double tokens;
        long lastAsked;
        long lastEarned;
    }

    private Limits limits;
    private final Map<String, Account> accounts = new LinkedHashMap<>(16, 0.75f, true);
    private int open;
    private double reserve;
    private long reserveAt;
    private int active;
    private long activeAt = Long.MIN_VALUE / 2;

    public FairAdmission(Limits limits) {
        this.limits = limits;
        this.reserve = burst();
    }

    /** New bounds; what is open stays. */
    public void limits(Limits next) {
        limits = next;
    }

    /** Asks for room for a call of this caller; a call that is admitted must be ended. */
    public Verdict admit(long now, String caller) {
        if (open >= limits.open()) {
            return new Verdict(false, "open calls", (long) SECOND);
        }
        Account account = accounts.get(caller);
        if (account == null) {
            account = new Account();
            account.lastEarned = now;
            account.tokens = 1;
            accounts.put(caller, account);
            activeAt = Long.MIN_VALUE / 2;
        }
        account.lastAsked = now;
        forget(now);
        if (account.open >= limits.openPerCaller()) {
            return new Verdict(false, "open calls of the caller", (long) SECOND);
        }
        if (!takeToken(now, account)) {
            double part = limits.fair() ? limits.rate() / active(now) : limits.rate();
            return new Verdict(false, "rate", (long) Math.min(SECOND, Math.max(1, SECOND / part)));
        }
        account.open++;
        open++;
        return Verdict.YES;
    }

    /** A call that was admitted has ended. */
    public void ended(String caller) {
        open--;
        Account account = accounts.get(caller);
        if (account != null) {
            account.open--;
        }
    }

    private boolean takeToken(long now, Account account) {
        reserve = Math.min(burst(), reserve + (now - reserveAt) / SECOND * limits.rate());
        reserveAt = now;
        if (!limits.fair()) {
            return take();
        }
        // the reserve holds what all may take in all; an account says how much of it is the caller's own part
        double part = limits.rate() / active(now);
        account.tokens =
                Math.min(Math.max(1, part * BURST), account.tokens + (now - account.lastEarned) / SECOND * part);
        account.lastEarned = now;
        if (account.tokens >= 1 && reserve >= 1) {
            account.tokens--;
            reserve--;
            return true;
        }
        return reserve >= 1 + RESERVE_LEFT * burst() && take();
    }

    private boolean take() {
        boolean there = reserve >= 1;
        reserve -= there ? 1 : 0;
        return there;
    }

    private double burst() {
        return Math.max(1, limits.rate() * BURST);
    }

    /** How many callers have asked lately; counted again a few times a second only. */
    private int active(long now) {
        if (now - activeAt > ACTIVE / 10) {
            activeAt = now;
            active = (int) Math.max(
                    1,
                    accounts.values().stream()
                            .filter(a -> now - a.lastAsked < ACTIVE)
                            .count());
        }
        return active;
    }

    private void forget(long now) {
        Iterator<Account> quietest = accounts.values().iterator();
        for (int i = 0; i < LOOKED_AT && quietest.hasNext(); i++) {
            Account account = quietest.next();
            if (account.open == 0 && (now - account.lastAsked > QUIET || accounts.size() > MOST_CALLERS)) {
                quietest.remove();
                return;
            }
        }
    }

    public int open() {
        return open;
    }

    int callers() {
        return accounts.size();
    }
}
