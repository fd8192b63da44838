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
import pumicemoor.RefusalPolicy.Rejection;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fail;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.Refuse;
import pumicemoor.RouterApi.RequestAbandoned;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.SetTimer;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.node.Effect.Code;
import pumicemoor.node.Input.AnswerStatus;
import pumicemoor.operator.OperatorConfig;
import pumicemoor.operator.OperatorFile;

/** Tests the reducer input by input, with a decision module that the test scripts. */
class ReducerTest {

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long START_MICROS = 1_764_576_000 * MICROS_PER_SECOND;
    private static final long CACHE = Reducer.memberId("s-1");
    private static final long PARENT = Reducer.memberId("p-1");

    @TempDir
    Path folder;

    private final List<Event> events = new ArrayList<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Counters counters = new Counters();
    private Consumer<Event> onEvent = e -> {};
    private Consumer<Action> actions;
    private NodeConfig config;
    private ResourceLimits limits;
    private Reducer reducer;
    private long now = START_MICROS;

    @BeforeEach
    void start() throws Exception {
        start(1_000);
    }

    private void start(int maxOpen) throws Exception {
        start(maxOpen, true);
    }

    private void start(int maxOpen, boolean synced) throws Exception {
        config = NodeTestConfig.parse(NodeTestConfig.json(
                "127.0.0.1:1",
                "127.0.0.1:2",
                maxOpen,
                NodeTestConfig.list(
                        1,
                        true,
                        NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                        NodeTestConfig.member("p-1", "127.0.0.1:12", "shield", "active", 0))));
        limits = ResourceLimits.of(config.settingsReader().settings(), config.resources());
        RouterApi scripted = (time, event, sink) -> {
            events.add(event);
            actions = sink::accept;
            onEvent.accept(event);
        };
        reducer = new Reducer(scripted, config.settingsReader(), limits, counters);
        reducer.applyInitialUpdates(now, config, effects::add);
        assertFalse(reducer.ready(), "the coordinator has sent nothing yet");
        if (synced) {
            accept(new Input.CoordinatorHeartbeat());
        }
        events.clear();
        effects.clear();
    }

    /** A body that exposes its reference count. */
    private static final class CountedBody implements Bytes {
        private int references = 1;

        @Override
        public int size() {
            return 10;
        }

        @Override
        public Bytes retain() {
            references++;
            return this;
        }

        @Override
        public void release() {
            references--;
        }
    }

    private void accept(Input input) {
        reducer.accept(now, input, effects::add);
    }

    /** Advances the time and fires the timers that are due. */
    private void advance(long micros) {
        long end = now + micros;
        while (reducer.nextDue() <= end) {
            now = Math.max(now, reducer.nextDue());
            accept(new Input.TimerFired());
        }
        now = end;
    }

    private void sendRequest(int stream, String requestClass, Bytes body) {
        accept(new Input.Request(
                1, stream, "9b1f03aa5c7e2d41", requestClass, "7f3a9c21e0b4d655", 3, 17, "4be0", 1500, false, body));
    }

    private <T> List<T> ofType(List<?> items, Class<T> type) {
        return items.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Effect.SendAttempt lastSent() {
        List<Effect.SendAttempt> sentAttempts = ofType(effects, Effect.SendAttempt.class);
        return sentAttempts.get(sentAttempts.size() - 1);
    }

    private void onArrivedRequest(Consumer<RequestArrived> action) {
        onEvent = e -> {
            if (e instanceof RequestArrived r) {
                action.accept(r);
            }
        };
    }

    private void fetchOnArrivedRequest(long maxAge, long timeout) {
        onArrivedRequest(
                r -> actions.accept(new Fetch(r.id(), CACHE, PARENT, 2, maxAge, true, false, false, false, timeout)));
    }

    private static Input.AttemptAnswered answer(long attempt, AnswerStatus status, Bytes body) {
        return new Input.AttemptAnswered(attempt, status, "parent", Map.of("inflight", 7.0), body);
    }

    @Test
    void theFirstOkAnswerGoesToTheClientAndClosesTheRequest() {
        fetchOnArrivedRequest(0, 0);
        CountedBody requestBody = new CountedBody();
        sendRequest(5, "segment", requestBody);
        Effect.SendAttempt sent = lastSent();
        assertEquals("s-1", sent.instance());
        assertEquals("127.0.0.1:11", sent.address());
        assertEquals("p-1", sent.source());
        assertEquals("9b1f03aa5c7e2d41", sent.id());
        assertEquals("7f3a9c21e0b4d655", sent.object());
        assertEquals(1500, sent.timeoutMillis());
        assertEquals("4be0", sent.clientCopyVersion());
        accept(new Input.AttemptWritten(sent.attempt()));
        CountedBody body = new CountedBody();
        now += 90 * MICROS_PER_MILLI;
        accept(answer(sent.attempt(), AnswerStatus.DATA, body));
        Effect.Answer answer = ofType(effects, Effect.Answer.class).get(0);
        assertEquals(new Effect.Answer(1, 5, Code.SERVED, false, 0, body), answer);
        assertEquals(1, body.references, "the effect holds the only reference");
        sent.body().release();
        assertEquals(0, requestBody.references);
        AttemptEnded end = ofType(events, AttemptEnded.class).get(0);
        assertEquals(Outcome.OK, end.outcome());
        assertTrue(end.closed());
        assertEquals(FillResult.FILLED, end.fillResult());
        assertEquals(90 * MICROS_PER_MILLI, end.latency());
        assertEquals(Map.of("inflight", 7.0), end.load());
        advance(5 * MICROS_PER_SECOND);
        assertEquals(1, ofType(effects, Effect.Answer.class).size());
        assertEquals(0, reducer.openRequests());
    }

    @Test
    void anUnchangedCopyIsReportedAsUnchanged() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(5, "segment", Bytes.NONE);
        accept(answer(lastSent().attempt(), AnswerStatus.UNCHANGED, Bytes.NONE));
        assertTrue(ofType(effects, Effect.Answer.class).get(0).unchanged());
    }

