package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicemoor.lab.LoadClients.RequestOutcome;
import pumicemoor.lab.LoadClients.RequestResult;

/** Guards against a soak checker that misses a violation or reports a permitted result. */
class SoakCheckerTest {

    private final SoakChecker checker = new SoakChecker(1_000, 1_500);

    private int violations(List<RequestLog.ReceivedRequest> requests, List<RequestResult> results) {
        return checker.violations(requests, results).size();
    }

    private static List<RequestLog.ReceivedRequest> requestsAt(long atMillis) {
        return List.of(new RequestLog.ReceivedRequest(atMillis, "box-1", "router", "o"));
    }

    @Test
    void aRequestToADrainingCacheAfterTheGraceIsAViolationUntilItIsActiveAgain() {
        checker.drainStarted("box-1", 5_000);
        checker.drainEnded("box-1", 9_000);
        assertEquals(0, violations(requestsAt(4_000), List.of()));
        assertEquals(0, violations(requestsAt(6_050), List.of()));
        assertEquals(1, violations(requestsAt(6_051), List.of()));
        assertEquals(1, violations(requestsAt(8_999), List.of()));
        assertEquals(0, violations(requestsAt(9_000), List.of()));
    }

    @Test
    void aFillFromADrainingCacheAfterTheGraceIsAViolation() {
        checker.drainStarted("box-1", 5_000);
        assertEquals(1, violations(List.of(new RequestLog.ReceivedRequest(7_000, "box-1", "box-2", "o")), List.of()));
    }

    @Test
    void secondAndLateResponsesAreViolations() {
        assertEquals(1, violations(List.of(), List.of(new RequestResult(1_000, RequestOutcome.TWICE, 0))));
        assertEquals(1, violations(List.of(), List.of(new RequestResult(1_000, RequestOutcome.LATE, 0))));
        assertEquals(1, violations(List.of(), List.of(new RequestResult(1_000, RequestOutcome.LATE, 2_051_000))));
        assertEquals(0, violations(List.of(), List.of(new RequestResult(1_000, RequestOutcome.LATE, 2_050_000))));
        assertEquals(
                0,
                violations(
                        List.of(),
                        List.of(
                                new RequestResult(1_000, RequestOutcome.SERVED, 0),
                                new RequestResult(1_000, RequestOutcome.REFUSED, 0))));
    }

    @Test
    void aLostRequestIsAViolationUnlessAProcessWasKilledWhileItWasOpen() {
        assertEquals(1, violations(List.of(), List.of(new RequestResult(1_000, RequestOutcome.LOST, 0))));
        checker.routerKilled(3_000);
        assertEquals(1, violations(List.of(), List.of(new RequestResult(900, RequestOutcome.LOST, 0))));
        assertEquals(0, violations(List.of(), List.of(new RequestResult(1_000, RequestOutcome.LOST, 0))));
        assertEquals(1, violations(List.of(), List.of(new RequestResult(3_051, RequestOutcome.LOST, 0))));
    }
}
