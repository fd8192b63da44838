package pumicemoor.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pumicemoor.calls.CallRules.NoRule;
import pumicemoor.calls.CallRules.RequestAttributes;
import pumicemoor.calls.CallRules.Rule;
import pumicemoor.calls.FairAdmission.Decision;
import pumicemoor.calls.FairAdmission.Limits;

/** Tests the rules that classify calls, their admission, and the registry of calls that must not run twice. */
class AdmissionTest {

    private static final long MICROS_PER_SECOND = 1_000_000;

    /**
     * Counts admitted calls over ten seconds at a total rate of 1,000 a second: nine callers make 100 calls a second
     * each, one floods with ten times as many.
     */
    private static Map<String, Integer> admittedUnderFlood(boolean fair) {
        FairAdmission admission = new FairAdmission(new Limits(100_000, 100_000, 1_000, fair));
        Map<String, Integer> admitted = new HashMap<>();
        for (long at = 0; at < 10 * MICROS_PER_SECOND; at += 1_000) {
            for (int caller = 0; caller < 10; caller++) {
                boolean flood = caller == 0;
                if (flood || (at / 1_000 + caller) % 10 == 0) {
                    if (admission.admit(at, "c" + caller).admitted()) {
                        admitted.merge(flood ? "flood" : "others", 1, Integer::sum);
                        admission.ended("c" + caller);
                    }
                }
            }
        }
        return admitted;
    }

    @Test
    void aFloodingCallerTakesNothingFromTheOthers() {
        Map<String, Integer> fair = admittedUnderFlood(true);
        Map<String, Integer> unfair = admittedUnderFlood(false);
        assertTrue(fair.get("others") >= 0.98 * 9_000, "calls admitted: " + fair);
        assertTrue(fair.get("flood") <= 1_500, fair.toString());
        assertTrue(unfair.get("others") < 0.7 * 9_000, "without fair shares: " + unfair);
    }

    @Test
    void theUnusedRateIsAvailableToBusyCallers() {
        FairAdmission admission = new FairAdmission(new Limits(100, 100, 1_000, true));
        int admitted = 0;
        for (long at = 0; at < 10 * MICROS_PER_SECOND; at += 500) {
            if (at % (100 * 1_000) == 0 && admission.admit(at, "quiet").admitted()) {
                admission.ended("quiet");
            }
            if (admission.admit(at, "busy").admitted()) {
                admission.ended("busy");
                admitted++;
            }
        }
        assertTrue(admitted > 9_000, "calls admitted of 10,000 in ten seconds: " + admitted);
    }

    @Test
    void openCallsAreBoundedAndIdleCallersDropped() {
        FairAdmission admission = new FairAdmission(new Limits(3, 2, 1_000, true));
        assertTrue(admission.admit(0, "a").admitted());
        assertTrue(admission.admit(1, "a").admitted());
        Decision refused = admission.admit(2, "a");
        assertFalse(refused.admitted());
        assertEquals("open calls of the caller", refused.bound());
        assertTrue(refused.retryAfterMicros() > 0);
        assertTrue(admission.admit(3, "b").admitted());
        assertEquals("open calls", admission.admit(4, "b").bound());
        admission.ended("a");
        assertTrue(admission.admit(5, "b").admitted());
        for (int i = 0; i < 5_000; i++) {
            admission.admit(6 + i, "x" + i);
        }
        assertTrue(admission.callers() <= FairAdmission.MAX_CALLERS + 2, "" + admission.callers());
    }

    @Test
    void rulesExtractObjectPartAndGroupFromPathAndHeaders() {
        CallRules rules = new CallRules(
                List.of(
                        new Rule(
                                "GET",
                                Rule.pattern("/v/(?P<object>[^/]+)/(?P<part>\\d+)"),
                                Map.of("x-kind", "film"),
                                "film",
                                "x-lot"),
                        new Rule("GET", Rule.pattern("/v/(?P<object>[^/]+)/(?P<part>\\d+)"), Map.of(), "video", null),
                        new Rule(null, Rule.pattern("/any/.*"), Map.of(), "page", null)),
                NoRule.REFUSE);
        assertEquals(
                Optional.of(new RequestAttributes("film", "a", 2, 9)),
                rules.match("GET", "/v/a/2?q", Map.of("x-kind", "film", "x-lot", "9")));
        assertEquals(
                Optional.of(new RequestAttributes("video", "a", 2, -1)),
                rules.match("GET", "/v/a/2", Map.of("x-lot", "9")));
        assertEquals(
                Optional.of(new RequestAttributes("page", "/any/x", 0, -1)), rules.match("PUT", "/any/x", Map.of()));
        assertEquals(Optional.empty(), rules.match("PUT", "/v/a/2", Map.of()));
        assertEquals(
                Optional.empty(), rules.match("GET", "/v/a/99999999999", Map.of()), "a part that does not fit an int");
        assertEquals(
                Optional.empty(),
                rules.match("GET", "/v/" + "a".repeat(300) + "/1", Map.of()),
                "an object name over the maximum length");
        assertEquals(Optional.empty(), rules.match("GET", "/v/a/2", Map.of("x-kind", "film", "x-lot", "300")));
    }
}
