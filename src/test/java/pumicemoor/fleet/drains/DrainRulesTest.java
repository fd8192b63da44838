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

/** The order in which members go, the budgets, operators' commands, and what a plan's bytes may hold. */
class DrainRulesTest {

    /** What is known here: members 0 to 9 are caches, 20 to 24 routers. */
    private static final class Known implements DrainConditions {
        final Set<Long> failing = new HashSet<>();
        final Map<Long, Double> heat = new HashMap<>();
        final Map<Long, MemberKind> tiers = new HashMap<>();
        String untold;

        Known() {
            for (long m = 0; m < 10; m++) {
                tiers.put(m, MemberKind.CACHE);
            }
            for (long m = 20; m < 25; m++) {
                tiers.put(m, MemberKind.ROUTER);
            }
        }

        @Override
        public int serving(MemberKind tier) {
            return (int) tiers.entrySet().stream()
                    .filter(t -> t.getValue() == tier && !failing.contains(t.getKey()))
                    .count();
        }

        @Override
        public boolean serves(long member) {
            return tiers.containsKey(member) && !failing.contains(member);
        }

        @Override
        public boolean known(long member) {
            return tiers.containsKey(member);
        }

        @Override
        public boolean failing(long member) {
            return failing.contains(member);
        }

        @Override
        public double heat(long member) {
            return heat.getOrDefault(member, 0.0);
        }

        @Override
        public String notTold(DrainOrder order) {
            return untold;
        }

        @Override
        public String stillUsed(DrainOrder order) {
            return null;
        }

        @Override
        public boolean warm(DrainOrder order) {
            return true;
        }
    }

    private final Known known = new Known();
    private Plan plan = Plan.NONE;
    private final List<Long> wentOut = new ArrayList<>();

    private void ask(long id, int most, int least, Long... members) {
        plan = PlanTransitions.told(
                        plan,
                        new DrainCommand(DrainCommand.Kind.REQUEST, id, most, least, 0, List.of(members)),
                        known.tiers,
                        plan.stamp() + 1,
                        0)
                .plan();
    }

    private void done(long member) {
        plan = PlanTransitions.told(
                        plan,
                        new DrainCommand(
                                DrainCommand.Kind.DONE,
                                1,
                                0,
                                0,
                                plan.of(member).orElseThrow().fence(),
                                List.of(member)),
                        known.tiers,
                        plan.stamp() + 1,
                        0)
                .plan();
    }

    private boolean step() {
        Plan before = plan;
        PlanTransitions.Outcome next = PlanTransitions.after(plan, plan.stamp() + 1, 0, 3, known);
        plan = next.plan();
        next.steps().stream().filter(s -> s.to() == Phase.OUT).forEach(s -> wentOut.add(s.member()));
        return plan != before;
    }

    private void settle() {
        for (int i = 0; i < 50 && step(); i++) {
            assertTrue(plan.out() <= plan.mostOut() || plan.requests().isEmpty());
        }
    }

    private void workThrough() {
        settle();
        for (int i = 0; i < 100 && !plan.requests().isEmpty(); i++) {
            plan.orders().stream()
                    .filter(o -> o.phase() == Phase.OUT)
                    .map(DrainOrder::member)
                    .toList()
                    .forEach(this::done);
            settle();
        }
        assertTrue(plan.requests().isEmpty(), () -> "not ended: " + plan);
    }

    @Test
    void whoHoldsLeastOfWhatIsAskedForGoesFirstAndAHashSettlesTies() {
        known.heat.putAll(Map.of(1L, 9.0, 2L, 3.0, 3L, 3.0, 4L, 1.0));
        ask(1, 1, 3, 1L, 2L, 3L, 4L);
        workThrough();
        boolean two = Long.compareUnsigned(Hashes.mix(2), Hashes.mix(3)) < 0;
        assertEquals(List.of(4L, two ? 2L : 3L, two ? 3L : 2L, 1L), wentOut);
    }

