package pumicemoor.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicemoor.extproc.FrontRig.attemptHeaders;

import io.grpc.Status;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicemoor.extproc.proto.ProcessingResponse;
import pumicemoor.extproc.proto.v1.End;
import pumicemoor.extproc.proto.v1.Final;
import pumicemoor.extproc.proto.v1.ToCaller;

/** Calls that their callers have made before, at this router or at another one, when they can't be accepted. */
class RepeatedCallsTest {

    private static final String OPERATOR =
            """
            processor:
              listen: 127.0.0.1:0
              message-timeout-ms: 400
              retry-wait-ms: 5000
              %s
              rules:
                - {method: GET, path: "/video/(?P<object>[0-9a-f]+)/(?P<part>[0-9]+)", class: segment}
                - {method: POST, path: "/book/(?P<object>.+)", class: order}
            """;

    private static final int REFUSED = 503;
    private static final int FAILED = 502;
    /** Limits that one open call reaches. */
    private static final String ONE_OPEN_CALL = "open-calls: 1";
    /** A rate that some calls in a row exceed: bursts of two are allowed. */
    private static final String LOW_RATE = "calls-per-second: 20";

    private static final int MAX_FILLERS = 1_000;

    @TempDir
    Path folder;

    private FrontRig rig;
    private int fillers;

