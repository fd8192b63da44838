package pumicemoor.fleet.drains;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Explores a small model of the drain plan's replication: three routers, four members, at most one of them out. It
 * visits every interleaving of elections, reports, lost and delayed answers, delayed plans, crashes, restarts,
 * partitions and operators' actions, up to a bound, from several stages of a maintenance. Terms do not overlap, which
 * VotesTest checks for the votes. Time is not modelled: a router without contact to the leader may be known to be
 * cut off at any moment.
 */
class PlanModelTest {

    private static final int ROUTERS = 3;
    private static final int MEMBERS = 4;
    private static final int MAX_STATES =
            Integer.getInteger("model.states", 5_000); // of each exploration, those with the fewest actions first
    private static final int MAX_IN_FLIGHT = 2; // delayed packets at a time

    /**
     * A delayed packet: an answer if the plan is null, else a whole plan. It is in time if no lease has passed since.
     */
    private record DelayedPacket(int to, int instance, boolean fromLeader, long inForce, Plan plan, boolean inTime) {}

    private static final class Router {
        PlanStore planStore = new PlanStore();
        PlanLeader leader = new PlanLeader(planStore);
        int instance = 1;
        long term;
        boolean alive = true;
        boolean hadLeaderContact;
        boolean hasLeaderContact;
        boolean mayHaveLeaderContact; // as far as a leader can know
    }

    /** A state of the model, reached by a list of actions, and the conditions that its leader knows. */
    private static final class Model implements DrainConditions {
        final Router[] routers = new Router[ROUTERS];
        final List<DelayedPacket> inFlight = new ArrayList<>();
        final Map<Long, Long> outMembers = new TreeMap<>(); // members being worked on, with their fences
        final Set<Long> seenFences = new HashSet<>();
        final Map<Long, Long> doneCommands = new TreeMap<>();
        int leaderIndex = -1;
        long term;
        boolean cancelled;

        Model() {
            for (int i = 0; i < ROUTERS; i++) {
                routers[i] = new Router();
            }
        }

        // ---- what the leader knows --------------------------------------------------------------------

        private long applied(int r) {
            if (r == leaderIndex) {
                return routers[r].planStore.applied().stamp();
            }
            PlanLeader.Report report = routers[leaderIndex].leader.report("r" + r);
            return report == null || report.instance() != routers[r].instance ? -1 : report.appliedStamp();
        }

        @Override
        public String routerUnawareOf(DrainOrder order) {
            for (int r = 0; r < ROUTERS; r++) {
                if (routers[r].alive && applied(r) < order.fence()) {
                    return "r" + r;
                }
            }
            return null;
        }

        @Override
        public String routerStillUsing(DrainOrder order) {
            for (int r = 0; r < ROUTERS; r++) {
                if (routers[r].alive
                        && applied(r) < order.fence()
                        && (routers[r].mayHaveLeaderContact || !routers[r].hadLeaderContact)) {
                    return "r" + r;
                }
            }
            return null;
        }

        @Override
        public int servingCount(MemberKind tier) {
            return MEMBERS;
        }

        @Override
        public boolean isServing(long member) {
            return true;
        }

        @Override
        public boolean isKnown(long member) {
            return true;
        }

        @Override
        public boolean isFailing(long member) {
            return false;
        }

        @Override
        public double recentHits(long member) {
            return member;
        }

        @Override
        public boolean isWarm(DrainOrder order) {
            return true;
        }

        // ---- actions --------------------------------------------------------------------------

        List<String> actions() {
            List<String> all = new ArrayList<>();
            long unrecovered = java.util.Arrays.stream(routers)
                    .filter(r -> !r.alive || !r.planStore.recovered())
                    .count();
            for (int r = 0; r < ROUTERS; r++) {
                Router router = routers[r];
                if (!router.alive) {
                    all.add("start " + r);
                    continue;
                }
                if (leaderIndex < 0) {
                    all.add("elect " + r);
                } else if (r != leaderIndex) {
                    all.add("talk " + r);
                    all.add("lose " + r);
                    if (inFlight.size() < MAX_IN_FLIGHT) {
                        all.add("late " + r);
                    }
                }
                if (unrecovered == 0) { // at most a minority is dead or has not recovered
                    all.add("kill " + r);
                }
                if (router.mayHaveLeaderContact && r != leaderIndex) {
                    all.add("cut " + r);
                }
            }
            if (leaderIndex >= 0) {
                all.add("leave");
                all.add("lead");
            }
            for (int f = 0; f < inFlight.size(); f++) {
                all.add("arrive " + f);
            }
            outMembers.keySet().forEach(m -> all.add("done " + m));
            return all;
        }

