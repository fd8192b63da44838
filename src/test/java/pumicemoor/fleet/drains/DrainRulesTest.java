package pumicemoor.fleet.drains;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicemoor.Hashes;
import pumicemoor.fleet.drains.FleetSnapshot.Peer;
import pumicemoor.fleet.drains.FleetSnapshot.Target;
import pumicemoor.fleet.membership.RouterStatus;

/** The order of drains, the limits on members out, operators' commands, and the encoding of plans. */
class DrainRulesTest {

    /** The known conditions: members 0 to 9 are caches, 20 to 24 routers. */
    private static final class Conditions implements DrainConditions {
        final Set<Long> failing = new HashSet<>();
        final Map<Long, Double> hitsByMember = new HashMap<>();
        final Map<Long, MemberKind> tiers = new HashMap<>();
        String unawareRouter;

        Conditions() {
            for (long member = 0; member < 10; member++) {
                tiers.put(member, MemberKind.CACHE);
            }
            for (long member = 20; member < 25; member++) {
                tiers.put(member, MemberKind.ROUTER);
            }
        }

        @Override
        public int servingCount(MemberKind tier) {
            return (int) tiers.entrySet().stream()
                    .filter(t -> t.getValue() == tier && !failing.contains(t.getKey()))
                    .count();
        }

        @Override
        public boolean isServing(long member) {
            return tiers.containsKey(member) && !failing.contains(member);
        }

        @Override
        public boolean isKnown(long member) {
            return tiers.containsKey(member);
        }

        @Override
        public boolean isFailing(long member) {
            return failing.contains(member);
        }

        @Override
        public double recentHits(long member) {
            return hitsByMember.getOrDefault(member, 0.0);
        }

        @Override
        public String routerUnawareOf(DrainOrder order) {
            return unawareRouter;
        }

        @Override
        public String routerStillUsing(DrainOrder order) {
            return null;
        }

        @Override
        public boolean isWarm(DrainOrder order) {
            return true;
        }
    }

    private final Conditions conditions = new Conditions();
    private Plan plan = Plan.NONE;
    private final List<Long> wentOut = new ArrayList<>();

    private void request(long id, int most, int least, Long... members) {
        plan = PlanTransitions.afterCommand(
                        plan,
                        new DrainCommand(DrainCommand.Kind.REQUEST, id, most, least, 0, List.of(members)),
                        conditions.tiers,
                        plan.stamp() + 1,
                        0)
                .plan();
    }

    private void done(long member) {
        plan = PlanTransitions.afterCommand(
                        plan,
                        new DrainCommand(
                                DrainCommand.Kind.DONE,
                                1,
                                0,
                                0,
                                plan.orderFor(member).orElseThrow().fence(),
                                List.of(member)),
                        conditions.tiers,
                        plan.stamp() + 1,
                        0)
                .plan();
    }

    private boolean step() {
        Plan before = plan;
        PlanTransitions.Outcome next = PlanTransitions.next(plan, plan.stamp() + 1, 0, 3, conditions);
        plan = next.plan();
        next.steps().stream().filter(s -> s.to() == Phase.OUT).forEach(s -> wentOut.add(s.member()));
        return plan != before;
    }

    private void runUntilStable() {
        for (int i = 0; i < 50 && step(); i++) {
            assertTrue(plan.out() <= plan.maxOut() || plan.requests().isEmpty());
        }
    }

    private void completeAllDrains() {
        runUntilStable();
        for (int i = 0; i < 100 && !plan.requests().isEmpty(); i++) {
            plan.orders().stream()
                    .filter(o -> o.phase() == Phase.OUT)
                    .map(DrainOrder::member)
                    .toList()
                    .forEach(this::done);
            runUntilStable();
        }
        assertTrue(plan.requests().isEmpty(), () -> "not ended: " + plan);
    }

    @Test
    void theMemberWithTheFewestHitsGoesFirstAndAHashBreaksTies() {
        conditions.hitsByMember.putAll(Map.of(1L, 9.0, 2L, 3.0, 3L, 3.0, 4L, 1.0));
        request(1, 1, 3, 1L, 2L, 3L, 4L);
        completeAllDrains();
        boolean twoFirst = Long.compareUnsigned(Hashes.mix(2), Hashes.mix(3)) < 0;
        assertEquals(List.of(4L, twoFirst ? 2L : 3L, twoFirst ? 3L : 2L, 1L), wentOut);
    }