    private void start(String limits) throws Exception {
        rig = new FrontRig(folder, OPERATOR.formatted(limits));
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private FrontRig.ProxyCall book(String id, int attemptCount) {
        return rig.new ProxyCall().request("POST", "/book/7", id, attemptCount);
    }

    private FrontRig.ReporterCall ask(String id, int earlierTries) {
        return rig.new ReporterCall().ask("order", "7", id, earlierTries);
    }

    /** Makes a call that may have run, whose caller is gone. */
    private void bookAndLeave(String id) throws Exception {
        FrontRig.ProxyCall call = book(id, 1);
        attemptHeaders(call.next());
        close(call);
    }

    /** Opens a call that stays open. */
    private FrontRig.ProxyCall openCall() throws Exception {
        FrontRig.ProxyCall call = rig.new ProxyCall().request("GET", "/video/aa/0", "open", 1);
        attemptHeaders(call.next());
        return call;
    }

    private void close(FrontRig.ProxyCall onlyOpenCall) throws Exception {
        onlyOpenCall.out.onError(Status.CANCELLED.asRuntimeException());
        rig.awaitNoOpenCalls();
    }

    /** Makes first tries of bookings until one is over the limit, and returns how that is answered. */
    private int bookUntilOverTheLimit() throws Exception {
        for (int i = 0; i < MAX_FILLERS; i++) {
            FrontRig.ProxyCall call = book("filler-" + ++fillers, 1);
            ProcessingResponse answer = call.next();
            if (answer.hasImmediateResponse()) {
                return answer.getImmediateResponse().getStatus().getCode();
            }
        }
        throw new AssertionError("the limit is not reached");
    }

    /** Guards against a booking that runs twice: its repeat after a router's death is refused over a limit (review/7). */
    @ParameterizedTest
    @ValueSource(strings = {ONE_OPEN_CALL, "open-calls-per-caller: 1", LOW_RATE})
    void aRepeatThatMayHaveRunElsewhereFailsOverALimit(String limits) throws Exception {
        start(limits);
        assertEquals(REFUSED, bookUntilOverTheLimit(), "a first try never ran");
        assertEquals(FAILED, book("b-1", 2).rejectedWith());
        assertEquals(REFUSED, bookUntilOverTheLimit());
        assertEquals(Final.Code.FAILED, ask("b-2", 1).finalCode());
    }

    /** Guards against failures over a limit of what may be refused: first tries, and what may run more than once. */
    @Test
    void firstTriesAndSafeRepeatsAreRefusedOverALimit() throws Exception {
        start(ONE_OPEN_CALL);
        openCall();
        assertEquals(REFUSED, book("b-1", 1).rejectedWith());
        assertEquals(Final.Code.REFUSED, ask("b-2", 0).finalCode());
        assertEquals(
                REFUSED,
                rig.new ProxyCall().request("GET", "/video/aa/0", "v-1", 2).rejectedWith());
        assertEquals(
                Final.Code.REFUSED,
                rig.new ReporterCall().ask("segment", "aa", "v-2", 1).finalCode());
    }

    /** Guards against a booking that runs twice: this router knows that it may have run, and refuses its repeat. */
    @Test
    void aRepeatThatMayHaveRunHereFailsOverALimitWhateverItsMark() throws Exception {
        start(ONE_OPEN_CALL);
        bookAndLeave("b-1");
        FrontRig.ProxyCall open = book("b-2", 1);
        attemptHeaders(open.next());
        for (int attemptCount : new int[] {1, 2}) {
            assertEquals(FAILED, book("b-1", attemptCount).rejectedWith());
            assertEquals(Final.Code.FAILED, ask("b-1", attemptCount - 1).finalCode());
            assertEquals(FAILED, book("b-2", attemptCount).rejectedWith(), "it is open");
        }
    }

    /** Guards against a planned end at which a repeat is refused. */
    @Test
    void aRepeatFailsWhileTheRouterDrains() throws Exception {
        start("open-calls: 9");
        bookAndLeave("b-1");
        FrontRig.ProxyCall known = rig.new ProxyCall();
        FrontRig.ProxyCall marked = rig.new ProxyCall();
        FrontRig.ReporterCall asked = rig.new ReporterCall();
        FrontRig.ProxyCall first = rig.new ProxyCall();
        openCall(); // by then the router has seen the streams above
        rig.runOnLoop(rig.front::drain);
        assertEquals(FAILED, known.request("POST", "/book/7", "b-1", 1).rejectedWith());
        assertEquals(FAILED, marked.request("POST", "/book/7", "b-2", 2).rejectedWith());
        assertEquals(Final.Code.FAILED, asked.ask("order", "7", "b-3", 1).finalCode());
        assertEquals(REFUSED, first.request("POST", "/book/7", "b-4", 1).rejectedWith());
    }

    /** Guards against repeats that use up what first tries are allowed: a failed one takes no part of any limit. */
    @Test
    void aRepeatThatFailsTakesNoPartOfTheLimits() throws Exception {
        start(LOW_RATE);
        for (int i = 0; i < 20; i++) {
            assertEquals(FAILED, book("b-" + i, 2).rejectedWith());
        }
        openCall();
        assertEquals(20, rig.state("repeats-failed"));
        assertEquals(1, rig.state("open"));
        assertEquals(1, rig.state("named"));
    }

    /** Guards against a limit that makes a failure of what never ran: its caller has to learn that it may try again. */
    @Test
    void aRepeatThatNeverRanIsRefusedOverALimitAndAcceptedLater() throws Exception {
        start(ONE_OPEN_CALL);
        FrontRig.ReporterCall first = ask("b-1", 0);
        ToCaller answer = first.next();
        for (; answer.hasNamed(); answer = first.next()) {
            first.report(answer.getNamed().getAttempt(), End.How.FULL);
        }
        assertEquals(Final.Code.REFUSED, answer.getFinal().getCode());
        rig.awaitNoOpenCalls();
        FrontRig.ProxyCall open = openCall();
        assertEquals(REFUSED, book("b-1", 2).rejectedWith());
        close(open);
        attemptHeaders(book("b-1", 2).next());
    }

    /** Guards against the loss of an attempt that is kept ready, when the retry that it waits for is over a limit. */
    @Test
    void aRetryForWhichAnAttemptIsReadyIsRefusedOverALimitAndGetsItLater() throws Exception {
        start(ONE_OPEN_CALL);
        FrontRig.ProxyCall first = book("b-1", 1);
        attemptHeaders(first.next());
        first.response("429");
        first.next();
        first.out.onCompleted();
        first.endCode();
        assertEquals(1, rig.state("held-ready"));
        FrontRig.ProxyCall open = openCall();
        assertEquals(REFUSED, book("b-1", 2).rejectedWith());
        close(open);
        assertEquals("1", attemptHeaders(book("b-1", 2).next()).get("x-pumicemoor-attempt"));
    }

    /** Guards against a booking that runs twice: the rules at the next router don't know it, and its repeat is refused. */
    @Test
    void aRepeatThatFitsNoRuleFailsIfItMayHaveRun() throws Exception {
        start("open-calls: 9");
        bookAndLeave("b-1");
        for (int attemptCount : new int[] {1, 2}) {
            assertEquals(FAILED, callWithoutARule("b-1", attemptCount), "it may have run here");
        }
        assertEquals(FAILED, callWithoutARule("b-2", 2), "it may have run elsewhere, and its class is not known");
        assertEquals(REFUSED, callWithoutARule("b-3", 1), "a first try never ran");
        assertEquals(1, rig.state("refused-by-rule"));
        assertEquals(3, rig.state("repeats-failed"));
    }

    private int callWithoutARule(String id, int attemptCount) throws Exception {
        return rig.new ProxyCall()
                .request("POST", "/elsewhere", id, attemptCount)
                .rejectedWith();
    }

    /** Guards against a booking that runs twice: the number of its earlier tries is taken for none. */
    @Test
    void aNumberOfTriesThatCanNotBeReadMayMeanARepeat() throws Exception {
        start("open-calls: 9");
        for (String attemptCount : new String[] {"3000000000", "12345678901234567890", "1,2", " 2", "two", "-1", ""}) {
            FrontRig.ProxyCall call = rig.new ProxyCall().request("POST", "/book/7", "b-1", attemptCount);
            assertEquals(FAILED, call.rejectedWith(), attemptCount);
        }
        assertEquals(Final.Code.FAILED, ask("b-2", -1).finalCode(), "4294967295 tries, as an unsigned number");
        attemptHeaders(book("b-3", 1).next());
    }

    /** Guards against a booking that runs twice: it never ran here, but may have run at another router since. */
    @Test
    void aRepeatThatNeverRanHereFailsIfItWasTriedElsewhereToo() throws Exception {
        start("open-calls: 9");
        for (String id : new String[] {"b-1", "b-2"}) {
            FrontRig.ReporterCall first = ask(id, 0);
            for (ToCaller answer = first.next(); answer.hasNamed(); answer = first.next()) {
                first.report(answer.getNamed().getAttempt(), End.How.FULL);
            }
        }
        assertEquals(Final.Code.FAILED, ask("b-1", 2).finalCode(), "its second try was made elsewhere");
        assertTrue(ask("b-2", 1).next().hasNamed(), "its only try was made here");
    }

    /** Guards against a refusal whose invitation to come back is not kept: the retry fails as one that may have run. */
    @Test
    void aCallThatWasRefusedOverALimitIsAcceptedWhenItComesBack() throws Exception {
        start(ONE_OPEN_CALL);
        FrontRig.ProxyCall open = openCall();
        assertEquals(REFUSED, book("b-1", 1).rejectedWith());
        assertEquals(Final.Code.REFUSED, ask("b-1", 1).finalCode());
        close(open);
        attemptHeaders(book("b-1", 3).next());
    }
}
