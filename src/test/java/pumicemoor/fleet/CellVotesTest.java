package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/**
 * Election of one leader over all cells: a cell's grantor contributes the votes of the routers that are bound to it for
 * long enough, and there is never more than one leader.
 */
class CellVotesTest {

    private static final long LEASE_MICROS = 1_000;
    // how long a vote binds a router to its cell's grantor
    private static final long CELL_VOTE_MICROS = 3 * LEASE_MICROS;
    // how long a vote binds a cell's grantor to the leader
    private static final long UPPER_VOTE_MICROS = 2 * LEASE_MICROS;

    @Test
    void votesCountWithTheirWeightAndTheOwnVoteWithItsBacking() {
        LeaderElection leader = new LeaderElection("k", UPPER_VOTE_MICROS, 0);
        leader.recordSent(2_000, "a", 1);
        assertTrue(leader.vote(2_000, "k", 1));
        leader.receiveReport("a", 1, true, 1, 0, 4);
        assertFalse(leader.inOffice(2_100, 10, new LeaderElection.Backing(1, 9)), "five of ten are not more than half");
        assertTrue(
                leader.inOffice(2_100, 9, LeaderElection.Backing.ONE) || leader.ownTerm() == 1,
                "five of nine are, so a term begins");
        assertEquals(1, leader.ownTerm());
        leader.receiveReport("a", 1, true, 1, 1, 4);
        assertTrue(
                leader.inOffice(2_100, 9, new LeaderElection.Backing(1, 1)),
                "now more than half of the routers know the term");
        assertFalse(
                leader.inOffice(2_100, 9, new LeaderElection.Backing(1, 0)),
                "four of nine routers that know the term are not enough");
        assertFalse(leader.inOffice(4_000, 9, new LeaderElection.Backing(1, 1)), "a vote expires, whatever its weight");
    }

    @Test
    void aLateReportNeverIncreasesAnEarlierPromise() {
        LeaderElection leader = new LeaderElection("k", UPPER_VOTE_MICROS, 0);
        leader.vote(2_000, "k", 1);
        leader.recordSent(2_000, "a", 1);
        leader.recordSent(3_000, "a", 2);
        leader.receiveReport("a", 1, true, 2, 0, 3);
        leader.receiveReport("a", 1, true, 1, 0, 9); // an older report for more routers that arrives late
        assertFalse(
                leader.inOffice(3_100, 10, LeaderElection.Backing.ONE), "at most three are bound until the later end");
        leader.receiveReport("a", 1, true, 1, 0, 2);
        leader.inOffice(3_100, 6, LeaderElection.Backing.ONE);
        assertEquals(0, leader.ownTerm(), "two votes and its own are not more than half of six");
        leader.inOffice(3_100, 5, LeaderElection.Backing.ONE);
        assertEquals(1, leader.ownTerm(), "they are more than half of five");
    }

    @Test
    void backingCountsOnlyRoutersThatAreBoundForLongEnough() {
        LeaderElection grantor = new LeaderElection("g", CELL_VOTE_MICROS, 0);
        grantor.recordSent(3_000, "a", 1);
        grantor.recordSent(4_000, "b", 2);
        grantor.receiveReport("a", 1, true, 1, 7);
        grantor.receiveReport("b", 1, true, 2, 5);
        grantor.receiveReport("c", 1, true, 1, 9); // has seen no packet of this grantor
        grantor.receiveReport("d", 1, false, 1, 9);
        assertEquals(new LeaderElection.Backing(2, 5), grantor.backing(5_999));
        assertEquals(new LeaderElection.Backing(1, 5), grantor.backing(6_000), "a is bound only until then");
        assertEquals(0, grantor.backing(7_000).routers());
        assertTrue(grantor.vote(3_500, "g", 1));
        assertEquals(3, grantor.backing(5_999).routers(), "this router is included");
    }

