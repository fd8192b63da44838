package pumicemoor.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicemoor.lab.LoadClients.RequestOutcome;
import pumicemoor.lab.LoadClients.RequestResult;

/**
 * Finds violations of the rules in the logs of clients and caches: requests to a cache after the grace period of its
 * drain, and responses that are repeated, late or lost. It keeps its own list of the drains that were published and of
 * the routers that were killed, and does not depend on the program. Times are in milliseconds of the request log.
 */
final class SoakChecker {

    private static final long SLACK_MILLIS = 50; // added to every time limit, for the sockets

    private static final long MAX_LATENESS_MILLIS = 500; // past the deadline; a response after that is a violation

    private final long drainGraceMillis;
    private final long maxResponseMillis;
    private final Map<String, List<long[]>> drains = new TreeMap<>(); // pairs: start, end
    private final List<Long> killMillis = new ArrayList<>();

    /** Creates a checker with the grace period after the start of a drain and the deadline of the clients' requests. */
    SoakChecker(long drainGraceMillis, long deadlineMillis) {
        this.drainGraceMillis = drainGraceMillis;
        this.maxResponseMillis = deadlineMillis + MAX_LATENESS_MILLIS + SLACK_MILLIS;
    }

    void drainStarted(String member, long atMillis) {
        drains.computeIfAbsent(member, key -> new ArrayList<>()).add(new long[] {atMillis, Long.MAX_VALUE});
    }

    void drainEnded(String member, long atMillis) {
        List<long[]> memberDrains = drains.get(member);
        memberDrains.get(memberDrains.size() - 1)[1] = atMillis;
    }

    void routerKilled(long atMillis) {
        killMillis.add(atMillis);
    }

    /** Returns one line for each violation; empty if all rules were kept. */
    List<String> violations(List<RequestLog.ReceivedRequest> requests, List<RequestResult> results) {
        List<String> violations = new ArrayList<>();
        for (RequestLog.ReceivedRequest request : requests) {
            for (long[] drain : drains.getOrDefault(request.member(), List.of())) {
                if (request.atMillis() > drain[0] + drainGraceMillis + SLACK_MILLIS && request.atMillis() < drain[1]) {
                    violations.add("drain: " + request + ", published at " + drain[0]);
                }
            }
        }
        for (RequestResult result : results) {
            if (result.outcome() == RequestOutcome.TWICE
                    || result.outcome() == RequestOutcome.LATE && tooLate(result)
                    || result.outcome() == RequestOutcome.LOST && !mayBeLost(result)) {
                violations.add("answers: " + result);
            }
        }
        return violations;
    }

    /** A response to an unknown request has no response time and is always too late. */
    private boolean tooLate(RequestResult result) {
        return result.micros() == 0 || result.micros() / 1_000 > maxResponseMillis;
    }

    /** Requests that were open at a killed process may be lost. */
    private boolean mayBeLost(RequestResult result) {
        return killMillis.stream()
                .anyMatch(kill -> kill >= result.sentAtMillis() - SLACK_MILLIS
                        && kill <= result.sentAtMillis() + maxResponseMillis);
    }
}
