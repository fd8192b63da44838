package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** There is never more than one leader, and each term of office has a higher number than the one before. */
class VotesTest {

    private static final long LEASE_MICROS = 1_000;

    @Test
    void aVoteBindsItsVoterAndARestartedProcessHasNone() {
        LeaderElection election = new LeaderElection("a", LEASE_MICROS, 0);
        assertFalse(election.vote(LEASE_MICROS - 1, "b", 1), "it may have voted before it was restarted");
        assertTrue(election.vote(LEASE_MICROS, "b", 1));
        assertFalse(election.vote(2 * LEASE_MICROS - 1, "c", 1));
        assertFalse(election.vote(2 * LEASE_MICROS - 1, "b", 2), "another process of that name is another candidate");
        assertTrue(election.vote(2 * LEASE_MICROS - 1, "b", 1));
        assertTrue(election.vote(3 * LEASE_MICROS, "c", 1));
    }

    /** Votes and grants are lost, delayed and duplicated, the candidates change at random, and processes restart. */
    @Property(tries = 300, seed = "31")
    void neverTwoLeadersAndTermsRise(@ForAll long seed) {
        Random random = new Random(seed);
        int routerCount = 3 + random.nextInt(5);
        List<LeaderElection> routers = new ArrayList<>();
        List<Runnable> inFlight = new ArrayList<>();
        int[] candidate = new int[routerCount];
        long[] instances = new long[routerCount];
        long now = 0;
        long number = 1;
        long lastTerm = 0;
        int lastLeader = -1;
        for (int i = 0; i < routerCount; i++) {
            routers.add(new LeaderElection("r" + i, LEASE_MICROS, now));
        }
        for (int step = 0; step < 3_000; step++) {
            now += random.nextInt(20);
            long at = now;
            int i = random.nextInt(routerCount);
            if (random.nextInt(60) == 0) {
                int to = random.nextInt(routerCount);
                for (int k = 0; k < routerCount; k++) {
                    candidate[k] = random.nextInt(4) == 0 ? random.nextInt(routerCount) : to;
                }
            }
            if (random.nextInt(400) == 0) {
                instances[i]++;
                routers.set(i, new LeaderElection("r" + i, LEASE_MICROS, now));
                if (lastLeader == i) {
                    lastLeader = -1;
                }
            }
            int to = candidate[i];
            boolean vote = routers.get(i).vote(now, "r" + to, instances[to]);
            if (to != i && random.nextInt(4) > 0) {
                LeaderElection voter = routers.get(i);
                LeaderElection leader = routers.get(to);
                long lastSeen = voter.lastSeen("r" + to, instances[to]);
                long term = voter.term();
                long grant = ++number;
                String name = "r" + i;
                String leaderName = "r" + to;
                long leaderInstance = instances[to];
                long voterInstance = instances[i];
                Runnable report = () -> leader.receiveReport(name, voterInstance, vote, lastSeen, term);
                Runnable answer = () -> {
                    voter.observeTerm(leader.term());
                    voter.recordSeen(leaderName, leaderInstance, grant);
                };
                inFlight.add(report);
                leader.recordSent(at, name, grant);
                inFlight.add(answer);
                if (random.nextInt(5) == 0) {
                    inFlight.add(report);
                }
            }
            for (int k = random.nextInt(4); k > 0 && !inFlight.isEmpty(); k--) {
                inFlight.remove(random.nextInt(Math.min(inFlight.size(), 6))).run();
            }
            int leaders = 0;
            for (int k = 0; k < routerCount; k++) {
                if (routers.get(k).inOffice(now, routerCount)) {
                    leaders++;
                    if (k != lastLeader || routers.get(k).ownTerm() != lastTerm) {
                        assertTrue(routers.get(k).ownTerm() > lastTerm, "terms rise");
                        lastTerm = routers.get(k).ownTerm();
                        lastLeader = k;
                    }
                }
            }
            assertTrue(leaders <= 1, "two leaders at once");
        }
        assertTrue(lastTerm > 0, "some router was the leader");
    }
}