        void act(String action) {
            String[] words = action.split(" ");
            int index = words.length > 1 ? Integer.parseInt(words[1]) : 0;
            switch (words[0]) {
                case "elect" -> {
                    leaderIndex = index;
                    term++;
                    routers[index].term = term;
                    for (Router router : routers) {
                        router.mayHaveLeaderContact = true; // the previous leader may just have answered it
                    }
                    runLeader();
                }
                case "leave" -> stepDownLeader();
                case "lead" -> runLeader();
                case "talk" -> {
                    DelayedPacket answer = report(index);
                    pieces(index).ifPresent(this::arrive);
                    arrive(answer);
                    arrive(report(index));
                }
                case "lose" -> report(index);
                case "late" -> {
                    inFlight.add(report(index));
                    if (inFlight.size() < MAX_IN_FLIGHT) {
                        pieces(index).ifPresent(inFlight::add);
                    }
                }
                case "arrive" -> arrive(inFlight.remove(index));
                case "cut" -> { // a lease and the guard time have passed since its last answer
                    routers[index].hasLeaderContact = false;
                    routers[index].mayHaveLeaderContact = false;
                    inFlight.replaceAll(f -> f.to() != index
                            ? f
                            : new DelayedPacket(index, f.instance(), f.fromLeader(), f.inForce(), f.plan(), false));
                }
                case "kill" -> {
                    routers[index].alive = false;
                    routers[index].hasLeaderContact = false;
                    routers[index].mayHaveLeaderContact = false;
                    if (leaderIndex == index) {
                        stepDownLeader();
                    }
                }
                case "start" -> {
                    Router fresh = new Router();
                    fresh.instance = routers[index].instance + 1;
                    routers[index] = fresh;
                }
                case "done" -> {
                    doneCommands.put((long) index, outMembers.remove((long) index));
                }
                default -> throw new AssertionError(action);
            }
            operatorActs();
        }

        private void stepDownLeader() {
            routers[leaderIndex].leader.stepDown();
            leaderIndex = -1;
        }

        /** Delivers a router's report to the leader, which proceeds and answers. */
        private DelayedPacket report(int r) {
            Router router = routers[r];
            routers[leaderIndex].leader.recordReport(
                    "r" + r,
                    new PlanLeader.Report(
                            router.instance,
                            router.term,
                            router.planStore.newest().stamp(),
                            router.planStore.applied().stamp(),
                            router.planStore.recovered()));
            runLeader();
            PlanLeader leader = routers[leaderIndex].leader;
            router.term = Math.max(router.term, term);
            if (leader.inForce() > 0) {
                router.mayHaveLeaderContact = true;
            }
            return new DelayedPacket(r, router.instance, leader.inForce() > 0, leader.inForce(), null, true);
        }

        private java.util.Optional<DelayedPacket> pieces(int r) {
            Plan held = routers[leaderIndex].planStore.newest();
            return routers[leaderIndex].leader.hasFinishedReading()
                            && held.stamp() > routers[r].planStore.newest().stamp()
                    ? java.util.Optional.of(new DelayedPacket(r, 0, false, 0, held, true))
                    : java.util.Optional.empty();
        }

        private void arrive(DelayedPacket packet) {
            Router router = routers[packet.to()];
            if (!router.alive) {
                return;
            }
            if (packet.plan() != null) {
                router.planStore.store(packet.plan());
            } else if (packet.fromLeader() && packet.instance() == router.instance) {
                router.planStore.confirmInForce(packet.inForce());
                if (router.planStore.applied().stamp() >= packet.inForce() && packet.inTime()) {
                    router.hadLeaderContact = true;
                    router.hasLeaderContact = true;
                }
            }
        }

        private void runLeader() {
            PlanLeader leader = routers[leaderIndex].leader;
            for (int i = 0; i < 4; i++) {
                leader.advance(term, ROUTERS, false);
                if (leader.inForce() > 0) {
                    routers[leaderIndex].hadLeaderContact = true;
                    routers[leaderIndex].hasLeaderContact = true;
                    routers[leaderIndex].mayHaveLeaderContact = true;
                }
                if (leader.stage() != PlanLeader.Stage.SETTLED) {
                    return;
                }
                Plan held = routers[leaderIndex].planStore.newest();
                Plan next = held;
                if (!held.containsRequest(1)) {
                    Map<Long, MemberKind> tiers = new TreeMap<>();
                    for (long member = 0; member < MEMBERS; member++) {
                        tiers.put(member, MemberKind.CACHE);
                    }
                    next = PlanTransitions.afterCommand(
                                    next,
                                    new DrainCommand(DrainCommand.Kind.REQUEST, 1, 1, 1, 0, List.of(0L, 1L, 2L, 3L)),
                                    tiers,
                                    leader.nextStamp(),
                                    0)
                            .plan();
                }
                for (Map.Entry<Long, Long> done : doneCommands.entrySet()) {
                    next = PlanTransitions.afterCommand(
                                    next,
                                    new DrainCommand(
                                            DrainCommand.Kind.DONE, 9, 0, 0, done.getValue(), List.of(done.getKey())),
                                    Map.of(),
                                    leader.nextStamp(),
                                    0)
                            .plan();
                }
                next = PlanTransitions.next(next, leader.nextStamp(), 0, 2, this)
                        .plan();
                if (next == held) {
                    return;
                }
                leader.write(next);
            }
        }