    @Test
    void aLookupNamesNoSource() {
        onArrivedRequest(r -> actions.accept(new Lookup(r.id(), CACHE, 0)));
        sendRequest(5, "segment", Bytes.NONE);
        assertNull(lastSent().source());
        assertEquals(0, lastSent().maxAgeMillis());
    }

    @Test
    void maxAgeRoundsDownToMillisecondsButNeverToUnbounded() {
        for (long[] pair :
                new long[][] {{0, 0}, {1, 1}, {999, 1}, {1_999, 1}, {2_000, 2}, {6 * MICROS_PER_SECOND, 6_000}}) {
            fetchOnArrivedRequest(pair[0], 0);
            sendRequest(5, "segment", Bytes.NONE);
            assertEquals(pair[1], lastSent().maxAgeMillis(), "for " + pair[0]);
            accept(answer(lastSent().attempt(), AnswerStatus.DATA, Bytes.NONE));
        }
    }

    @Test
    void eachAnswerStatusMapsToItsOutcome() {
        Map<AnswerStatus, Outcome> expected = Map.of(
                AnswerStatus.ABSENT,
                Outcome.MISS,
                AnswerStatus.FULL,
                Outcome.FULL,
                AnswerStatus.FAILED,
                Outcome.ERROR,
                AnswerStatus.MOOT,
                Outcome.MOOT);
        expected.forEach((status, outcome) -> {
            events.clear();
            fetchOnArrivedRequest(0, 0);
            sendRequest(status.ordinal() + 1, "segment", Bytes.NONE);
            CountedBody body = new CountedBody();
            accept(answer(lastSent().attempt(), status, body));
            assertEquals(outcome, ofType(events, AttemptEnded.class).get(0).outcome());
            assertFalse(ofType(events, AttemptEnded.class).get(0).closed());
            assertEquals(0, body.references, "a body that is not passed on is released");
        });
    }

