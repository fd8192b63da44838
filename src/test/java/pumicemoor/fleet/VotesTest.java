package pumicemoor.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** There is never more than one keeper, and each time in office has a higher term than the one before. */
class VotesTest {

    private static final long LEASE = 1_000;

    @Test
    void aVoteBindsItsGiverAndAFreshProcessHasNone() {
        Votes votes = new Votes("a", LEASE, 0);
        assertFalse(votes.vote(LEASE - 1, "b", 1), "it may have voted before it was started anew");
        assertTrue(votes.vote(LEASE, "b", 1));
        assertFalse(votes.vote(2 * LEASE - 1, "c", 1));
        assertFalse(votes.vote(2 * LEASE - 1, "b", 2), "another process of that name is another");
        assertTrue(votes.vote(2 * LEASE - 1, "b", 1));
        assertTrue(votes.vote(3 * LEASE, "c", 1));
    }

    /** Votes and grants that are lost, late and doubled, views that change at random, processes that start anew. */
    @Property(tries = 300, seed = "31")
    void neverTwoKeepersAndTermsRise(@ForAll long seed) {
        Random random = new Random(seed);
        int n = 3 + random.nextInt(5);
        List<Votes> routers = new ArrayList<>();
        List<Runnable> flying = new ArrayList<>();
        int[] view = new int[n];
        long[] instance = new long[n];
        long now = 0;
        long number = 1;
        long lastTerm = 0;
        int last = -1;
        for (int i = 0; i < n; i++) {
            routers.add(new Votes("r" + i, LEASE, now));
        }
        for (int step = 0; step < 3_000; step++) {
            now += random.nextInt(20);
            long at = now;
            int i = random.nextInt(n);
            if (random.nextInt(60) == 0) {
                int to = random.nextInt(n);
                for (int k = 0; k < n; k++) {
                    view[k] = random.nextInt(4) == 0 ? random.nextInt(n) : to;
                }
            }
            if (random.nextInt(400) == 0) {
                instance[i]++;
                routers.set(i, new Votes("r" + i, LEASE, now));
                if (last == i) {
                    last = -1;
                }
            }
            int to = view[i];
            boolean vote = routers.get(i).vote(now, "r" + to, instance[to]);
            if (to != i && random.nextInt(4) > 0) {
                Votes giver = routers.get(i);
                Votes keeper = routers.get(to);
                long seen = giver.seen("r" + to, instance[to]);
                long term = giver.term();
                long grant = ++number;
                String name = "r" + i;
                String keeperName = "r" + to;
                long keeperInstance = instance[to];
                long giverInstance = instance[i];
                Runnable report = () -> keeper.reported(name, giverInstance, vote, seen, term);
                Runnable answer = () -> {
                    giver.heard(keeper.term());
                    giver.saw(keeperName, keeperInstance, grant);
                };
                flying.add(report);
                keeper.sent(at, name, grant);
                flying.add(answer);
                if (random.nextInt(5) == 0) {
                    flying.add(report);
                }
            }
            for (int k = random.nextInt(4); k > 0 && !flying.isEmpty(); k--) {
                flying.remove(random.nextInt(Math.min(flying.size(), 6))).run();
            }
            int keepers = 0;
            for (int k = 0; k < n; k++) {
                if (routers.get(k).inOffice(now, n)) {
                    keepers++;
                    if (k != last || routers.get(k).ownTerm() != lastTerm) {
                        assertTrue(routers.get(k).ownTerm() > lastTerm, "terms rise");
                        lastTerm = routers.get(k).ownTerm();
                        last = k;
                    }
                }
            }
            assertTrue(keepers <= 1, "two keepers at once");
        }
        assertTrue(lastTerm > 0, "somebody was keeper");
    }
}
