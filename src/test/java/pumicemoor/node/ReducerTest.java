package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.OperatorFile;

/** The reducer by inputs, with decisions that a test scripts. */
class ReducerTest {

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long START = 1_764_576_000 * SECOND;
    private static final long CACHE = Reducer.memberId("s-1");
    private static final long PARENT = Reducer.memberId("p-1");

    @TempDir
    Path folder;

    private final List<Event> events = new ArrayList<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Counters counters = new Counters();
    private Consumer<Event> script = e -> {};
    private Consumer<Action> act;
    private NodeConfig config;
    private ResourceLimits limits;
    private Reducer reducer;
    private long now = START;

    @BeforeEach
    void start() throws Exception {
        start(1_000);
    }

    private void start(int maxOpen) throws Exception {
        start(maxOpen, true);
    }

    private void start(int maxOpen, boolean heard) throws Exception {
        config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:1",
                "127.0.0.1:2",
                maxOpen,
                NodeTestConfig.list(
                        1,
                        true,
                        NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                        NodeTestConfig.member("p-1", "127.0.0.1:12", "shield", "active", 0))));
        limits = ResourceLimits.of(config.words().settings(), config.figures());
        RouterApi scripted = (time, event, sink) -> {
            events.add(event);
            act = sink::accept;
            script.accept(event);
        };
        reducer = new Reducer(scripted, config.words(), limits, counters);
        reducer.known(now, config, effects::add);
        assertFalse(reducer.ready(), "nothing was heard of the coordinator yet");
        if (heard) {
            take(new Input.CoordinatorHeartbeat());
        }
        events.clear();
        effects.clear();
    }

    /** A body that counts who holds it. */
    private static final class Counted implements Bytes {
        private int holders = 1;

        @Override
        public int size() {
            return 10;
        }

        @Override
        public Bytes retain() {
            holders++;
            return this;
        }

        @Override
        public void release() {
            holders--;
        }
    }

    private void take(Input input) {
        reducer.accept(now, input, effects::add);
    }

    /** Lets time pass, waking the reducer whenever it asked for it. */
    private void pass(long micros) {
        long end = now + micros;
        while (reducer.nextDue() <= end) {
            now = Math.max(now, reducer.nextDue());
            take(new Input.TimerFired());
        }
        now = end;
    }

    private void request(int stream, String requestClass, Bytes body) {
        take(new Input.Request(
                1, stream, "9b1f03aa5c7e2d41", requestClass, "7f3a9c21e0b4d655", 3, 17, "4be0", 1500, false, body));
    }

    private <T> List<T> of(List<?> all, Class<T> type) {
        return all.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Effect.SendAttempt ask() {
        List<Effect.SendAttempt> asks = of(effects, Effect.SendAttempt.class);
        return asks.get(asks.size() - 1);
    }

    private void onArrival(Consumer<RequestArrived> then) {
        script = e -> {
            if (e instanceof RequestArrived r) {
                then.accept(r);
            }
        };
    }

    private void fetchOnArrival(long oldest, long timeout) {
        onArrival(r -> act.accept(new Fetch(r.id(), CACHE, PARENT, 2, oldest, true, false, false, false, timeout)));
    }

    private static Input.Answered answered(long attempt, AnswerStatus word, Bytes body) {
        return new Input.Answered(attempt, word, "parent", Map.of("inflight", 7.0), body);
    }

    @Test
    void firstOkGoesToTheClientWithItsBytesAndEndsTheRequest() {
        fetchOnArrival(0, 0);
        Counted asked = new Counted();
        request(5, "segment", asked);
        Effect.SendAttempt ask = ask();
        assertEquals("s-1", ask.instance());
        assertEquals("127.0.0.1:11", ask.address());
        assertEquals("p-1", ask.source());
        assertEquals("9b1f03aa5c7e2d41", ask.id());
        assertEquals("7f3a9c21e0b4d655", ask.object());
        assertEquals(1500, ask.timeoutMillis());
        assertEquals("4be0", ask.tag());
        take(new Input.Written(ask.attempt()));
        Counted body = new Counted();
        now += 90 * MILLI;
        take(answered(ask.attempt(), AnswerStatus.DATA, body));
        Effect.Answer answer = of(effects, Effect.Answer.class).get(0);
        assertEquals(new Effect.Answer(1, 5, Code.SERVED, false, 0, body), answer);
        assertEquals(1, body.holders, "the answer's holder is the effect");
        ask.body().release();
        assertEquals(0, asked.holders);
        AttemptEnded end = of(events, AttemptEnded.class).get(0);
        assertEquals(Outcome.OK, end.outcome());
        assertTrue(end.closed());
        assertEquals(FillResult.FILLED, end.fillResult());
        assertEquals(90 * MILLI, end.latency());
        assertEquals(Map.of("inflight", 7.0), end.load());
        pass(5 * SECOND);
        assertEquals(1, of(effects, Effect.Answer.class).size());
        assertEquals(0, reducer.openRequests());
    }

    @Test
    void aCopyThatTheClientHoldsIsToldAsUnchanged() {
        fetchOnArrival(0, 0);
        request(5, "segment", Bytes.NONE);
        take(answered(ask().attempt(), AnswerStatus.UNCHANGED, Bytes.NONE));
        assertTrue(of(effects, Effect.Answer.class).get(0).unchanged());
    }

    @Test
    void aLookupNamesNoSource() {
        onArrival(r -> act.accept(new Lookup(r.id(), CACHE, 0)));
        request(5, "segment", Bytes.NONE);
        assertNull(ask().source());
        assertEquals(0, ask().maxAgeMillis());
    }

    @Test
    void theOldestCopyRoundsDownToMillisecondsButNeverToAnyAge() {
        for (long[] pair : new long[][] {{0, 0}, {1, 1}, {999, 1}, {1_999, 1}, {2_000, 2}, {6 * SECOND, 6_000}}) {
            fetchOnArrival(pair[0], 0);
            request(5, "segment", Bytes.NONE);
            assertEquals(pair[1], ask().maxAgeMillis(), "for " + pair[0]);
            take(answered(ask().attempt(), AnswerStatus.DATA, Bytes.NONE));
        }
    }

    @Test
    void eachWordOfACacheIsTheOutcomeItProves() {
        Map<AnswerStatus, Outcome> expected = Map.of(
                AnswerStatus.ABSENT,
                Outcome.MISS,
                AnswerStatus.FULL,
                Outcome.FULL,
                AnswerStatus.FAILED,
                Outcome.ERROR,
                AnswerStatus.MOOT,
                Outcome.MOOT);
        expected.forEach((word, outcome) -> {
            events.clear();
            fetchOnArrival(0, 0);
            request(word.ordinal() + 1, "segment", Bytes.NONE);
            Counted body = new Counted();
            take(answered(ask().attempt(), word, body));
            assertEquals(outcome, of(events, AttemptEnded.class).get(0).outcome());
            assertFalse(of(events, AttemptEnded.class).get(0).closed());
            assertEquals(0, body.holders, "a body that goes nowhere is let go");
        });
    }

    @Test
    void anAttemptNotWrittenWholeNeverRanAndABrokenOneMayHave() {
        fetchOnArrival(0, 0);
        request(1, "segment", Bytes.NONE);
        take(new Input.NeverSent(ask().attempt()));
        request(2, "segment", Bytes.NONE);
        take(new Input.Written(ask().attempt()));
        take(new Input.ConnectionLost(ask().attempt()));
        List<Outcome> outcomes = of(events, AttemptEnded.class).stream()
                .map(AttemptEnded::outcome)
                .toList();
        assertEquals(List.of(Outcome.CONNECT_FAILED, Outcome.RESET), outcomes);
    }

    @Test
    void aRequestStuckUnwrittenIsTakenBackBeforeADrainOrPurgeBindsIt() {
        fetchOnArrival(0, 0);
        request(1, "segment", Bytes.NONE);
        long attempt = ask().attempt();
        pass(limits.unwritten());
        assertEquals(attempt, of(effects, Effect.AbandonAttempt.class).get(0).attempt());
        assertEquals(
                Outcome.CONNECT_FAILED, of(events, AttemptEnded.class).get(0).outcome());
        assertTrue(limits.unwritten() < config.words().settings().rules().purgeGrace());
        assertTrue(limits.unwritten() < config.words().settings().rules().drainGrace());
    }

    @Test
    void aWrittenAttemptIsNotTakenBackButEndsWithItsTimeOut() {
        fetchOnArrival(0, 700 * MILLI);
        request(1, "segment", Bytes.NONE);
        take(new Input.Written(ask().attempt()));
        assertEquals(700, ask().timeoutMillis());
        pass(699 * MILLI);
        assertTrue(of(events, AttemptEnded.class).isEmpty());
        pass(2 * MILLI);
        assertEquals(Outcome.TIMEOUT, of(events, AttemptEnded.class).get(0).outcome());
        assertEquals(1, of(effects, Effect.AbandonAttempt.class).size());
    }

    @Test
    void aLateAnswerBelongsToItsOwnAttempt() {
        fetchOnArrival(0, 700 * MILLI);
        request(1, "segment", Bytes.NONE);
        long first = ask().attempt();
        take(new Input.Written(first));
        script = e -> {
            if (e instanceof AttemptEnded a && !a.closed()) {
                act.accept(new Fetch(a.id(), CACHE, PARENT, 0, 0, false, false, false, false, 0));
            }
        };
        pass(701 * MILLI);
        long second = ask().attempt();
        assertFalse(first == second);
        Counted late = new Counted();
        take(answered(first, AnswerStatus.DATA, late));
        assertEquals(0, late.holders);
        assertTrue(of(effects, Effect.Answer.class).isEmpty());
        take(answered(second, AnswerStatus.DATA, Bytes.NONE));
        assertEquals(1, of(effects, Effect.Answer.class).size());
    }

    @Test
    void theDeadlineEndsTheAttemptAndTheDecisionsMayStillAnswer() {
        fetchOnArrival(0, 0);
        request(1, "order", Bytes.NONE);
        take(new Input.Written(ask().attempt()));
        Consumer<Event> failing = e -> {
            if (e instanceof AttemptEnded a) {
                assertFalse(a.closed());
                act.accept(new Fail(a.id()));
            }
        };
        script = failing;
        pass(1_499 * MILLI);
        assertTrue(of(effects, Effect.Answer.class).isEmpty());
        pass(2 * MILLI);
        assertEquals(Code.FAILED, of(effects, Effect.Answer.class).get(0).code());
    }

    @Test
    void aRequestThatNobodyAnswersFailsWithinTheSlackAndIsAnsweredOnce() {
        request(1, "segment", Bytes.NONE);
        pass(1_500 * MILLI + 28 * MILLI);
        List<Effect.Answer> answers = of(effects, Effect.Answer.class);
        assertEquals(1, answers.size());
        assertEquals(Code.FAILED, answers.get(0).code());
        RequestArrived arrived = of(events, RequestArrived.class).get(0);
        assertEquals(List.of(new RequestAbandoned(arrived.id())), of(events, RequestAbandoned.class));
        act.accept(new Refuse(arrived.id(), 0));
        assertEquals(1, of(effects, Effect.Answer.class).size());
    }

    @Test
    void aRefusalSaysWhenToComeBackInWholeMilliseconds() {
        onArrival(r -> act.accept(new Refuse(r.id(), 200_001)));
        request(1, "segment", Bytes.NONE);
        assertEquals(
                new Effect.Answer(1, 1, Code.REFUSED, false, 201, Bytes.NONE),
                of(effects, Effect.Answer.class).get(0));
    }

    @Test
    void nothingIsOwedToAClientThatHasLeft() {
        fetchOnArrival(0, 0);
        Counted asked = new Counted();
        request(1, "segment", asked);
        Effect.SendAttempt ask = ask();
        take(new Input.RequestCancelled(1, 1));
        assertEquals(1, of(events, RequestAbandoned.class).size());
        Counted crossing = new Counted();
        take(answered(ask.attempt(), AnswerStatus.DATA, crossing));
        assertEquals(0, crossing.holders);
        ask.body().release();
        assertEquals(0, asked.holders);
        take(new Input.RequestCancelled(1, 1));
        pass(5 * SECOND);
        assertTrue(of(effects, Effect.Answer.class).isEmpty());
        assertEquals(1, of(events, RequestAbandoned.class).size());
    }

    @Test
    void aClosedConnectionEndsAllItsRequestsAndNoOthers() {
        request(1, "segment", Bytes.NONE);
        request(2, "segment", Bytes.NONE);
        take(new Input.Request(2, 1, "a", "segment", "b", 0, 0, null, 1500, false, Bytes.NONE));
        take(new Input.ClientClosed(1));
        assertEquals(2, of(events, RequestAbandoned.class).size());
        assertEquals(1, reducer.openRequests());
    }

    @Test
    void aCallOffIsToldToTheCacheAndEndsTheAttempt() {
        fetchOnArrival(0, 0);
        request(1, "segment", Bytes.NONE);
        String id = of(events, RequestArrived.class).get(0).id();
        script = e -> {
            if (e instanceof TimerDue) {
                act.accept(new Cancel(id, 0));
            }
        };
        act.accept(new SetTimer(10 * MILLI, 77));
        take(new Input.Written(ask().attempt()));
        pass(11 * MILLI);
        assertEquals(List.of(new Effect.AbandonAttempt(ask().attempt(), true)), of(effects, Effect.AbandonAttempt.class));
        assertEquals(Outcome.CANCELLED, of(events, AttemptEnded.class).get(0).outcome());
        assertEquals(new TimerDue(77), of(events, TimerDue.class).get(0));
    }

    @Test
    void requestsBeyondTheBoundAreRefusedUnseen() throws Exception {
        start(2);
        request(1, "segment", Bytes.NONE);
        request(2, "segment", Bytes.NONE);
        Counted third = new Counted();
        request(3, "segment", third);
        assertEquals(Code.REFUSED, of(effects, Effect.Answer.class).get(0).code());
        assertEquals(0, third.holders);
        assertEquals(2, of(events, RequestArrived.class).size());
        take(new Input.RequestCancelled(1, 1));
        request(4, "segment", Bytes.NONE);
        assertEquals(3, of(events, RequestArrived.class).size());
    }

    @Test
    void aRequestOfAnUnknownClassFailsAtOnce() {
        request(1, "nonsense", Bytes.NONE);
        assertEquals(Code.FAILED, of(effects, Effect.Answer.class).get(0).code());
        assertTrue(of(events, RequestArrived.class).isEmpty());
    }

    @Test
    void attemptsBeyondTheMostAllowedAreMootAndNotSent() {
        onArrival(r -> {
            for (int i = 0; i < 9; i++) {
                act.accept(new Lookup(r.id(), CACHE, 0));
            }
        });
        request(1, "segment", Bytes.NONE);
        assertEquals(8, of(effects, Effect.SendAttempt.class).size());
        assertEquals(Outcome.MOOT, of(events, AttemptEnded.class).get(0).outcome());
    }

    @Test
    void aFaultOfTheDecisionsFailsOneRequestAndNotTheRouter() {
        onArrival(r -> {
            throw new IllegalStateException("for the test");
        });
        request(1, "segment", Bytes.NONE);
        fetchOnArrival(0, 0);
        request(2, "segment", Bytes.NONE);
        take(answered(ask().attempt(), AnswerStatus.DATA, Bytes.NONE));
        pass(2 * SECOND);
        assertEquals(
                List.of(Code.SERVED, Code.FAILED),
                of(effects, Effect.Answer.class).stream()
                        .map(Effect.Answer::code)
                        .toList());
        assertEquals(1, counters.get(Counters.Name.FAULTS));
    }

    @Test
    void eventsOfTheCoordinatorAreTakenOnceAndInOrder() {
        String purge = "{\"index\":2,\"evict\":{\"ref\":\"7f3a\",\"unix_ms\":" + (START / MILLI - 250) + "}}";
        take(new Input.CoordinatorUpdate(purge));
        take(new Input.CoordinatorUpdate(purge));
        take(new Input.CoordinatorUpdate("{\"index\":3,\"evict\":{\"shard\":17,\"unix_ms\":" + START / MILLI + "}}"));
        assertEquals(List.of(new Purged("7f3a", -1, 250 * MILLI), new Purged(null, 17, 0)), events);
        assertEquals(3, reducer.lastUpdate());
    }

    @Test
    void anEventThatCannotBeReadIsSkipped() {
        take(new Input.CoordinatorUpdate("{\"index\":2,"));
        take(new Input.CoordinatorUpdate(
                NodeTestConfig.list(2, false, NodeTestConfig.member("s-9", "127.0.0.1:19", "box", "sleeping", 0))));
        assertTrue(events.isEmpty());
        assertEquals(2, counters.get(Counters.Name.BAD_INPUT));
    }

    @Test
    void aLineThatCannotBeReadCostsThatMembersNewsAloneAndNeitherTheOthersNorAPurge() {
        String s1 = NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0);
        String[] bad = {
            NodeTestConfig.member("p-1", "127.0.0.1:12", "box", "sleeping", 0),
            NodeTestConfig.member("p-1", "nowhere", "shield", "active", 0),
            NodeTestConfig.member("p-1", "127.0.0.1:12", "cupboard", "active", 0),
            "{\"instanceId\":7}",
            "{}"
        };
        long index = 2;
        int skipped = 0;
        for (String line : bad) {
            events.clear();
            effects.clear();
            String list = NodeTestConfig.list(index, true, line, s1);
            take(new Input.CoordinatorUpdate(list.substring(0, list.length() - 1) + ",\"evict\":{\"ref\":\"7f3a\",\"unix_ms\":"
                    + START / MILLI + "}}"));
            assertEquals(index++, reducer.lastUpdate());
            assertEquals(1, of(events, MemberListUpdate.class).size(), line);
            assertEquals(1, of(events, MemberListUpdate.class).get(0).members().size(), line);
            assertEquals(1, of(events, Purged.class).size(), line);
            boolean named = line.contains("p-1");
            assertEquals(
                    named,
                    of(effects, Effect.RetireConnections.class).stream()
                            .noneMatch(r -> r.instance().equals("p-1")),
                    "who is listed, if not readably, has not left: " + line);
            assertEquals(++skipped, counters.get(Counters.Name.BAD_INPUT));
            take(new Input.CoordinatorUpdate(NodeTestConfig.list(
                    index++, false, NodeTestConfig.member("p-1", "127.0.0.1:12", "shield", "active", 0))));
        }
    }

    @Test
    void aPurgeThatCannotBeReadCostsNoList() {
        take(new Input.CoordinatorUpdate(
                "{\"index\":2,\"evict\":{\"unix_ms\":\"soon\"},\"endpoints\":{\"generation\":1,\"reset\":false,"
                        + "\"instances\":[" + NodeTestConfig.member("s-7", "127.0.0.1:17", "box", "active", 0)
                        + "]}}"));
        assertEquals(1, of(events, MemberListUpdate.class).size());
        assertTrue(of(events, Purged.class).isEmpty());
        assertEquals(1, counters.get(Counters.Name.BAD_INPUT));
    }

    @Test
    void aMemberThatLeavesOrStartsAnewLosesItsOldConnections() {
        take(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2, false, NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", START / MILLI))));
        take(new Input.CoordinatorUpdate(NodeTestConfig.list(
                3,
                false,
                NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "left", START / MILLI),
                NodeTestConfig.member("s-2", "127.0.0.1:11", "box", "active", START / MILLI))));
        assertEquals(List.of(new Effect.DropConnections("s-1", START), new Effect.RetireConnections("s-1")), effects);
        MemberListUpdate last = of(events, MemberListUpdate.class).get(1);
        assertEquals(State.GONE, last.members().get(0).state());
        assertFalse(last.members().get(0).id() == last.members().get(1).id());
        fetchOnArrival(0, 0);
        onArrival(r -> act.accept(new Lookup(r.id(), Reducer.memberId("s-2"), 0)));
        request(1, "segment", Bytes.NONE);
        assertEquals("s-2", ask().instance());
    }

    @Test
    void whoIsMissingFromAWholeListLosesItsConnections() {
        take(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2,
                true,
                NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                NodeTestConfig.member("s-2", "127.0.0.1:12", "box", "active", 0))));
        assertEquals(List.of(new Effect.RetireConnections("p-1")), effects);
        assertTrue(reducer.ready());
        take(new Input.CoordinatorUpdate(NodeTestConfig.list(3, true)));
        assertFalse(reducer.ready(), "nobody is left");
    }

    @Test
    void askedToEndItTellsClientsAnswersWhatIsOpenAndThenGoes() {
        fetchOnArrival(0, 0);
        request(1, "segment", Bytes.NONE);
        take(new Input.Written(ask().attempt()));
        assertTrue(reducer.ready());
        take(new Input.Terminate());
        assertEquals(1, of(effects, Effect.DrainClients.class).size());
        assertFalse(reducer.ready());
        pass(300 * MILLI);
        request(2, "segment", Bytes.NONE);
        List<Effect.SendAttempt> asks = of(effects, Effect.SendAttempt.class);
        take(answered(asks.get(1).attempt(), AnswerStatus.DATA, Bytes.NONE));
        pass(600 * MILLI);
        assertTrue(of(effects, Effect.Exit.class).isEmpty(), "a request is still open");
        take(answered(asks.get(0).attempt(), AnswerStatus.DATA, Bytes.NONE));
        exitsOnceAllIsRead();
    }

    /** The last step: what has come is read first, and only when nothing was found is it over. */
    private void exitsOnceAllIsRead() {
        assertEquals(1, of(effects, Effect.CompleteClientReads.class).size());
        assertTrue(of(effects, Effect.Exit.class).isEmpty());
        take(new Input.ClientReadsCompleted());
        assertEquals(1, of(effects, Effect.Exit.class).size());
    }

    @Test
    void aRequestThatIsFoundWhenAllIsReadPutsTheEndOffUntilItIsAnswered() {
        fetchOnArrival(0, 0);
        take(new Input.Terminate());
        pass(800 * MILLI);
        assertEquals(1, of(effects, Effect.CompleteClientReads.class).size());
        request(1, "segment", Bytes.NONE);
        take(new Input.ClientReadsCompleted());
        assertTrue(of(effects, Effect.Exit.class).isEmpty(), "a request was found");
        int before = effects.size();
        take(answered(ask().attempt(), AnswerStatus.DATA, Bytes.NONE));
        effects.subList(0, before).clear();
        exitsOnceAllIsRead();
    }

    @Test
    void aRequestFoundWhenAllTimeIsUpIsRefusedAndNeverSent() {
        fetchOnArrival(0, 0);
        take(new Input.Terminate());
        pass(3_650 * MILLI);
        request(1, "segment", Bytes.NONE);
        assertTrue(of(effects, Effect.SendAttempt.class).isEmpty());
        assertEquals(Code.REFUSED, of(effects, Effect.Answer.class).get(0).code());
        take(new Input.ClientReadsCompleted());
        assertEquals(1, of(effects, Effect.Exit.class).size());
        request(2, "segment", Bytes.NONE);
        assertTrue(of(effects, Effect.SendAttempt.class).isEmpty(), "nothing is sent on after the end");
    }

    @Test
    void askedToEndWithNothingOpenItWaitsForRequestsOnTheirWay() {
        take(new Input.Terminate());
        pass(700 * MILLI);
        assertTrue(of(effects, Effect.Exit.class).isEmpty());
        pass(100 * MILLI);
        exitsOnceAllIsRead();
    }

    @Test
    void whatIsStillOpenShortlyBeforeTheKillFails() {
        take(new Input.Terminate());
        take(new Input.Request(1, 9, "a", "segment", "b", 0, 0, null, 60_000, false, Bytes.NONE));
        pass(3_650 * MILLI);
        assertEquals(Code.FAILED, of(effects, Effect.Answer.class).get(0).code());
        exitsOnceAllIsRead();
    }

    @Test
    void itIsNotReadyBeforeItHasCaughtUpWithTheCoordinator() throws Exception {
        start(1_000, false);
        take(new Input.CoordinatorUpdate(
                NodeTestConfig.list(2, false, NodeTestConfig.member("s-2", "127.0.0.1:13", "box", "active", 0))));
        assertFalse(reducer.ready(), "more may stand behind this event");
        take(new Input.CoordinatorHeartbeat());
        assertTrue(reducer.ready());
        assertEquals(Long.MAX_VALUE, reducer.nextDue());
        assertEquals(0, counters.get(Counters.Name.STARTED_UNSYNCED));
    }

    @Test
    void aCoordinatorThatStaysAwayKeepsItFromServingForFiveSecondsAtMost() throws Exception {
        start(1_000, false);
        pass(5 * SECOND - MILLI);
        assertFalse(reducer.ready());
        pass(MILLI);
        assertTrue(reducer.ready());
        assertEquals(1, counters.get(Counters.Name.STARTED_UNSYNCED));
    }

    @Test
    void aPurgeIsTakenForTheLaterOneWhereTheWallClockWasStepped() {
        for (long step : new long[] {-3_600 * SECOND, -5 * SECOND, 5 * SECOND, 3_600 * SECOND}) {
            events.clear();
            reducer.accept(
                    now,
                    now + step,
                    new Input.CoordinatorUpdate("{\"index\":" + (reducer.lastUpdate() + 1)
                            + ",\"evict\":{\"ref\":\"7f3a\",\"unix_ms\":" + (now - SECOND) / MILLI + "}}"),
                    effects::add);
            assertEquals(step < 0 ? 0 : SECOND, of(events, Purged.class).get(0).age(), "a step of " + step);
        }
    }

    @Test
    void aStartIsTakenForTheLaterOneWhereTheWallClockWasSteppedAndKeptWhenToldAgain() {
        String list = NodeTestConfig.list(
                2, false, NodeTestConfig.member("s-2", "127.0.0.1:13", "box", "active", (now - SECOND) / MILLI));
        reducer.accept(now, now - 3_600 * SECOND, new Input.CoordinatorUpdate(list), effects::add);
        assertEquals(
                now, of(events, MemberListUpdate.class).get(0).members().get(0).started());
        long first = now;
        now += 3 * SECOND;
        take(new Input.CoordinatorUpdate(list.replace("\"index\":2", "\"index\":3")));
        assertEquals(
                first, of(events, MemberListUpdate.class).get(1).members().get(0).started());
    }

    @Test
    void timersOfWhatHasEndedWakeNobody() {
        fetchOnArrival(0, 0);
        for (int i = 1; i <= 50; i++) {
            request(i, "segment", Bytes.NONE);
            take(new Input.Written(ask().attempt()));
            take(answered(ask().attempt(), AnswerStatus.DATA, Bytes.NONE));
        }
        assertEquals(Long.MAX_VALUE, reducer.nextDue());
    }

    @Test
    void anAttemptWithoutRoomAtTheMemberNeverRanAndTheMemberDidNotFail() {
        fetchOnArrival(0, 0);
        request(1, "segment", Bytes.NONE);
        take(new Input.NoConnectionAvailable(ask().attempt()));
        assertEquals(
                List.of(Outcome.FULL),
                of(events, AttemptEnded.class).stream()
                        .map(AttemptEnded::outcome)
                        .toList());
        assertTrue(Outcome.FULL.provesNotRun);
    }

    @Test
    void theIdOfAnOpenRequestForAnotherObjectIsNotPassedOn() {
        fetchOnArrival(0, 0);
        request(1, "segment", Bytes.NONE);
        effects.clear();
        take(new Input.Request(
                2, 1, "9b1f03aa5c7e2d41", "segment", "00000000000000ff", 0, 1, null, 1500, false, Bytes.NONE));
        assertEquals(
                List.of(new Effect.Answer(2, 1, Code.FAILED, false, 0, Bytes.NONE), new Effect.ReportProtocolError(2)), effects);
        take(new Input.RequestCancelled(1, 1));
        effects.clear();
        take(new Input.Request(
                2, 2, "9b1f03aa5c7e2d41", "segment", "00000000000000ff", 0, 1, null, 1500, false, Bytes.NONE));
        assertEquals(1, of(effects, Effect.SendAttempt.class).size(), "the id is free again");
    }

    @Test
    void anEventIsTakenOnceAndAGapIsAskedForOnce() {
        String left = NodeTestConfig.list(3, false, NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "left", 0));
        take(new Input.CoordinatorUpdate(left));
        assertEquals(List.of(new Effect.FollowCoordinator("127.0.0.1:2")), effects);
        assertEquals(1, reducer.lastUpdate());
        String two = NodeTestConfig.list(2, false, NodeTestConfig.member("s-2", "127.0.0.1:13", "box", "active", 0));
        take(new Input.CoordinatorUpdate(two));
        take(new Input.CoordinatorUpdate(two));
        take(new Input.CoordinatorUpdate(left));
        assertEquals(3, reducer.lastUpdate());
        assertEquals(2, of(events, MemberListUpdate.class).size());
        String far = NodeTestConfig.list(9, false);
        take(new Input.CoordinatorUpdate(far));
        take(new Input.CoordinatorUpdate(far));
        assertEquals(9, reducer.lastUpdate(), "what the coordinator does not have any more is not waited for");
    }

    @Test
    void aReloadFollowsTheNewCoordinatorAndNothingElse() throws Exception {
        String json = NodeTestConfig.json(
                "127.0.0.1:1",
                "127.0.0.1:3",
                1_000,
                NodeTestConfig.list(1, true, NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0)));
        take(new Input.Reload(null, null, "no such file"));
        take(new Input.Reload(
                NodeConfig.parse(json.replace("127.0.0.1:1\"", "127.0.0.1:9\"")), OperatorConfig.NONE, null));
        take(new Input.Reload(
                NodeConfig.parse(json.replace("\"max-open\":1000", "\"max-open\":9")), OperatorConfig.NONE, null));
        assertEquals(List.of(), effects);
        assertEquals(3, counters.get(Counters.Name.RELOADS_REFUSED));
        take(new Input.Reload(NodeConfig.parse(json), OperatorConfig.NONE, null));
        take(new Input.Reload(NodeConfig.parse(json), OperatorConfig.NONE, null));
        assertEquals(List.of(new Effect.FollowCoordinator("127.0.0.1:3")), effects);
        assertEquals(2, counters.get(Counters.Name.RELOADS));
        assertEquals(List.of(), of(events, MemberListUpdate.class));
    }

    private static final String OPERATOR =
            """
            hierarchy:
              news: %s
              lead-ms: 1000
              move-ms: 2000
              gap-ms: 1000
              shape:
                version: %d
                announced: 2025-12-01T08:00:00Z
                origin: o-1
                hubs: {p-1: {fill-from: {o-1: 1}}, p-2: {fill-from: {o-1: 1}}}
                depots: {here: {fill-from: {%s: 1}}}
            """;

    private OperatorConfig operator(String news, int version, String hub) throws Exception {
        Path file = Files.writeString(folder.resolve("operator.yaml"), OPERATOR.formatted(news, version, hub));
        return OperatorFile.read(file);
    }

    private void operate(OperatorConfig operator) {
        reducer = new Reducer(
                (time, event, sink) -> {
                    events.add(event);
                    act = sink::accept;
                },
                config.words(),
                limits,
                counters);
        reducer.applyOperatorConfig(now, operator, "here", "n0", 1);
        reducer.known(now, config, effects::add);
        take(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2,
                false,
                NodeTestConfig.member("p-2", "127.0.0.1:13", "shield", "active", 0),
                NodeTestConfig.member("o-1", "127.0.0.1:14", "store", "active", 0))));
    }

    /** The member that the last sources given name for this location; 0 where none are given. */
    private long lastGiven() {
        FillSourcesUpdate last = of(events, FillSourcesUpdate.class)
                .get(of(events, FillSourcesUpdate.class).size() - 1);
        return last.lists().isEmpty()
                ? 0
                : last.lists().get(FillSourcesUpdate.LOCATION).current().get(0).member();
    }

    @Test
    void theHierarchyOfTheOperatorReachesTheDecisionsAndAReloadMovesIt() throws Exception {
        now = START + 1_000 * SECOND;
        operate(operator("file", 1, "p-1"));
        assertEquals(PARENT, lastGiven());
        OperatorConfig next = operator("file", 2, "p-2");
        take(new Input.Reload(config, next, null));
        assertEquals(Reducer.memberId("p-2"), lastGiven(), "announced long ago, it acts at once");
        assertEquals("2", reducer.state().get("hierarchy-version"));
        assertEquals("moving", reducer.state().get("hierarchy-stage"));
        now += 10 * SECOND;
        take(new Input.TimerFired());
        assertEquals("1.000", reducer.state().get("hierarchy-share-moved"));
        take(new Input.Reload(config, operator("file", 1, "p-1"), null));
        take(new Input.Reload(config, operator("feed", 3, "p-1"), null));
        take(new Input.Reload(config, OperatorConfig.NONE, null));
        assertEquals(3, counters.get(Counters.Name.RELOADS_REFUSED));
        assertEquals("2", reducer.state().get("hierarchy-version"));
        assertEquals(Reducer.memberId("p-2"), lastGiven());
    }

    @Test
    void piecesOfTheHierarchyComeAsEventsAndTheirTimersAreKept() throws Exception {
        now = START + 1_000 * SECOND;
        operate(operator("feed", 1, "p-1"));
        long millis = now / MILLI;
        take(new Input.CoordinatorUpdate("{\"index\":3,\"shape\":{\"piece\":1,\"version\":2,\"announced_ms\":" + millis
                + ",\"unit\":\"here\",\"kind\":\"depot\",\"parents\":{\"p-2\":1}}}"));
        assertEquals(PARENT, lastGiven());
        now += 500 * MILLI;
        take(new Input.CoordinatorUpdate("{\"index\":4,\"shape\":{\"certain_ms\":" + (millis + 500) + ",\"piece\":1}}"));
        assertTrue(reducer.nextDue() <= now + 500 * MILLI, "it wants to be called when the piece acts");
        now += 500 * MILLI;
        take(new Input.TimerFired());
        assertEquals(Reducer.memberId("p-2"), lastGiven());
        now += 10 * SECOND;
        take(new Input.TimerFired());
        assertEquals(0, lastGiven(), "nothing was certain for long: the ordinary path decides");
        take(new Input.CoordinatorUpdate("{\"index\":5,\"shape\":{\"piece\":2,\"unit\":\"here\"}}"));
        assertEquals(1, counters.get(Counters.Name.BAD_INPUT));
    }

    @Test
    void withoutAnOperatorsFileNewsOfAHierarchyIsNoMatter() {
        take(new Input.CoordinatorUpdate("{\"index\":2,\"shape\":{\"certain_ms\":1,\"piece\":1}}"));
        assertEquals(Map.of(), reducer.state());
        assertEquals(List.of(), of(events, FillSourcesUpdate.class));
        assertEquals(2, reducer.lastUpdate());
    }

    @Test
    void theWayOfAFillIsHandedOnByName() {
        onArrival(
                r -> act.accept(new Fetch(r.id(), CACHE, PARENT, 2, 0, true, false, false, false, 0, List.of(PARENT))));
        request(1, "segment", new Counted());
        assertEquals(List.of("p-1"), of(effects, Effect.SendAttempt.class).get(0).fillPath());
    }
}