        /** The operator acts on what any router shows to be in force. */
        private void operatorActs() {
            for (Router router : routers) {
                for (DrainOrder order : router.planStore.applied().orders()) {
                    if (router.alive && order.phase() == Phase.OUT && seenFences.add(order.fence())) {
                        assertTrue(outMembers.put(order.member(), order.fence()) == null, "a member went out twice");
                    }
                }
            }
        }

        /** Checks the invariants of every state. */
        void check(List<String> path) {
            assertTrue(outMembers.size() <= 1, () -> "out at the same time: " + outMembers + " after " + path);
            for (Router router : routers) {
                assertTrue(
                        router.planStore.applied().out() <= 1,
                        () -> "more members out than allowed: " + router.planStore.applied() + " after " + path);
                for (long member : outMembers.keySet()) {
                    Phase phase = router.planStore
                            .applied()
                            .orderFor(member)
                            .map(DrainOrder::phase)
                            .orElse(Phase.FINISHED);
                    boolean avoided = phase == Phase.DRAINING
                            || phase == Phase.OUT
                            || phase == Phase.NAMED && !router.hasLeaderContact;
                    assertTrue(
                            !router.alive || !router.hadLeaderContact || avoided,
                            () -> "member " + member + " is out but still used: " + router.planStore.applied()
                                    + " after " + path);
                }
            }
        }

        String digest() {
            StringBuilder all = new StringBuilder()
                    .append(leaderIndex)
                    .append(' ')
                    .append(term)
                    .append(outMembers)
                    .append(doneCommands)
                    .append(inFlight);
            for (Router router : routers) {
                all.append(router.alive)
                        .append(router.hadLeaderContact)
                        .append(router.hasLeaderContact)
                        .append(router.mayHaveLeaderContact)
                        .append(router.instance)
                        .append(' ')
                        .append(router.term)
                        .append(router.planStore.newest())
                        .append(router.planStore.applied().stamp())
                        .append(router.planStore.recovered())
                        .append(router.leader.stage())
                        .append(router.leader.inForce());
                for (int i = 0; i < ROUTERS; i++) {
                    all.append(router.leader.report("r" + i));
                }
            }
            return all.toString();
        }
    }

    private static Model replay(List<String> path) {
        Model model = new Model();
        path.forEach(model::act);
        return model;
    }

    /** Checks every state reachable after the start path, those with fewer actions first, up to the bound. */
    private static void explore(List<String> start, boolean reachesOut) {
        Set<Integer> seen = new HashSet<>();
        Deque<List<String>> next = new ArrayDeque<>(List.of(start));
        int states = 0;
        int statesWithMemberOut = 0;
        while (!next.isEmpty() && states < MAX_STATES) {
            List<String> path = next.poll();
            Model model = replay(path);
            model.check(path);
            states++;
            statesWithMemberOut += model.outMembers.isEmpty() ? 0 : 1;
            for (String action : model.actions()) {
                List<String> longer = new ArrayList<>(path);
                longer.add(action);
                if (seen.add(replay(longer).digest().hashCode())) {
                    next.add(longer);
                }
            }
        }
        assertTrue(states > 1_000, "enough states were explored");
        assertTrue(!reachesOut || statesWithMemberOut > 0, "some member went out on some path");
    }

    private static final List<String> FIRST_MEMBER_NAMED = List.of("elect 0", "talk 1", "talk 2", "talk 1", "talk 2");

    @Test
    void invariantsHoldFromTheStart() {
        explore(List.of(), false);
    }

    @Test
    void invariantsHoldWhileAMemberIsNamed() {
        explore(FIRST_MEMBER_NAMED, true);
    }

    @Test
    void invariantsHoldWhileAMemberIsOut() {
        List<String> path = new ArrayList<>(FIRST_MEMBER_NAMED);
        for (int i = 0; i < 8 && replay(path).outMembers.isEmpty(); i++) {
            path.add("talk " + (1 + i % 2));
        }
        assertTrue(!replay(path).outMembers.isEmpty(), "a member is out after " + path);
        explore(path, true);
    }

    @Test
    void invariantsHoldAfterTheWorkIsDoneUnderAnotherLeader() {
        List<String> path = new ArrayList<>(FIRST_MEMBER_NAMED);
        for (int i = 0; i < 8 && replay(path).outMembers.isEmpty(); i++) {
            path.add("talk " + (1 + i % 2));
        }
        path.addAll(List.of(
                "late 2",
                "leave",
                "done " + replay(path).outMembers.keySet().iterator().next(),
                "elect 1",
                "talk 0"));
        explore(path, false);
    }
}
