package pumicemoor.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicemoor.lab.LoadClients.Done;
import pumicemoor.lab.LoadClients.End;

/**
 * Finds broken rules in what clients and caches have recorded, with bookkeeping of its own of what was told and done to
 * the routers. It knows nothing of the program. Times are milliseconds of the record.
 */
final class SoakChecker {

    private static final long SLACK = 50; // milliseconds by which every limit on sockets is longer

    private static final long STILL_AN_ANSWER = 500; // milliseconds past its time; later it is lost

    private final long drainGrace;
    private final long lostAfter;
    private final Map<String, List<long[]>> drains = new TreeMap<>(); // from, until
    private final List<Long> kills = new ArrayList<>();

    /** The grace period after a drain, and the time that clients give a request. */
    SoakChecker(long drainGrace, long deadline) {
        this.drainGrace = drainGrace;
        this.lostAfter = deadline + STILL_AN_ANSWER + SLACK;
    }

    void drained(String member, long at) {
        drains.computeIfAbsent(member, m -> new ArrayList<>()).add(new long[] {at, Long.MAX_VALUE});
    }

    void active(String member, long at) {
        List<long[]> all = drains.get(member);
        all.get(all.size() - 1)[1] = at;
    }

    void killed(long at) {
        kills.add(at);
    }

    /** A line for each break; empty where all rules were kept. */
    List<String> breaks(List<Record.Asked> asked, List<Done> done) {
        List<String> breaks = new ArrayList<>();
        for (Record.Asked a : asked) {
            for (long[] drain : drains.getOrDefault(a.member(), List.of())) {
                if (a.at() > drain[0] + drainGrace + SLACK && a.at() < drain[1]) {
                    breaks.add("drain: " + a + ", told at " + drain[0]);
                }
            }
        }
        for (Done d : done) {
            if (d.end() == End.TWICE || d.end() == End.LATE && tooLate(d) || d.end() == End.LOST && !mayBeLost(d)) {
                breaks.add("answers: " + d);
            }
        }
        return breaks;
    }

    /** An answer that nobody had asked for has no time of its own. */
    private boolean tooLate(Done d) {
        return d.micros() == 0 || d.micros() / 1_000 > lostAfter;
    }

    /** What a killed process had taken is lost with it. */
    private boolean mayBeLost(Done d) {
        return kills.stream().anyMatch(k -> k >= d.at() - SLACK && k <= d.at() + lostAfter);
    }
}