    @Test
    void anUnwrittenAttemptNeverRanAndOneWithALostConnectionMayHave() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        accept(new Input.AttemptNeverSent(lastSent().attempt()));
        sendRequest(2, "segment", Bytes.NONE);
        accept(new Input.AttemptWritten(lastSent().attempt()));
        accept(new Input.ConnectionLost(lastSent().attempt()));
        List<Outcome> outcomes = ofType(events, AttemptEnded.class).stream()
                .map(AttemptEnded::outcome)
                .toList();
        assertEquals(List.of(Outcome.CONNECT_FAILED, Outcome.RESET), outcomes);
    }

    @Test
    void anUnwrittenAttemptIsAbandonedBeforeADrainOrPurgeAppliesToIt() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        long attempt = lastSent().attempt();
        advance(limits.writeTimeout());
        assertEquals(
                attempt, ofType(effects, Effect.AbandonAttempt.class).get(0).attempt());
        assertEquals(
                Outcome.CONNECT_FAILED,
                ofType(events, AttemptEnded.class).get(0).outcome());
        assertTrue(limits.writeTimeout()
                < config.settingsReader().settings().rules().purgeGrace());
        assertTrue(limits.writeTimeout()
                < config.settingsReader().settings().rules().drainGrace());
    }

    @Test
    void aWrittenAttemptIsAbandonedOnlyAtItsTimeout() {
        fetchOnArrivedRequest(0, 700 * MICROS_PER_MILLI);
        sendRequest(1, "segment", Bytes.NONE);
        accept(new Input.AttemptWritten(lastSent().attempt()));
        assertEquals(700, lastSent().timeoutMillis());
        advance(699 * MICROS_PER_MILLI);
        assertTrue(ofType(events, AttemptEnded.class).isEmpty());
        advance(2 * MICROS_PER_MILLI);
        assertEquals(Outcome.TIMEOUT, ofType(events, AttemptEnded.class).get(0).outcome());
        assertEquals(1, ofType(effects, Effect.AbandonAttempt.class).size());
    }

    @Test
    void aLateAnswerIsNotTakenForALaterAttempt() {
        fetchOnArrivedRequest(0, 700 * MICROS_PER_MILLI);
        sendRequest(1, "segment", Bytes.NONE);
        long first = lastSent().attempt();
        accept(new Input.AttemptWritten(first));
        onEvent = e -> {
            if (e instanceof AttemptEnded end && !end.closed()) {
                actions.accept(new Fetch(end.id(), CACHE, PARENT, 0, 0, false, false, false, false, 0));
            }
        };
        advance(701 * MICROS_PER_MILLI);
        long second = lastSent().attempt();
        assertFalse(first == second);
        CountedBody late = new CountedBody();
        accept(answer(first, AnswerStatus.DATA, late));
        assertEquals(0, late.references);
        assertTrue(ofType(effects, Effect.Answer.class).isEmpty());
        accept(answer(second, AnswerStatus.DATA, Bytes.NONE));
        assertEquals(1, ofType(effects, Effect.Answer.class).size());
    }

    @Test
    void theDeadlineEndsTheAttemptAndTheDecisionModuleMayStillAnswer() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "order", Bytes.NONE);
        accept(new Input.AttemptWritten(lastSent().attempt()));
        Consumer<Event> failRequest = e -> {
            if (e instanceof AttemptEnded end) {
                assertFalse(end.closed());
                actions.accept(new Fail(end.id()));
            }
        };
        onEvent = failRequest;
        advance(1_499 * MICROS_PER_MILLI);
        assertTrue(ofType(effects, Effect.Answer.class).isEmpty());
        advance(2 * MICROS_PER_MILLI);
        assertEquals(Code.FAILED, ofType(effects, Effect.Answer.class).get(0).code());
    }

    @Test
    void aRequestWithoutADecisionFailsWithinTheSlackAndIsAnsweredOnce() {
        sendRequest(1, "segment", Bytes.NONE);
        advance(1_500 * MICROS_PER_MILLI + 28 * MICROS_PER_MILLI);
        List<Effect.Answer> answers = ofType(effects, Effect.Answer.class);
        assertEquals(1, answers.size());
        assertEquals(Code.FAILED, answers.get(0).code());
        RequestArrived arrived = ofType(events, RequestArrived.class).get(0);
        assertEquals(List.of(new RequestAbandoned(arrived.id())), ofType(events, RequestAbandoned.class));
        actions.accept(new Refuse(arrived.id(), 0));
        assertEquals(1, ofType(effects, Effect.Answer.class).size());
    }

    @Test
    void theRetryDelayOfARefusalRoundsUpToMilliseconds() {
        onArrivedRequest(r -> actions.accept(new Refuse(r.id(), 200_001)));
        sendRequest(1, "segment", Bytes.NONE);
        assertEquals(
                new Effect.Answer(1, 1, Code.REFUSED, false, 201, Bytes.NONE),
                ofType(effects, Effect.Answer.class).get(0));
    }

    @Test
    void aCancelledRequestGetsNoAnswer() {
        fetchOnArrivedRequest(0, 0);
        CountedBody requestBody = new CountedBody();
        sendRequest(1, "segment", requestBody);
        Effect.SendAttempt sent = lastSent();
        accept(new Input.RequestCancelled(1, 1));
        assertEquals(1, ofType(events, RequestAbandoned.class).size());
        CountedBody lateBody = new CountedBody();
        accept(answer(sent.attempt(), AnswerStatus.DATA, lateBody));
        assertEquals(0, lateBody.references);
        sent.body().release();
        assertEquals(0, requestBody.references);
        accept(new Input.RequestCancelled(1, 1));
        advance(5 * MICROS_PER_SECOND);
        assertTrue(ofType(effects, Effect.Answer.class).isEmpty());
        assertEquals(1, ofType(events, RequestAbandoned.class).size());
    }

    @Test
    void aClosedConnectionCancelsAllItsRequestsAndNoOthers() {
        sendRequest(1, "segment", Bytes.NONE);
        sendRequest(2, "segment", Bytes.NONE);
        accept(new Input.Request(2, 1, "a", "segment", "b", 0, 0, null, 1500, false, Bytes.NONE));
        accept(new Input.ClientClosed(1));
        assertEquals(2, ofType(events, RequestAbandoned.class).size());
        assertEquals(1, reducer.openRequests());
    }

    @Test
    void aCancellationReachesTheCacheAndEndsTheAttempt() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        String id = ofType(events, RequestArrived.class).get(0).id();
        onEvent = e -> {
            if (e instanceof TimerDue) {
                actions.accept(new Cancel(id, 0));
            }
        };
        actions.accept(new SetTimer(10 * MICROS_PER_MILLI, 77));
        accept(new Input.AttemptWritten(lastSent().attempt()));
        advance(11 * MICROS_PER_MILLI);
        assertEquals(
                List.of(new Effect.AbandonAttempt(lastSent().attempt(), true)),
                ofType(effects, Effect.AbandonAttempt.class));
        assertEquals(
                Outcome.CANCELLED, ofType(events, AttemptEnded.class).get(0).outcome());
        assertEquals(new TimerDue(77), ofType(events, TimerDue.class).get(0));
    }

    @Test
    void requestsBeyondTheBoundAreRefusedWithoutADecision() throws Exception {
        start(2);
        sendRequest(1, "segment", Bytes.NONE);
        sendRequest(2, "segment", Bytes.NONE);
        CountedBody third = new CountedBody();
        sendRequest(3, "segment", third);
        assertEquals(Code.REFUSED, ofType(effects, Effect.Answer.class).get(0).code());
        assertEquals(0, third.references);
        assertEquals(2, ofType(events, RequestArrived.class).size());
        accept(new Input.RequestCancelled(1, 1));
        sendRequest(4, "segment", Bytes.NONE);
        assertEquals(3, ofType(events, RequestArrived.class).size());
    }

    @Test
    void aRequestOfAnUnknownClassFailsAtOnce() {
        sendRequest(1, "nonsense", Bytes.NONE);
        assertEquals(Code.FAILED, ofType(effects, Effect.Answer.class).get(0).code());
        assertTrue(ofType(events, RequestArrived.class).isEmpty());
    }

    @Test
    void attemptsBeyondTheMaximumAreMootAndNotSent() {
        onArrivedRequest(r -> {
            for (int i = 0; i < 9; i++) {
                actions.accept(new Lookup(r.id(), CACHE, 0));
            }
        });
        sendRequest(1, "segment", Bytes.NONE);
        assertEquals(8, ofType(effects, Effect.SendAttempt.class).size());
        assertEquals(Outcome.MOOT, ofType(events, AttemptEnded.class).get(0).outcome());
    }

    @Test
    void anExceptionOfTheDecisionModuleFailsOnlyItsRequest() {
        onArrivedRequest(r -> {
            throw new IllegalStateException("for the test");
        });
        sendRequest(1, "segment", Bytes.NONE);
        fetchOnArrivedRequest(0, 0);
        sendRequest(2, "segment", Bytes.NONE);
        accept(answer(lastSent().attempt(), AnswerStatus.DATA, Bytes.NONE));
        advance(2 * MICROS_PER_SECOND);
        assertEquals(
                List.of(Code.SERVED, Code.FAILED),
                ofType(effects, Effect.Answer.class).stream()
                        .map(Effect.Answer::code)
                        .toList());
        assertEquals(1, counters.get(Counters.Name.FAULTS));
    }

    @Test
    void eventsOfTheCoordinatorAreAppliedOnceAndInOrder() {
        String purge = "{\"index\":2,\"evict\":{\"ref\":\"7f3a\",\"unix_ms\":" + (START_MICROS / MICROS_PER_MILLI - 250)
                + "}}";
        accept(new Input.CoordinatorUpdate(purge));
        accept(new Input.CoordinatorUpdate(purge));
        accept(new Input.CoordinatorUpdate(
                "{\"index\":3,\"evict\":{\"shard\":17,\"unix_ms\":" + START_MICROS / MICROS_PER_MILLI + "}}"));
        assertEquals(List.of(new Purged("7f3a", -1, 250 * MICROS_PER_MILLI), new Purged(null, 17, 0)), events);
        assertEquals(3, reducer.lastEventIndex());
    }

    @Test
    void anUnreadableEventIsSkipped() {
        accept(new Input.CoordinatorUpdate("{\"index\":2,"));
        accept(new Input.CoordinatorUpdate(
                NodeTestConfig.list(2, false, NodeTestConfig.member("s-9", "127.0.0.1:19", "box", "sleeping", 0))));
        assertTrue(events.isEmpty());
        assertEquals(2, counters.get(Counters.Name.BAD_INPUT));
    }

    @Test
    void anUnreadableListEntryAffectsNeitherOtherMembersNorAPurge() {
        String s1 = NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0);
        String[] unreadableEntries = {
            NodeTestConfig.member("p-1", "127.0.0.1:12", "box", "sleeping", 0),
            NodeTestConfig.member("p-1", "nowhere", "shield", "active", 0),
            NodeTestConfig.member("p-1", "127.0.0.1:12", "cupboard", "active", 0),
            "{\"instanceId\":7}",
            "{}"
        };
        long index = 2;
        int skipped = 0;
        for (String entry : unreadableEntries) {
            events.clear();
            effects.clear();
            String list = NodeTestConfig.list(index, true, entry, s1);
            accept(new Input.CoordinatorUpdate(list.substring(0, list.length() - 1)
                    + ",\"evict\":{\"ref\":\"7f3a\",\"unix_ms\":" + START_MICROS / MICROS_PER_MILLI + "}}"));
            assertEquals(index++, reducer.lastEventIndex());
            assertEquals(1, ofType(events, MemberListUpdate.class).size(), entry);
            assertEquals(
                    1, ofType(events, MemberListUpdate.class).get(0).members().size(), entry);
            assertEquals(1, ofType(events, Purged.class).size(), entry);
            boolean namesTheMember = entry.contains("p-1");
            assertEquals(
                    namesTheMember,
                    ofType(effects, Effect.RetireConnections.class).stream()
                            .noneMatch(r -> r.instance().equals("p-1")),
                    "an unreadable entry of a member does not mean that it left: " + entry);
            assertEquals(++skipped, counters.get(Counters.Name.BAD_INPUT));
            accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                    index++, false, NodeTestConfig.member("p-1", "127.0.0.1:12", "shield", "active", 0))));
        }
    }

    @Test
    void anUnreadablePurgeDoesNotAffectTheMemberList() {
        accept(new Input.CoordinatorUpdate(
                "{\"index\":2,\"evict\":{\"unix_ms\":\"soon\"},\"endpoints\":{\"generation\":1,\"reset\":false,"
                        + "\"instances\":[" + NodeTestConfig.member("s-7", "127.0.0.1:17", "box", "active", 0)
                        + "]}}"));
        assertEquals(1, ofType(events, MemberListUpdate.class).size());
        assertTrue(ofType(events, Purged.class).isEmpty());
        assertEquals(1, counters.get(Counters.Name.BAD_INPUT));
    }

    @Test
    void aMemberThatLeavesOrRestartsLosesItsOldConnections() {
        accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2,
                false,
                NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", START_MICROS / MICROS_PER_MILLI))));
        accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                3,
                false,
                NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "left", START_MICROS / MICROS_PER_MILLI),
                NodeTestConfig.member("s-2", "127.0.0.1:11", "box", "active", START_MICROS / MICROS_PER_MILLI))));
        assertEquals(
                List.of(new Effect.DropConnections("s-1", START_MICROS), new Effect.RetireConnections("s-1")), effects);
        MemberListUpdate last = ofType(events, MemberListUpdate.class).get(1);
        assertEquals(State.GONE, last.members().get(0).state());
        assertFalse(last.members().get(0).id() == last.members().get(1).id());
        fetchOnArrivedRequest(0, 0);
        onArrivedRequest(r -> actions.accept(new Lookup(r.id(), Reducer.memberId("s-2"), 0)));
        sendRequest(1, "segment", Bytes.NONE);
        assertEquals("s-2", lastSent().instance());
    }

    /** Guards against a new process at the address of one that has gone that is taken for the old one. */
    @Test
    void aMemberWhoseAddressBelongsToALaterOneIsGone() {
        accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2,
                false,
                NodeTestConfig.member("s-2", "127.0.0.1:11", "box", "active", START_MICROS / MICROS_PER_MILLI))));
        assertEquals(List.of(new Effect.RetireConnections("s-1")), effects);
        List<RouterApi.Member> members =
                ofType(events, MemberListUpdate.class).get(0).members();
        assertEquals(
                List.of(Reducer.memberId("s-2"), CACHE),
                members.stream().map(RouterApi.Member::id).toList());
        assertEquals(State.GONE, members.get(1).state());
        assertEquals(1, counters.get(Counters.Name.MEMBERS_REPLACED));
    }

    /** Guards against connections that stay with the address of a member that has moved. */
    @Test
    void aMemberWithANewAddressGetsNewConnections() {
        accept(new Input.CoordinatorUpdate(
                NodeTestConfig.list(2, false, NodeTestConfig.member("s-1", "127.0.0.1:13", "box", "active", 0))));
        assertEquals(List.of(new Effect.RetireConnections("s-1")), effects);
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        assertEquals("127.0.0.1:13", lastSent().address());
    }

    @Test
    void aMemberMissingFromASnapshotLosesItsConnections() {
        accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2,
                true,
                NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                NodeTestConfig.member("s-2", "127.0.0.1:12", "box", "active", 0))));
        assertEquals(List.of(new Effect.RetireConnections("p-1")), effects);
        assertTrue(reducer.ready());
        accept(new Input.CoordinatorUpdate(NodeTestConfig.list(3, true)));
        assertFalse(reducer.ready(), "no member is left");
    }

    @Test
    void terminationDrainsClientsAndAnswersOpenRequestsBeforeTheExit() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        accept(new Input.AttemptWritten(lastSent().attempt()));
        assertTrue(reducer.ready());
        accept(new Input.Terminate());
        assertEquals(1, ofType(effects, Effect.DrainClients.class).size());
        assertFalse(reducer.ready());
        advance(300 * MICROS_PER_MILLI);
        sendRequest(2, "segment", Bytes.NONE);
        List<Effect.SendAttempt> sentAttempts = ofType(effects, Effect.SendAttempt.class);
        accept(answer(sentAttempts.get(1).attempt(), AnswerStatus.DATA, Bytes.NONE));
        advance(600 * MICROS_PER_MILLI);
        assertTrue(ofType(effects, Effect.Exit.class).isEmpty(), "a request is still open");
        accept(answer(sentAttempts.get(0).attempt(), AnswerStatus.DATA, Bytes.NONE));
        assertExitsAfterTheFinalRead();
    }

    /** Checks the last step: the final read comes first, and the router exits only if that finds no request. */
    private void assertExitsAfterTheFinalRead() {
        assertEquals(1, ofType(effects, Effect.CompleteClientReads.class).size());
        assertTrue(ofType(effects, Effect.Exit.class).isEmpty());
        accept(new Input.ClientReadsCompleted());
        assertEquals(1, ofType(effects, Effect.Exit.class).size());
    }

    @Test
    void aRequestFoundByTheFinalReadDelaysTheExitUntilItIsAnswered() {
        fetchOnArrivedRequest(0, 0);
        accept(new Input.Terminate());
        advance(800 * MICROS_PER_MILLI);
        assertEquals(1, ofType(effects, Effect.CompleteClientReads.class).size());
        sendRequest(1, "segment", Bytes.NONE);
        accept(new Input.ClientReadsCompleted());
        assertTrue(ofType(effects, Effect.Exit.class).isEmpty(), "the final read found a request");
        int before = effects.size();
        accept(answer(lastSent().attempt(), AnswerStatus.DATA, Bytes.NONE));
        effects.subList(0, before).clear();
        assertExitsAfterTheFinalRead();
    }

    @Test
    void aRequestPastTheExitDeadlineIsRefusedAndNeverSent() {
        fetchOnArrivedRequest(0, 0);
        accept(new Input.Terminate());
        advance(3_650 * MICROS_PER_MILLI);
        sendRequest(1, "segment", Bytes.NONE);
        assertTrue(ofType(effects, Effect.SendAttempt.class).isEmpty());
        assertEquals(Code.REFUSED, ofType(effects, Effect.Answer.class).get(0).code());
        accept(new Input.ClientReadsCompleted());
        assertEquals(1, ofType(effects, Effect.Exit.class).size());
        sendRequest(2, "segment", Bytes.NONE);
        assertTrue(ofType(effects, Effect.SendAttempt.class).isEmpty(), "no attempt is sent after the exit");
    }

    @Test
    void terminationWithoutOpenRequestsWaitsForRequestsInFlight() {
        accept(new Input.Terminate());
        advance(700 * MICROS_PER_MILLI);
        assertTrue(ofType(effects, Effect.Exit.class).isEmpty());
        advance(100 * MICROS_PER_MILLI);
        assertExitsAfterTheFinalRead();
    }

    @Test
    void requestsStillOpenShortlyBeforeTheKillFail() {
        accept(new Input.Terminate());
        accept(new Input.Request(1, 9, "a", "segment", "b", 0, 0, null, 60_000, false, Bytes.NONE));
        advance(3_650 * MICROS_PER_MILLI);
        assertEquals(Code.FAILED, ofType(effects, Effect.Answer.class).get(0).code());
        assertExitsAfterTheFinalRead();
    }

    @Test
    void theRouterIsNotReadyBeforeItHasCaughtUpWithTheCoordinator() throws Exception {
        start(1_000, false);
        accept(new Input.CoordinatorUpdate(
                NodeTestConfig.list(2, false, NodeTestConfig.member("s-2", "127.0.0.1:13", "box", "active", 0))));
        assertFalse(reducer.ready(), "more events may follow this one");
        accept(new Input.CoordinatorHeartbeat());
        assertTrue(reducer.ready());
        assertEquals(Long.MAX_VALUE, reducer.nextDue());
        assertEquals(0, counters.get(Counters.Name.STARTED_UNSYNCED));
    }

    @Test
    void withoutACoordinatorTheRouterIsReadyAfterFiveSeconds() throws Exception {
        start(1_000, false);
        advance(5 * MICROS_PER_SECOND - MICROS_PER_MILLI);
        assertFalse(reducer.ready());
        advance(MICROS_PER_MILLI);
        assertTrue(reducer.ready());
        assertEquals(1, counters.get(Counters.Name.STARTED_UNSYNCED));
    }

    @Test
    void aPurgeGetsTheSmallerAgeIfTheWallClockWasStepped() {
        for (long step : new long[] {
            -3_600 * MICROS_PER_SECOND, -5 * MICROS_PER_SECOND, 5 * MICROS_PER_SECOND, 3_600 * MICROS_PER_SECOND
        }) {
            events.clear();
            reducer.accept(
                    now,
                    now + step,
                    new Input.CoordinatorUpdate(
                            "{\"index\":" + (reducer.lastEventIndex() + 1) + ",\"evict\":{\"ref\":\"7f3a\",\"unix_ms\":"
                                    + (now - MICROS_PER_SECOND) / MICROS_PER_MILLI + "}}"),
                    effects::add);
            assertEquals(
                    step < 0 ? 0 : MICROS_PER_SECOND,
                    ofType(events, Purged.class).get(0).age(),
                    "a step of " + step);
        }
    }

    @Test
    void aStartTimeIsTheLaterOneIfTheWallClockWasSteppedAndStaysWhenReportedAgain() {
        String list = NodeTestConfig.list(
                2,
                false,
                NodeTestConfig.member(
                        "s-2", "127.0.0.1:13", "box", "active", (now - MICROS_PER_SECOND) / MICROS_PER_MILLI));
        reducer.accept(now, now - 3_600 * MICROS_PER_SECOND, new Input.CoordinatorUpdate(list), effects::add);
        assertEquals(
                now,
                ofType(events, MemberListUpdate.class).get(0).members().get(0).startedAt());
        long firstReportAt = now;
        now += 3 * MICROS_PER_SECOND;
        accept(new Input.CoordinatorUpdate(list.replace("\"index\":2", "\"index\":3")));
        assertEquals(
                firstReportAt,
                ofType(events, MemberListUpdate.class).get(1).members().get(0).startedAt());
    }

    @Test
    void timersOfEndedAttemptsDoNotWakeTheRouter() {
        fetchOnArrivedRequest(0, 0);
        for (int i = 1; i <= 50; i++) {
            sendRequest(i, "segment", Bytes.NONE);
            accept(new Input.AttemptWritten(lastSent().attempt()));
            accept(answer(lastSent().attempt(), AnswerStatus.DATA, Bytes.NONE));
        }
        assertEquals(Long.MAX_VALUE, reducer.nextDue());
    }

    /** Guards against timers of withdrawn requests that fill the memory until they are due. */
    @Test
    void withdrawnRequestsLeaveNoTimers() {
        fetchOnArrivedRequest(0, 0);
        Consumer<Event> fetch = onEvent;
        onEvent = e -> {
            fetch.accept(e);
            if (e instanceof RequestAbandoned abandoned) {
                actions.accept(new Cancel(abandoned.id(), 0));
            }
        };
        int before = reducer.pendingTimers();
        for (int i = 1; i <= 50; i++) {
            sendRequest(i, "segment", Bytes.NONE);
            accept(new Input.RequestCancelled(1, i));
        }
        assertEquals(before, reducer.pendingTimers());
    }

    @Test
    void anAttemptWithoutAFreeConnectionNeverRanAndIsNoFailureOfTheMember() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        accept(new Input.NoConnectionAvailable(lastSent().attempt()));
        assertEquals(
                List.of(Outcome.FULL),
                ofType(events, AttemptEnded.class).stream()
                        .map(AttemptEnded::outcome)
                        .toList());
        assertTrue(Outcome.FULL.provesNotRun);
    }

    @Test
    void aRequestWithTheIdOfAnOpenRequestForAnotherObjectFails() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "segment", Bytes.NONE);
        effects.clear();
        accept(new Input.Request(
                2, 1, "9b1f03aa5c7e2d41", "segment", "00000000000000ff", 0, 1, null, 1500, false, Bytes.NONE));
        assertEquals(
                List.of(new Effect.Answer(2, 1, Code.FAILED, false, 0, Bytes.NONE), new Effect.ReportProtocolError(2)),
                effects);
        accept(new Input.RequestCancelled(1, 1));
        effects.clear();
        accept(new Input.Request(
                2, 2, "9b1f03aa5c7e2d41", "segment", "00000000000000ff", 0, 1, null, 1500, false, Bytes.NONE));
        assertEquals(1, ofType(effects, Effect.SendAttempt.class).size(), "the id may be used again");
    }

    /** Guards against an unsafe request that runs twice: its id comes again after its client has left. */
    @Test
    void anUnsafeRequestIsNotSentAgainUnderAnIdThatMayHaveRun() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "order", Bytes.NONE);
        accept(new Input.AttemptWritten(lastSent().attempt()));
        accept(new Input.ClientClosed(1));
        effects.clear();
        sendRequest(2, "order", Bytes.NONE);
        assertEquals(
                List.of(new Effect.Answer(1, 2, Code.FAILED, false, 0, Bytes.NONE), new Effect.ReportProtocolError(1)),
                effects);
        assertEquals(1, counters.get(Counters.Name.REPEATED_IDS));
        advance(limits.executedIdRetention() + 2 * MICROS_PER_SECOND); // the time runs from the end of the attempt
        effects.clear();
        sendRequest(3, "order", Bytes.NONE);
        assertEquals(1, ofType(effects, Effect.SendAttempt.class).size());
    }

    /** Guards against an unsafe request that runs twice: its id comes again in capital digits. */
    @Test
    void anIdIsTheSameInCapitalDigits() {
        fetchOnArrivedRequest(0, 0);
        assertFailsInCapitalDigits(1); // while it is open
        accept(new Input.ClientClosed(1));
        assertFailsInCapitalDigits(3); // it may have run
        assertFalse(rejected("9B1F03AA5C7E2D41", "order", false).refused());
    }

    private void assertFailsInCapitalDigits(int stream) {
        sendRequest(stream, "order", Bytes.NONE);
        effects.clear();
        accept(new Input.Request(
                2, stream, "9B1F03AA5C7E2D41", "order", "7f3a9c21e0b4d655", 3, 17, null, 1500, false, Bytes.NONE));
        assertEquals(Code.FAILED, ofType(effects, Effect.Answer.class).get(0).code());
    }

    /** Guards against an unsafe request that runs twice: two requests are open under one id. */
    @Test
    void anUnsafeRequestIsNotSentWhileItsIdIsOpen() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "order", Bytes.NONE);
        effects.clear();
        sendRequest(2, "order", Bytes.NONE);
        assertEquals(Code.FAILED, ofType(effects, Effect.Answer.class).get(0).code());
        assertTrue(ofType(effects, Effect.SendAttempt.class).isEmpty());
    }

    /** Guards against a memory of ids that refuses more than it must: an attempt that never ran does not count. */
    @Test
    void anUnsafeRequestIsSentAgainUnderAnIdThatNeverRan() {
        onEvent = e -> {
            if (e instanceof RequestArrived r) {
                actions.accept(new Fetch(r.id(), CACHE, PARENT, 0, 0, false, false, false, false, 0));
            } else if (e instanceof AttemptEnded end && !end.closed()) {
                actions.accept(new Refuse(end.id(), 0));
            }
        };
        sendRequest(1, "order", Bytes.NONE);
        accept(new Input.AttemptNeverSent(lastSent().attempt()));
        assertEquals(Code.REFUSED, ofType(effects, Effect.Answer.class).get(0).code());
        effects.clear();
        sendRequest(2, "order", Bytes.NONE);
        assertEquals(1, ofType(effects, Effect.SendAttempt.class).size());
    }

    /** Guards against a refusal over a limit of a request whose client has tried it before: who knows what became of it. */
    @Test
    void aMarkedRetryFailsOverTheBoundAndPastTheExitDeadlineUnlessItMayRunAgain() throws Exception {
        start(1);
        sendRequest(1, "segment", Bytes.NONE);
        checkTurnedAway(10);
        accept(new Input.RequestCancelled(1, 1));
        accept(new Input.Terminate());
        advance(limits.exitDeadline());
        checkTurnedAway(20);
    }

    private void checkTurnedAway(int firstStream) {
        assertEquals(Code.REFUSED, answerTo(firstStream, "order", false), "a first try");
        assertEquals(Code.FAILED, answerTo(firstStream + 1, "order", true));
        assertEquals(Code.REFUSED, answerTo(firstStream + 2, "segment", true));
    }

    private Code answerTo(int stream, String requestClass, boolean clientRetry) {
        effects.clear();
        String id = "%016x".formatted(stream);
        accept(new Input.Request(
                1, stream, id, requestClass, "7f3a9c21e0b4d655", 3, 17, null, 1500, clientRetry, Bytes.NONE));
        return ofType(effects, Effect.Answer.class).get(0).code();
    }

    /** Guards against a refusal that the decision module words for a request that may have run. */
    @Test
    void aRefusalOfTheDecisionModuleBecomesAFailureIfAnAttemptMayHaveRun() {
        onEvent = e -> {
            if (e instanceof RequestArrived r) {
                actions.accept(new Fetch(r.id(), CACHE, PARENT, 0, 0, false, false, false, false, 0));
            } else if (e instanceof AttemptEnded end && !end.closed()) {
                actions.accept(new Refuse(end.id(), 0));
            }
        };
        for (String requestClass : new String[] {"order", "segment"}) {
            sendRequest(1, requestClass, Bytes.NONE);
            long attempt = lastSent().attempt();
            accept(new Input.AttemptWritten(attempt));
            effects.clear();
            accept(new Input.ConnectionLost(attempt));
            assertEquals(
                    requestClass.equals("order") ? Code.FAILED : Code.REFUSED,
                    ofType(effects, Effect.Answer.class).get(0).code());
        }
    }

    /** Guards against a request that is turned away unseen and refused, although this router knows that it may have run. */
    @Test
    void aRequestThatIsTurnedAwayUnseenIsRefusedOnlyIfItNeverRan() {
        fetchOnArrivedRequest(0, 0);
        sendRequest(1, "order", Bytes.NONE);
        String booked = "9b1f03aa5c7e2d41";
        assertFalse(rejected(booked, "order", false).refused(), "it is open");
        accept(new Input.AttemptWritten(lastSent().attempt()));
        accept(new Input.ClientClosed(1));
        assertFalse(rejected(booked, "order", false).refused(), "it may have run");
        assertFalse(rejected(booked, "unknown", false).refused(), "its class may be any");
        assertTrue(rejected(booked, "segment", false).refused(), "it may run again");
        assertTrue(rejected("00000000000000b2", "order", false).refused(), "a first try");
        assertTrue(rejected("00000000000000b2", "unknown", false).refused(), "a first try");
        assertFalse(rejected("00000000000000b2", "order", true).refused(), "tried before, under another id");
        assertFalse(reducer.rejectionOf(now, RequestIdentity.UNKNOWN).refused(), "it may be any request");
        assertEquals(5, counters.get(Counters.Name.REPEATED_IDS));
    }

    private Rejection rejected(String id, String requestClass, boolean clientRetry) {
        return reducer.rejectionOf(now, new RequestIdentity(id, requestClass, clientRetry));
    }

    @Test
    void anEventIsAppliedOnceAndAGapIsRequestedOnce() {
        String third = NodeTestConfig.list(3, false, NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "left", 0));
        accept(new Input.CoordinatorUpdate(third));
        assertEquals(List.of(new Effect.FollowCoordinator("127.0.0.1:2")), effects);
        assertEquals(1, reducer.lastEventIndex());
        String second = NodeTestConfig.list(2, false, NodeTestConfig.member("s-2", "127.0.0.1:13", "box", "active", 0));
        accept(new Input.CoordinatorUpdate(second));
        accept(new Input.CoordinatorUpdate(second));
        accept(new Input.CoordinatorUpdate(third));
        assertEquals(3, reducer.lastEventIndex());
        assertEquals(2, ofType(events, MemberListUpdate.class).size());
        String ninth = NodeTestConfig.list(9, false);
        accept(new Input.CoordinatorUpdate(ninth));
        accept(new Input.CoordinatorUpdate(ninth));
        assertEquals(
                9, reducer.lastEventIndex(), "the router does not wait for events that the coordinator no longer has");
    }

    @Test
    void aReloadFollowsANewCoordinatorAndNoOtherChange() throws Exception {
        String json = NodeTestConfig.json(
                "127.0.0.1:1",
                "127.0.0.1:3",
                1_000,
                NodeTestConfig.list(1, true, NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0)));
        accept(new Input.Reload(null, null, "no such file"));
        accept(new Input.Reload(
                NodeConfig.parse(json.replace("127.0.0.1:1\"", "127.0.0.1:9\"")), OperatorConfig.NONE, null));
        accept(new Input.Reload(
                NodeConfig.parse(json.replace("\"max-open\":1000", "\"max-open\":9")), OperatorConfig.NONE, null));
        assertEquals(List.of(), effects);
        assertEquals(3, counters.get(Counters.Name.RELOADS_REFUSED));
        accept(new Input.Reload(NodeConfig.parse(json), OperatorConfig.NONE, null));
        accept(new Input.Reload(NodeConfig.parse(json), OperatorConfig.NONE, null));
        assertEquals(List.of(new Effect.FollowCoordinator("127.0.0.1:3")), effects);
        assertEquals(2, counters.get(Counters.Name.RELOADS));
        assertEquals(List.of(), ofType(events, MemberListUpdate.class));
    }

    private static final String OPERATOR_YAML =
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

    private OperatorConfig operatorConfig(String updateSource, int version, String hub) throws Exception {
        Path file =
                Files.writeString(folder.resolve("operator.yaml"), OPERATOR_YAML.formatted(updateSource, version, hub));
        return OperatorFile.read(file);
    }

    private void startWithOperatorConfig(OperatorConfig operatorConfig) {
        reducer = new Reducer(
                (time, event, sink) -> {
                    events.add(event);
                    actions = sink::accept;
                },
                config.settingsReader(),
                limits,
                counters);
        reducer.applyOperatorConfig(now, operatorConfig, "here", "n0", 1);
        reducer.applyInitialUpdates(now, config, effects::add);
        accept(new Input.CoordinatorUpdate(NodeTestConfig.list(
                2,
                false,
                NodeTestConfig.member("p-2", "127.0.0.1:13", "shield", "active", 0),
                NodeTestConfig.member("o-1", "127.0.0.1:14", "store", "active", 0))));
    }

    /** Returns the parent of this location in the last update of the fill sources; 0 if it names none. */
    private long currentParent() {
        FillSourcesUpdate last = ofType(events, FillSourcesUpdate.class)
                .get(ofType(events, FillSourcesUpdate.class).size() - 1);
        return last.sourcesByMember().isEmpty()
                ? 0
                : last.sourcesByMember()
                        .get(FillSourcesUpdate.LOCATION)
                        .current()
                        .get(0)
                        .member();
    }

    @Test
    void fillSourcesFollowTheOperatorsHierarchyAndItsReload() throws Exception {
        now = START_MICROS + 1_000 * MICROS_PER_SECOND;
        startWithOperatorConfig(operatorConfig("file", 1, "p-1"));
        assertEquals(PARENT, currentParent());
        OperatorConfig next = operatorConfig("file", 2, "p-2");
        accept(new Input.Reload(config, next, null));
        assertEquals(
                Reducer.memberId("p-2"),
                currentParent(),
                "the announcement is long ago, so that it takes effect at once");
        assertEquals("2", reducer.statusFields().get("hierarchy-version"));
        assertEquals("moving", reducer.statusFields().get("hierarchy-stage"));
        now += 10 * MICROS_PER_SECOND;
        accept(new Input.TimerFired());
        assertEquals("1.000", reducer.statusFields().get("hierarchy-share-moved"));
        accept(new Input.Reload(config, operatorConfig("file", 1, "p-1"), null));
        accept(new Input.Reload(config, operatorConfig("feed", 3, "p-1"), null));
        accept(new Input.Reload(config, OperatorConfig.NONE, null));
        assertEquals(3, counters.get(Counters.Name.RELOADS_REFUSED));
        assertEquals("2", reducer.statusFields().get("hierarchy-version"));
        assertEquals(Reducer.memberId("p-2"), currentParent());
    }

    @Test
    void topologyUpdatesOfTheCoordinatorTakeEffectWhenDue() throws Exception {
        now = START_MICROS + 1_000 * MICROS_PER_SECOND;
        startWithOperatorConfig(operatorConfig("feed", 1, "p-1"));
        long millis = now / MICROS_PER_MILLI;
        accept(new Input.CoordinatorUpdate("{\"index\":3,\"shape\":{\"piece\":1,\"version\":2,\"announced_ms\":"
                + millis + ",\"unit\":\"here\",\"kind\":\"depot\",\"parents\":{\"p-2\":1}}}"));
        assertEquals(PARENT, currentParent());
        now += 500 * MICROS_PER_MILLI;
        accept(new Input.CoordinatorUpdate(
                "{\"index\":4,\"shape\":{\"certain_ms\":" + (millis + 500) + ",\"piece\":1}}"));
        assertTrue(
                reducer.nextDue() <= now + 500 * MICROS_PER_MILLI,
                "a timer is due when the topology update takes effect");
        now += 500 * MICROS_PER_MILLI;
        accept(new Input.TimerFired());
        assertEquals(Reducer.memberId("p-2"), currentParent());
        now += 10 * MICROS_PER_SECOND;
        accept(new Input.TimerFired());
        assertEquals(
                0, currentParent(), "no confirmation for long: the decision module falls back to the listed parents");
        accept(new Input.CoordinatorUpdate("{\"index\":5,\"shape\":{\"piece\":2,\"unit\":\"here\"}}"));
        assertEquals(1, counters.get(Counters.Name.BAD_INPUT));
    }

    @Test
    void topologyUpdatesAreIgnoredWithoutAnOperatorsFile() {
        accept(new Input.CoordinatorUpdate("{\"index\":2,\"shape\":{\"certain_ms\":1,\"piece\":1}}"));
        assertEquals(Map.of(), reducer.statusFields());
        assertEquals(List.of(), ofType(events, FillSourcesUpdate.class));
        assertEquals(2, reducer.lastEventIndex());
    }

    @Test
    void theFillPathIsSentByMemberName() {
        onArrivedRequest(r ->
                actions.accept(new Fetch(r.id(), CACHE, PARENT, 2, 0, true, false, false, false, 0, List.of(PARENT))));
        sendRequest(1, "segment", new CountedBody());
        assertEquals(
                List.of("p-1"), ofType(effects, Effect.SendAttempt.class).get(0).fillPath());
    }
}