    @Test
    void whoFailsGoesFirstAndTheOlderRequestBeforeTheYounger() {
        known.heat.putAll(Map.of(1L, 5.0, 2L, 6.0, 5L, 0.0, 6L, 7.0));
        ask(1, 1, 3, 1L, 2L);
        ask(2, 1, 3, 5L, 6L);
        known.failing.add(6L);
        workThrough();
        assertEquals(List.of(6L, 1L, 2L, 5L), wentOut);
    }

    @Test
    void noMoreAreOutThanMayBeAndSoManyServeUnlessOneFailsAsItIs() {
        ask(1, 4, 8, 0L, 1L, 2L, 3L);
        settle();
        assertEquals(2, plan.out(), "eight of ten serve");
        known.failing.addAll(List.of(8L, 9L));
        wentOut.clear();
        done(plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT)
                .findFirst()
                .orElseThrow()
                .member());
        settle();
        assertEquals(1, plan.out(), "two fail: nobody else may go");
        long waits = plan.orders().stream()
                .filter(o -> o.phase() == Phase.NAMED)
                .findFirst()
                .orElseThrow()
                .member();
        assertTrue(PlanTransitions.heldUp(plan, plan.of(waits).orElseThrow(), 0, 3, known).contains("would serve, 8 must"));
        known.failing.add(waits);
        settle();
        assertEquals(2, plan.out(), "who fails is out as it is");
    }

    @Test
    void ofTwoRequestsTheStricterBudgetHoldsAndNoMemberGoesTwice() {
        ask(1, 3, 2, 1L, 2L, 3L);
        ask(2, 1, 9, 3L, 4L);
        settle();
        assertEquals(1, plan.out());
        workThrough();
        assertEquals(4, wentOut.size());
        assertEquals(Set.of(1L, 2L, 3L, 4L), Set.copyOf(wentOut));
        Plan ended = plan;
        ask(1, 3, 2, 1L, 2L, 3L);
        assertSame(ended, plan, "a request under a number that was taken has no second effect");
    }

    @Test
    void aMajorityOfTheRoutersStaysWhateverIsAsked() {
        ask(1, 4, 0, 20L, 21L, 22L, 23L);
        settle();
        assertEquals(2, plan.out(), "three of five are a majority");
    }

    @Test
    void nobodyGoesBeforeAllAreToldNorWithoutBeingListed() {
        known.untold = "router-7";
        ask(1, 1, 1, 1L, 2L);
        settle();
        assertEquals(0, plan.out());
        DrainOrder named = plan.orders().stream()
                .filter(o -> o.phase() == Phase.NAMED)
                .findFirst()
                .orElseThrow();
        assertEquals("router router-7 has not been told", PlanTransitions.heldUp(plan, named, 0, 3, known));
        known.tiers.remove(named.member());
        settle();
        assertEquals(Phase.FINISHED, plan.of(named.member()).orElseThrow().phase());
    }

    @Test
    void whoNeverComesBackStopsTheQueueAtTheBudget() {
        ask(1, 2, 1, 1L, 2L, 3L, 4L);
        settle();
        List<Long> out = plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT)
                .map(DrainOrder::member)
                .toList();
        done(out.get(0));
        settle();
        done(plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT && !out.contains(o.member()))
                .findFirst()
                .orElseThrow()
                .member());
        settle();
        assertEquals(2, plan.out());
        assertEquals(Phase.OUT, plan.of(out.get(1)).orElseThrow().phase());
    }

    @Test
    void doneNamesItsFenceAndCancelLeavesAloneWhoIsOut() {
        ask(1, 1, 1, 1L, 2L, 3L);
        settle();
        DrainOrder out = plan.orders().stream()
                .filter(o -> o.phase() == Phase.OUT)
                .findFirst()
                .orElseThrow();
        Plan before = plan;
        assertSame(
                before,
                PlanTransitions.told(
                                plan,
                                new DrainCommand(
                                        DrainCommand.Kind.DONE, 5, 0, 0, out.fence() - 1, List.of(out.member())),
                                known.tiers,
                                plan.stamp() + 1,
                                0)
                        .plan(),
                "an old fence");
        plan = PlanTransitions.told(
                        plan,
                        new DrainCommand(DrainCommand.Kind.CANCEL, 6, 0, 0, 0, List.of(1L, 2L, 3L)),
                        known.tiers,
                        plan.stamp() + 1,
                        0)
                .plan();
        assertEquals(Phase.OUT, plan.of(out.member()).orElseThrow().phase());
        assertEquals(
                2,
                plan.orders().stream().filter(o -> o.phase() == Phase.FINISHED).count());
        done(out.member());
        settle();
        assertEquals(List.of(1L), plan.closed());
    }

    private static FleetSnapshot world() {
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
                "members|box-1,box-9|members: 'box-9' is not known here",
                "members||members: a name is empty",
                "max-at-once|0|max-at-once: 0 is out of range",
                "max-at-once|6|max-at-once: 6 is over the tier: 5 of kind cache",
                "max-at-once|two|max-at-once: it is missing or no whole number",
                "min-serving|6|min-serving: 6 is over the tier: 5 of kind cache",
                "min-serving|5|min-serving: 5 leaves none to go out",
                "min-serving|-1|min-serving: -1 is under 0",
                "cluster|east|cluster: this is a router of 'west', not of 'east'",
                "id|xyz|id: it is not of 1 to 16 hexadecimal digits",
                "drain|now|drain: it is none of request, done, cancel",
                "drain|done|members: the work is done on one member at a time",
            })
    void aCommandThatCannotBeNamesItsField(String field, String value, String words) {
        Map<String, String> fields = new HashMap<>(Map.of(
                "drain", "request", "id", "7f", "members", "box-1,box-2", "max-at-once", "1", "min-serving", "3"));
        assertEquals(2, read(fields).members().size());
        fields.put(field, value == null ? "" : value);
        String said = "";
        try {
            DrainCommandParser.command(fields, "west", world(), Plan.NONE);
        } catch (DrainCommandParser.Wrong e) {
            said = e.getMessage();
        }
        assertTrue(said.startsWith(words), said);
    }

    private static DrainCommand read(Map<String, String> fields) {
        try {
            return DrainCommandParser.command(fields, "west", world(), Plan.NONE);
        } catch (DrainCommandParser.Wrong e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aRouterIsNamedWithItsKindAndDoneIsAboutWhoIsOut() throws Exception {
        Map<String, String> fields =
                Map.of("drain", "request", "id", "1", "members", "router/r1", "max-at-once", "1", "min-serving", "1");
        DrainCommand c = DrainCommandParser.command(fields, "west", world(), Plan.NONE);
        Plan out = new Plan(
                9,
                List.of(new DrainRequest(1, 0, 1, 1)),
                List.of(new DrainOrder(c.members().get(0), MemberKind.ROUTER, 1, Phase.OUT, 8, 0)),
                List.of());
        Map<String, String> done = new HashMap<>(Map.of("drain", "done", "id", "2", "members", "router/r1"));
        assertEquals(8, DrainCommandParser.command(done, "west", world(), out).fence());
        done.put("fence", "7");
        String said = "";
        try {
            DrainCommandParser.command(done, "west", world(), out);
        } catch (DrainCommandParser.Wrong e) {
            said = e.getMessage();
        }
        assertEquals("fence: 7 is not that of its way out, 8", said);
    }

    private static Plan random(Random r) {
        List<DrainRequest> requests = new ArrayList<>();
        for (int i = r.nextInt(Plan.MOST_REQUESTS + 1); i > 0; i--) {
            requests.add(new DrainRequest(r.nextLong(), i - 1, 1 + r.nextInt(50), r.nextInt(50)));
        }
        List<DrainOrder> orders = new ArrayList<>();
        for (int i = r.nextInt(Plan.MOST_ORDERS + 1); i > 0; i--) {
            orders.add(new DrainOrder(
                    i,
                    MemberKind.values()[r.nextInt(3)],
                    r.nextInt(),
                    Phase.values()[r.nextInt(6)],
                    1 + r.nextInt(900),
                    r.nextLong()));
        }
        return new Plan(
                1_000 + r.nextInt(1_000),
                requests,
                orders,
                r.longs(r.nextInt(Plan.MOST_CLOSED + 1)).boxed().toList());
    }

    @Property(tries = 300, seed = "21")
    void aPlanComesBackAsItWasInPiecesInAnyOrderAndNothingElseDoes(@ForAll long seed) {
        Random r = new Random(seed);
        Plan plan = random(r);
        byte[] bytes = PlanCodec.write(plan);
        assertEquals(plan, PlanCodec.read(bytes));
        assertNull(PlanCodec.read(Arrays.copyOf(bytes, r.nextInt(bytes.length))), "cut");
        assertNull(PlanCodec.read(Arrays.copyOf(bytes, bytes.length + 1)), "longer");
        byte[] spoilt = bytes.clone();
        spoilt[r.nextInt(spoilt.length)] ^= (byte) (1 + r.nextInt(255));
        Plan other = PlanCodec.read(spoilt); // another plan, or none; never a fault
        assertTrue(other == null || !other.equals(plan) || Arrays.equals(bytes, spoilt));
        PlanStore sender = new PlanStore();
        assertTrue(sender.hold(plan));
        List<byte[]> pieces = sender.pieces();
        PlanStore book = new PlanStore();
        List<Integer> order = new ArrayList<>(
                java.util.stream.IntStream.range(0, pieces.size()).boxed().toList());
        java.util.Collections.shuffle(order, r);
        for (int i : order) {
            assertFalse(book.take(plan.stamp(), i, pieces.size() + 20, pieces.get(i)), "so many pieces no plan has");
            assertEquals(i == order.get(order.size() - 1), book.take(plan.stamp(), i, pieces.size(), pieces.get(i)));
        }
        assertEquals(plan, book.held());
        assertArrayEquals(bytes, PlanCodec.write(book.held()));
    }

    @Test
    void aProcessStartedAnewDoesNotCountAmongThoseWhoRemember() {
        Plan agreed = new Plan(Plan.first(3), List.of(), List.of(), List.of(4L));
        PlanStore fresh = new PlanStore();
        PlanLeader keeper = new PlanLeader(fresh);
        // of five, two that remember nothing and one that does: what three held may be with the two that are away
        keeper.reported("b", new PlanLeader.Report(1, 4, 0, 0, false));
        keeper.reported("c", new PlanLeader.Report(1, 4, 0, 0, true));
        keeper.sit(4, 5, false);
        assertEquals(PlanLeader.Stage.READING, keeper.stage());
        keeper.reported("d", new PlanLeader.Report(1, 3, agreed.stamp(), agreed.stamp(), true));
        keeper.reported("e", new PlanLeader.Report(1, 4, 0, 0, true));
        keeper.sit(4, 5, false);
        assertEquals(PlanLeader.Stage.READING, keeper.stage(), "d told that before this term began");
        keeper.reported("d", new PlanLeader.Report(1, 4, agreed.stamp(), agreed.stamp(), true));
        keeper.sit(4, 5, false);
        assertEquals(PlanLeader.Stage.READING, keeper.stage(), "what d holds has yet to come");
        fresh.hold(agreed);
        assertTrue(keeper.sit(4, 5, false));
        assertEquals(Plan.first(4), fresh.held().stamp());
        assertEquals(List.of(4L), fresh.held().closed());
        assertEquals(PlanLeader.Stage.WRITING, keeper.stage(), "in force once three hold it");
        keeper.reported("b", new PlanLeader.Report(1, 4, Plan.first(4), 0, false));
        keeper.sit(4, 5, false);
        assertEquals(0, keeper.inForce());
        keeper.reported("c", new PlanLeader.Report(1, 4, Plan.first(4), 0, true));
        keeper.sit(4, 5, false);
        assertEquals(Plan.first(4), keeper.inForce());
    }
}