    /** A leader in term 1 with its own vote and those of four others, of nine routers. */
    private static LeaderElection leaderInTermOne() {
        LeaderElection leader = new LeaderElection("k", UPPER_VOTE_MICROS, 0);
        leader.vote(2_000, "k", 1);
        leader.recordSent(2_000, "a", 1);
        leader.receiveReport("a", 1, true, 1, 0, 4);
        leader.inOffice(2_050, 9, new LeaderElection.Backing(1, 0));
        leader.receiveReport("a", 1, true, 1, 1, 4);
        assertTrue(leader.inOffice(2_100, 9, new LeaderElection.Backing(1, 1)));
        assertEquals(1, leader.ownTerm());
        assertEquals(2_050, leader.officeSince());
        return leader;
    }

    /** A router that is not the grantor for a while does not check its votes; they expire all the same. */
    @Test
    void aLeaderWhoseVotesExpiredUnnoticedReturnsInANewTerm() {
        LeaderElection leader = leaderInTermOne();
        leader.observeTerm(2); // another router's term of office has begun, and may be over
        leader.vote(9_000, "k", 1);
        leader.recordSent(9_000, "a", 2);
        leader.receiveReport("a", 1, true, 2, 2, 4);
        leader.inOffice(9_100, 9, new LeaderElection.Backing(1, 2));
        assertEquals(3, leader.ownTerm(), "above all terms that were known");
        assertEquals(9_100, leader.officeSince(), "it cannot know what another leader decided in between");
    }

    /** The same if no other leader is known: the votes expired, so there may have been one. */
    @Test
    void anOfficeThatExpiredUnnoticedStartsANewTermThoughNoOtherIsKnown() {
        LeaderElection leader = leaderInTermOne();
        leader.vote(9_000, "k", 1);
        leader.recordSent(9_000, "a", 2);
        leader.receiveReport("a", 1, true, 2, 1, 4);
        leader.inOffice(9_100, 9, new LeaderElection.Backing(1, 1));
        assertEquals(2, leader.ownTerm());
        assertEquals(9_100, leader.officeSince());
    }

    private static final class Process {
        final String name;
        long instance;
        int cell;
        int grantorIndex; // the index of the router that it considers its cell's grantor
        int leaderIndex; // the index of the router that it considers the leader
        LeaderElection cellElection;
        LeaderElection upperElection;

        Process(int number, int cell) {
            this.name = "r" + number;
            this.cell = cell;
            start(0);
        }

        void start(long now) {
            instance++;
            cellElection = new LeaderElection(name, CELL_VOTE_MICROS, now);
            upperElection = new LeaderElection(name, UPPER_VOTE_MICROS, now);
        }
    }

    @Property(tries = 60, seed = "5201", shrinking = ShrinkingMode.OFF)
    void neverTwoLeadersOfAllCells(@ForAll long seed) {
        play(seed, true, false);
    }

    @Property(tries = 60, seed = "5202", shrinking = ShrinkingMode.OFF)
    void termsRiseWithoutRestarts(@ForAll long seed) {
        play(seed, false, false);
    }

    /** As in the fleet, where a router that considers another one the upper grantor need not check its votes. */
    @Property(tries = 60, seed = "5203", shrinking = ShrinkingMode.OFF)
    void termsRiseThoughALeaderDoesNotAlwaysCheckItsOffice(@ForAll long seed) {
        play(seed, false, true);
    }

