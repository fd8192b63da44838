package pumicemoor.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pumicemoor.calls.CallRules.About;
import pumicemoor.calls.CallRules.NoRule;
import pumicemoor.calls.CallRules.Rule;
import pumicemoor.calls.FairAdmission.Limits;
import pumicemoor.calls.FairAdmission.Verdict;

/** Rules, bounds, fair shares, and the book of calls with an effect. */
class AdmissionTest {

    private static final long SECOND = 1_000_000;

    /** Ten callers for ten seconds at 1,000 a second in all, nine ask for 100 each, one floods with ten times that. */
    private static Map<String, Integer> flooded(boolean fair) {
        FairAdmission admission = new FairAdmission(new Limits(100_000, 100_000, 1_000, fair));
        Map<String, Integer> admitted = new HashMap<>();
        for (long at = 0; at < 10 * SECOND; at += 1_000) {
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
    void oneThatFloodsTakesNothingFromTheOthers() {
        Map<String, Integer> fair = flooded(true);
        Map<String, Integer> first = flooded(false);
        assertTrue(fair.get("others") >= 0.98 * 9_000, "others got " + fair);
        assertTrue(fair.get("flood") <= 1_500, fair.toString());
        assertTrue(first.get("others") < 0.7 * 9_000, "first come first served: " + first);
    }

    @Test
    void whatOthersLeaveIsThereForWhoWantsMore() {
        FairAdmission admission = new FairAdmission(new Limits(100, 100, 1_000, true));
        int admitted = 0;
        for (long at = 0; at < 10 * SECOND; at += 500) {
            if (at % (100 * 1_000) == 0 && admission.admit(at, "quiet").admitted()) {
                admission.ended("quiet");
            }
            if (admission.admit(at, "busy").admitted()) {
                admission.ended("busy");
                admitted++;
            }
        }
        assertTrue(admitted > 9_000, "of 10,000 in ten seconds: " + admitted);
    }

    @Test
    void boundsOnOpenCallsAreKeptAndCallersForgotten() {
        FairAdmission admission = new FairAdmission(new Limits(3, 2, 1_000, true));
        assertTrue(admission.admit(0, "a").admitted());
        assertTrue(admission.admit(1, "a").admitted());
        Verdict own = admission.admit(2, "a");
        assertFalse(own.admitted());
        assertEquals("open calls of the caller", own.bound());
        assertTrue(own.stayAway() > 0);
        assertTrue(admission.admit(3, "b").admitted());
        assertEquals("open calls", admission.admit(4, "b").bound());
        admission.ended("a");
        assertTrue(admission.admit(5, "b").admitted());
        for (int i = 0; i < 5_000; i++) {
            admission.admit(6 + i, "x" + i);
        }
        assertTrue(admission.callers() <= FairAdmission.MOST_CALLERS + 2, "" + admission.callers());
    }

    @Test
    void rulesTakeTheirPartsFromPathAndHeaders() {
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
                Optional.of(new About("film", "a", 2, 9)),
                rules.fit("GET", "/v/a/2?q", Map.of("x-kind", "film", "x-lot", "9")));
        assertEquals(Optional.of(new About("video", "a", 2, -1)), rules.fit("GET", "/v/a/2", Map.of("x-lot", "9")));
        assertEquals(Optional.of(new About("page", "/any/x", 0, -1)), rules.fit("PUT", "/any/x", Map.of()));
        assertEquals(Optional.empty(), rules.fit("PUT", "/v/a/2", Map.of()));
        assertEquals(Optional.empty(), rules.fit("GET", "/v/a/99999999999", Map.of()), "a part that is no number");
        assertEquals(Optional.empty(), rules.fit("GET", "/v/" + "a".repeat(300) + "/1", Map.of()), "too long a name");
        assertEquals(Optional.empty(), rules.fit("GET", "/v/a/2", Map.of("x-kind", "film", "x-lot", "300")));
    }

    @Test
    void theBookLetsNothingRunTwice() {
        CallRegistry book = new CallRegistry(3, 10 * SECOND);
        assertTrue(book.mayBegin(0, "a", false));
        assertFalse(book.mayBegin(0, "a", true), "it is open");
        book.ended(1, "a", true);
        assertFalse(book.mayBegin(2, "a", true), "it may have run");
        assertFalse(book.mayBegin(2, "a", false), "an id that is used again");
        assertTrue(book.mayBegin(2, "b", false));
        book.ended(3, "b", false);
        assertTrue(book.mayBegin(4, "b", true), "it never ran");
        assertFalse(book.mayBegin(4, "new", true), "a repeat of which nothing is known");
        book.ended(5, "b", true);
        assertFalse(book.mayBegin(11 * SECOND, "a", true), "forgotten, and so nothing is known");
        for (int i = 0; i < 10; i++) {
            assertTrue(book.mayBegin(12 * SECOND, "x" + i, false));
            book.ended(12 * SECOND, "x" + i, true);
        }
        assertTrue(book.size() <= 3);
        assertTrue(book.forgottenEarly() > 0);
    }
}