    @Test
    void failingMembersGoFirstAndTheOlderRequestBeforeTheYounger() {
        conditions.hitsByMember.putAll(Map.of(1L, 5.0, 2L, 6.0, 5L, 0.0, 6L, 7.0));
        request(1, 1, 3, 1L, 2L);
        request(2, 1, 3, 5L, 6L);
        conditions.failing.add(6L);
        completeAllDrains();
        assertEquals(List.of(6L, 1L, 2L, 5L), wentOut);
    }

    @Test
    void noMoreMembersGoOutThanTheLimitsAllowExceptFailingOnes() {
        request(1, 4, 8, 0L, 1L, 2L, 3L);
        runUntilStable();
        assertEquals(2, plan.out(), "eight of ten serve");
        conditions.failing.addAll(List.of(8L, 9L));
        wentOut.clear();
        done(plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT)
                .findFirst()
                .orElseThrow()
                .member());
        runUntilStable();
        assertEquals(1, plan.out(), "two fail: no other member may go out");
        long waitingMember = plan.orders().stream()
                .filter(o -> o.phase() == Phase.NAMED)
                .findFirst()
                .orElseThrow()
                .member();
        assertTrue(PlanTransitions.waitReason(plan, plan.orderFor(waitingMember).orElseThrow(), 0, 3, conditions)
                .contains("would serve, 8 must"));
        conditions.failing.add(waitingMember);
        runUntilStable();
        assertEquals(2, plan.out(), "a failing member is out of use already");
    }

    @Test
    void theStricterLimitOfTwoRequestsAppliesAndNoMemberGoesOutTwice() {
        request(1, 3, 2, 1L, 2L, 3L);
        request(2, 1, 9, 3L, 4L);
        runUntilStable();
        assertEquals(1, plan.out());
        completeAllDrains();
        assertEquals(4, wentOut.size());
        assertEquals(Set.of(1L, 2L, 3L, 4L), Set.copyOf(wentOut));
        Plan ended = plan;
        request(1, 3, 2, 1L, 2L, 3L);
        assertSame(ended, plan, "a repeated request with the same id has no effect");
    }

    @Test
    void aMajorityOfRoutersStaysWhateverIsRequested() {
        request(1, 4, 0, 20L, 21L, 22L, 23L);
        runUntilStable();
        assertEquals(2, plan.out(), "three of five are a majority");
    }

    @Test
    void noMemberGoesOutBeforeAllRoutersKnowThePlanOrAfterItIsUnlisted() {
        conditions.unawareRouter = "router-7";
        request(1, 1, 1, 1L, 2L);
        runUntilStable();
        assertEquals(0, plan.out());
        DrainOrder named = plan.orders().stream()
                .filter(o -> o.phase() == Phase.NAMED)
                .findFirst()
                .orElseThrow();
        assertEquals("router router-7 has not been told", PlanTransitions.waitReason(plan, named, 0, 3, conditions));
        conditions.tiers.remove(named.member());
        runUntilStable();
        assertEquals(Phase.FINISHED, plan.orderFor(named.member()).orElseThrow().phase());
    }

    @Test
    void aMemberThatNeverReturnsStopsTheQueueAtTheLimit() {
        request(1, 2, 1, 1L, 2L, 3L, 4L);
        runUntilStable();
        List<Long> out = plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT)
                .map(DrainOrder::member)
                .toList();
        done(out.get(0));
        runUntilStable();
        done(plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT && !out.contains(o.member()))
                .findFirst()
                .orElseThrow()
                .member());
        runUntilStable();
        assertEquals(2, plan.out());
        assertEquals(Phase.OUT, plan.orderFor(out.get(1)).orElseThrow().phase());
    }

    @Test
    void doneNeedsTheCurrentFenceAndCancelDoesNotAffectMembersThatAreOut() {
        request(1, 1, 1, 1L, 2L, 3L);
        runUntilStable();
        DrainOrder out = plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT)
                .findFirst()
                .orElseThrow();
        Plan before = plan;
        assertSame(
                before,
                PlanTransitions.afterCommand(
                                plan,
                                new DrainCommand(
                                        DrainCommand.Kind.DONE, 5, 0, 0, out.fence() - 1, List.of(out.member())),
                                conditions.tiers,
                                plan.stamp() + 1,
                                0)
                        .plan(),
                "an old fence");
        plan = PlanTransitions.afterCommand(
                        plan,
                        new DrainCommand(DrainCommand.Kind.CANCEL, 6, 0, 0, 0, List.of(1L, 2L, 3L)),
                        conditions.tiers,
                        plan.stamp() + 1,
                        0)
                .plan();
        assertEquals(Phase.OUT, plan.orderFor(out.member()).orElseThrow().phase());
        assertEquals(
                2,
                plan.orders().stream().filter(o -> o.phase() == Phase.FINISHED).count());
        done(out.member());
        runUntilStable();
        assertEquals(List.of(1L), plan.closed());
    }

    private static FleetSnapshot snapshot() {
        Map<Long, Target> targets = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            targets.put(Hashes.fnv("box-" + i), new Target("box-" + i, MemberKind.CACHE, true, 0));
        }
        return new FleetSnapshot(
                0,
                0,
                0,
                3,
                List.of(
                        new Peer(Hashes.of("router/r1"), "r1", "127.0.0.1:1", 1, RouterStatus.ALIVE, 0),
                        new Peer(Hashes.of("router/r2"), "r2", "127.0.0.1:2", 1, RouterStatus.ALIVE, 0)),
                targets,
                Set.of());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "members|box-1,box-9|members: 'box-9' is not known to this router",
                "members||members: a name is empty",
                "max-at-once|0|max-at-once: 0 is out of range",
                "max-at-once|6|max-at-once: 6 exceeds the size of the tier: 5 of kind cache",
                "max-at-once|two|max-at-once: is missing or not a whole number",
                "min-serving|6|min-serving: 6 exceeds the size of the tier: 5 of kind cache",
                "min-serving|5|min-serving: 5 leaves no member that may be drained",
                "min-serving|-1|min-serving: -1 is negative",
                "cluster|east|cluster: this is a router of 'west', not of 'east'",
                "id|xyz|id: must have 1 to 16 hexadecimal digits",
                "drain|now|drain: must be one of request, done, cancel",
                "drain|done|members: this command takes exactly one member",
            })
    void anInvalidCommandIsRefusedWithItsField(String field, String value, String expectedStart) {
        Map<String, String> fields = new HashMap<>(Map.of(
                "drain", "request", "id", "7f", "members", "box-1,box-2", "max-at-once", "1", "min-serving", "3"));
        assertEquals(2, parse(fields).members().size());
        fields.put(field, value == null ? "" : value);
        String message = "";
        try {
            DrainCommandParser.command(fields, "west", snapshot(), Plan.NONE);
        } catch (DrainCommandParser.InvalidCommandException e) {
            message = e.getMessage();
        }
        assertTrue(message.startsWith(expectedStart), message);
    }

    private static DrainCommand parse(Map<String, String> fields) {
        try {
            return DrainCommandParser.command(fields, "west", snapshot(), Plan.NONE);
        } catch (DrainCommandParser.InvalidCommandException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aRouterIsNamedWithItsPrefixAndDoneRefersToAMemberThatIsOut() throws Exception {
        Map<String, String> fields =
                Map.of("drain", "request", "id", "1", "members", "router/r1", "max-at-once", "1", "min-serving", "1");
        DrainCommand command = DrainCommandParser.command(fields, "west", snapshot(), Plan.NONE);
        Plan out = new Plan(
                9,
                List.of(new DrainRequest(1, 0, 1, 1)),
                List.of(new DrainOrder(command.members().get(0), MemberKind.ROUTER, 1, Phase.OUT, 8, 0)),
                List.of());
        Map<String, String> done = new HashMap<>(Map.of("drain", "done", "id", "2", "members", "router/r1"));
        assertEquals(
                8, DrainCommandParser.command(done, "west", snapshot(), out).fence());
        done.put("fence", "7");
        String message = "";
        try {
            DrainCommandParser.command(done, "west", snapshot(), out);
        } catch (DrainCommandParser.InvalidCommandException e) {
            message = e.getMessage();
        }
        assertEquals("fence: 7 is not the fence of the member's current phase, 8", message);
    }

    private static Plan randomPlan(Random random) {
        List<DrainRequest> requests = new ArrayList<>();
        for (int i = random.nextInt(Plan.MAX_OPEN_REQUESTS + 1); i > 0; i--) {
            requests.add(new DrainRequest(random.nextLong(), i - 1, 1 + random.nextInt(50), random.nextInt(50)));
        }
        List<DrainOrder> orders = new ArrayList<>();
        for (int i = random.nextInt(Plan.MAX_ORDERS + 1); i > 0; i--) {
            orders.add(new DrainOrder(
                    i,
                    MemberKind.values()[random.nextInt(3)],
                    random.nextInt(),
                    Phase.values()[random.nextInt(6)],
                    1 + random.nextInt(900),
                    random.nextLong()));
        }
        return new Plan(
                1_000 + random.nextInt(1_000),
                requests,
                orders,
                random.longs(random.nextInt(Plan.MAX_CLOSED_REQUESTS + 1))
                        .boxed()
                        .toList());
    }

    @Property(tries = 300, seed = "21")
    void aPlanIsRestoredFromPiecesInAnyOrderAndCorruptBytesAreRefused(@ForAll long seed) {
        Random random = new Random(seed);
        Plan plan = randomPlan(random);
        byte[] bytes = PlanCodec.write(plan);
        assertEquals(plan, PlanCodec.read(bytes));
        assertNull(PlanCodec.read(Arrays.copyOf(bytes, random.nextInt(bytes.length))), "cut");
        assertNull(PlanCodec.read(Arrays.copyOf(bytes, bytes.length + 1)), "longer");
        byte[] corrupted = bytes.clone();
        corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
        Plan other = PlanCodec.read(corrupted); // another plan or null, never an exception
        assertTrue(other == null || !other.equals(plan) || Arrays.equals(bytes, corrupted));
        PlanStore sender = new PlanStore();
        assertTrue(sender.store(plan));
        List<byte[]> pieces = sender.pieces();
        PlanStore receiver = new PlanStore();
        List<Integer> order = new ArrayList<>(
                java.util.stream.IntStream.range(0, pieces.size()).boxed().toList());
        java.util.Collections.shuffle(order, random);
        for (int i : order) {
            assertFalse(
                    receiver.addPiece(plan.stamp(), i, pieces.size() + 20, pieces.get(i)),
                    "no plan has so many pieces");
            assertEquals(
                    i == order.get(order.size() - 1), receiver.addPiece(plan.stamp(), i, pieces.size(), pieces.get(i)));
        }
        assertEquals(plan, receiver.newest());
        assertArrayEquals(bytes, PlanCodec.write(receiver.newest()));
    }

    @Test
    void aRestartedProcessDoesNotCountAsRecovered() {
        Plan agreed = new Plan(Plan.firstStamp(3), List.of(), List.of(), List.of(4L));
        PlanStore restarted = new PlanStore();
        PlanLeader leader = new PlanLeader(restarted);
        // of five routers, two have not recovered and one has: a plan that three held may be held by the two
        // missing ones
        leader.recordReport("b", new PlanLeader.Report(1, 4, 0, 0, false));
        leader.recordReport("c", new PlanLeader.Report(1, 4, 0, 0, true));
        leader.advance(4, 5, false);
        assertEquals(PlanLeader.Stage.READING, leader.stage());
        leader.recordReport("d", new PlanLeader.Report(1, 3, agreed.stamp(), agreed.stamp(), true));
        leader.recordReport("e", new PlanLeader.Report(1, 4, 0, 0, true));
        leader.advance(4, 5, false);
        assertEquals(PlanLeader.Stage.READING, leader.stage(), "d reported that before this term began");
        leader.recordReport("d", new PlanLeader.Report(1, 4, agreed.stamp(), agreed.stamp(), true));
        leader.advance(4, 5, false);
        assertEquals(PlanLeader.Stage.READING, leader.stage(), "the plan that d holds has not arrived yet");
        restarted.store(agreed);
        assertTrue(leader.advance(4, 5, false));
        assertEquals(Plan.firstStamp(4), restarted.newest().stamp());
        assertEquals(List.of(4L), restarted.newest().closed());
        assertEquals(PlanLeader.Stage.WRITING, leader.stage(), "in force once three hold it");
        leader.recordReport("b", new PlanLeader.Report(1, 4, Plan.firstStamp(4), 0, false));
        leader.advance(4, 5, false);
        assertEquals(0, leader.inForce());
        leader.recordReport("c", new PlanLeader.Report(1, 4, Plan.firstStamp(4), 0, true));
        leader.advance(4, 5, false);
        assertEquals(Plan.firstStamp(4), leader.inForce());
    }
}