    /**
     * Reports and answers are lost, delayed and duplicated on both levels, the candidates change at random, and routers
     * move between cells.
     */
    private static void play(long seed, boolean restarts, boolean skipChecks) {
        Random random = new Random(seed);
        int cells = 2 + random.nextInt(3);
        List<Process> all = new ArrayList<>();
        for (int i = 0; i < cells + random.nextInt(8); i++) {
            all.add(new Process(i, i % cells));
        }
        all.forEach(p -> chooseGrantor(p, all, random));
        List<Runnable> inFlight = new ArrayList<>();
        long now = 0;
        long number = 1;
        long lastTerm = 0;
        Process lastLeader = null;
        for (int step = 0; step < 4_000; step++) {
            now += random.nextInt(2_000 / (10 * all.size()));
            if (random.nextInt(60 * all.size()) == 0) {
                int to = random.nextInt(all.size());
                all.forEach(process -> {
                    chooseGrantor(process, all, random);
                    process.leaderIndex = random.nextInt(4) == 0 ? random.nextInt(all.size()) : to;
                });
            }
            Process process = all.get(random.nextInt(all.size()));
            if (restarts && random.nextInt(500) == 0) {
                process.start(now);
                lastLeader = lastLeader == process ? null : lastLeader;
            }
            if (random.nextInt(800) == 0) {
                process.cell = random.nextInt(cells);
                process.cellElection = new LeaderElection(process.name, CELL_VOTE_MICROS, now);
                process.cellElection.observeTerm(process.upperElection.term());
                chooseGrantor(process, all, random);
            }
            process.cellElection.observeTerm(process.upperElection.term());
            process.upperElection.observeTerm(process.cellElection.term());
            Process to = all.get(process.grantorIndex);
            boolean vote = process.cellElection.vote(now, to.name, to.instance);
            if (to != process) {
                send(
                        inFlight,
                        random,
                        now,
                        ++number,
                        process,
                        process.cellElection,
                        to,
                        to.cellElection,
                        vote,
                        process.cellElection.term(),
                        1);
            } else {
                to = all.get(process.leaderIndex);
                vote = process.upperElection.vote(now, to.name, to.instance);
                LeaderElection.Backing backing = process.cellElection.backing(now + UPPER_VOTE_MICROS);
                if (to != process) {
                    send(
                            inFlight,
                            random,
                            now,
                            ++number,
                            process,
                            process.upperElection,
                            to,
                            to.upperElection,
                            vote,
                            Math.min(backing.term(), process.upperElection.term()),
                            backing.routers());
                }
            }
            for (int k = random.nextInt(6); k > 0 && !inFlight.isEmpty(); k--) {
                inFlight.remove(random.nextInt(Math.min(inFlight.size(), 6))).run();
            }
            int leaders = 0;
            for (Process candidate : all) {
                if (skipChecks && candidate.leaderIndex != all.indexOf(candidate)) {
                    continue; // a router that considers another one the upper grantor does not check its own office
                }
                if (candidate.upperElection.inOffice(now, all.size(), candidate.cellElection.backing(now))) {
                    leaders++;
                    if (candidate != lastLeader || candidate.upperElection.ownTerm() != lastTerm) {
                        assertTrue(restarts || candidate.upperElection.ownTerm() > lastTerm, "terms rise");
                        lastTerm = candidate.upperElection.ownTerm();
                        lastLeader = candidate;
                    }
                }
            }
            assertTrue(leaders <= 1, "two leaders at once");
        }
        assertTrue(lastTerm > 0, "some router was the leader");
    }

    /** Chooses a router of its cell as the grantor, mostly the first one. */
    private static void chooseGrantor(Process process, List<Process> all, Random random) {
        List<Process> cellMembers =
                all.stream().filter(m -> m.cell == process.cell).toList();
        process.grantorIndex =
                all.indexOf(cellMembers.get(random.nextInt(4) == 0 ? random.nextInt(cellMembers.size()) : 0));
    }

    private static void send(
            List<Runnable> inFlight,
            Random random,
            long now,
            long number,
            Process from,
            LeaderElection voter,
            Process to,
            LeaderElection leader,
            boolean vote,
            long knownTerm,
            int weight) {
        if (random.nextInt(5) == 0) {
            return;
        }
        long lastSeen = voter.lastSeen(to.name, to.instance);
        long term = voter.term();
        long fromInstance = from.instance;
        long toInstance = to.instance;
        Runnable report = () -> {
            leader.observeTerm(term);
            leader.receiveReport(from.name, fromInstance, vote, lastSeen, knownTerm, weight);
        };
        inFlight.add(report);
        leader.recordSent(now, from.name, number);
        inFlight.add(() -> {
            voter.observeTerm(leader.term());
            voter.recordSeen(to.name, toInstance, number);
        });
        if (random.nextInt(5) == 0) {
            inFlight.add(report);
        }
    }
}
