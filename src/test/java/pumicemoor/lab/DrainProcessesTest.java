package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.LoadClients.Done;
import pumicemoor.lab.LoadClients.End;
import pumicemoor.lab.Record.Asked;

/**
 * Every cache of a tier is taken out for work, under load, while the routers' processes are killed, paused and split;
 * judged by the stand-in caches' own records.
 */
class DrainProcessesTest {

    private static final int ROUTERS = 5;
    private static final int CACHES = 6;
    private static final int AT_ONCE = 2;
    private static final int SERVING = 4;
    private static final double STEP = 0.2; // seconds between looks of the operator
    private static final long WORK = 2_000; // milliseconds on each member
    private static final String FLEET =
            """
              period-ms: 100
              lease-ms: 1500
              guard-ms: 150
              drains: {least-ms: 300, drain-ms: 2000, gone-ms: 60000}
            """;

    @TempDir
    Path folder;

    /** One time that a member was out: from when a router first said so until its work was done, by the record's clock. */
    private record Out(String member, long from, long to) {}

    /** The operator, or the program that stands in for one: goes by what any router shows as confirmed. */
    private static final class Operator {
        private final FleetRig rig;
        private final Map<String, Long> down = new HashMap<>(); // since when, by the record's clock
        private final Map<String, Object> fences = new HashMap<>();
        private final Set<String> toTell = new TreeSet<>();
        private final Set<String> seen = new HashSet<>();
        private final List<Out> outs = new ArrayList<>();
        private final List<long[]> serving = new ArrayList<>(); // at milliseconds, so many caches
        private int mostOut;

        Operator(FleetRig rig) {
            this.rig = rig;
        }

        void look() throws Exception {
            for (int r = 0; r < ROUTERS; r++) {
                for (Map<String, Object> row : rig.rows(r, "drains")) {
                    String member = (String) row.get("member");
                    if (row.get("phase").equals("out")
                            && (Boolean) row.get("confirmed")
                            && seen.add(member + row.get("fence"))) {
                        assertTrue(down.put(member, rig.record.now()) == null, "it is out already");
                        fences.put(member, row.get("fence"));
                    }
                    if (!row.get("phase").equals("out")
                            && ((Number) row.get("fence")).longValue()
                                    > ((Number) fences.getOrDefault(member, Long.MAX_VALUE)).longValue()) {
                        toTell.remove(member);
                    }
                }
            }
            mostOut = Math.max(mostOut, down.size());
            serving.add(new long[] {rig.record.now(), CACHES - down.size()});
            for (String member : List.copyOf(down.keySet())) {
                if (rig.record.now() - down.get(member) >= WORK) {
                    outs.add(new Out(member, down.remove(member), rig.record.now()));
                    rig.restart(member);
                    toTell.add(member);
                }
            }
            for (String member : toTell) {
                for (int r = 0; r < ROUTERS; r++) {
                    if (!rig.away.contains(r)) {
                        rig.command(
                                r,
                                Map.of(
                                        "drain",
                                        "done",
                                        "id",
                                        Integer.toHexString(member.hashCode()),
                                        "members",
                                        member,
                                        "fence",
                                        fences.get(member).toString()));
                    }
                }
            }
        }

        void play(double seconds) throws Exception {
            for (double left = seconds; left > 0; left -= STEP) {
                rig.play(STEP);
                look();
            }
        }
    }

    private static Map<String, String> request(String id) {
        return Map.of(
                "drain",
                "request",
                "id",
                id,
                "members",
                "box-0,box-1,box-2,box-3,box-4,box-5",
                "max-at-once",
                Integer.toString(AT_ONCE),
                "min-serving",
                Integer.toString(SERVING));
    }

    private static boolean ended(FleetRig rig, String id) {
        for (int r = 0; r < ROUTERS; r++) {
            if (rig.rows(r, "drain-requests").stream()
                    .noneMatch(x -> x.get("id").equals(id) && x.get("state").equals("ended"))) {
                return false;
            }
        }
        return true;
    }

    @Test
    void aTierIsMaintainedWhileRoutersDieAndSplit() throws Exception {
        try (FleetRig rig = new FleetRig(folder, ROUTERS, CACHES, 200, 1_000, FLEET)) {
            Operator operator = new Operator(rig);
            operator.play(4);
            for (Map<String, String> wrong : List.of(
                    Map.of("max-at-once", "0"),
                    Map.of("max-at-once", "7"),
                    Map.of("min-serving", "7"),
                    Map.of("members", "box-9"),
                    Map.of("cluster", "another"))) {
                Map<String, String> fields = new HashMap<>(request("9"));
                fields.putAll(wrong);
                String said = rig.command(1, fields);
                assertTrue(
                        said.startsWith("refused: " + wrong.keySet().iterator().next() + ": "), said);
            }
            assertTrue(rig.command(3, request("a1")).startsWith("waits"));
            operator.play(2);
            assertTrue(rig.command(2, request("a1")).startsWith("waits")); // the same again, elsewhere
            rig.network.cut((from, to) -> from < 2 != to < 2);
            operator.play(5);
            rig.network.cut((from, to) -> false);
            rig.network.weather(0.2, 0.2, 60);
            rig.away.add(4);
            rig.routers.get(4).kill();
            operator.play(2);
            rig.away.add(0);
            long paused = rig.record.now();
            rig.routers.get(0).signal("STOP");
            operator.play(4);
            rig.routers.get(0).signal("CONT");
            long resumed = rig.record.now();
            rig.start(4);
            rig.network.weather(0, 0, 0);
            operator.play(3);
            rig.away.clear();
            for (int wait = 0; wait < 300 && !(ended(rig, "a1") && operator.toTell.isEmpty()); wait++) {
                operator.play(STEP); // a slow machine takes longer, and no bound is on that
            }
            assertTrue(ended(rig, "a1"), () -> rig.rows(1, "drains") + " " + rig.rows(1, "drain-requests"));
            judge(rig, operator, paused, resumed);
        }
    }

    /** Caches serving over time as a picture, the stretch marked in which a process was stopped. */
    private static String plot(List<long[]> serving, long paused, long resumed) {
        long from = serving.get(0)[0];
        StringBuilder line = new StringBuilder();
        serving.forEach(s -> line.append(line.isEmpty() ? "M" : "H")
                .append(40 + (s[0] - from) / 40)
                .append(line.length() < 9 ? " " : "V")
                .append(170 - 20 * s[1])
                .append(' '));
        return "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='200' font-family='sans-serif' font-size='11'>"
                        .formatted(80 + (serving.get(serving.size() - 1)[0] - from) / 40)
                + "<rect x='%d' y='30' width='%d' height='140' fill='#eee'/>"
                        .formatted(40 + (paused - from) / 40, (resumed - paused) / 40)
                + "<text x='40' y='18'>caches that serve, of %d; at least %d; grey: one router stopped; 25 pixels a second</text>"
                        .formatted(CACHES, SERVING)
                + "<path d='M40 %d H2000' stroke='#c00' stroke-dasharray='4'/><path d='%s' fill='none' stroke='#036'/>"
                        .formatted(170 - 20 * SERVING, line.toString().strip())
                + "<text x='20' y='54'>6</text><text x='20' y='94'>4</text><text x='20' y='174'>0</text></svg>\n";
    }

    private static void judge(FleetRig rig, Operator operator, long paused, long resumed) throws Exception {
        Files.writeString(Path.of("target", "drain-serving.svg"), plot(operator.serving, paused, resumed));
        assertEquals(CACHES, operator.outs.size(), () -> "each was out once: " + operator.outs);
        assertEquals(CACHES, operator.outs.stream().map(Out::member).distinct().count());
        assertTrue(operator.mostOut <= AT_ONCE, () -> operator.mostOut + " were out at once");
        for (Out out : operator.outs) {
            List<Asked> asked = rig.record.asked().stream()
                    .filter(a -> a.member().equals(out.member()) && a.at() >= out.from() && a.at() < out.to())
                    .toList();
            assertEquals(List.of(), asked, () -> "asked while it was out: " + out);
        }
        // the last request was made when all were back: they serve again
        long last = operator.outs.stream().mapToLong(Out::to).max().orElseThrow();
        rig.play(4);
        assertEquals(
                CACHES,
                rig.record.asked().stream()
                        .filter(a -> a.at() > last && a.member().startsWith("box-"))
                        .map(Asked::member)
                        .distinct()
                        .count(),
                "every cache is asked again");
        Thread.sleep(2_000);
        rig.clients.finish();
        List<Done> done = rig.clients.done();
        Map<End, Long> ends = new HashMap<>();
        done.forEach(d -> ends.merge(d.end(), 1L, Long::sum));
        // a process that is stopped answers nobody in time; all other answers come in time, and none twice
        assertEquals(
                0,
                ends.getOrDefault(End.TWICE, 0L)
                        + done.stream()
                                .filter(d -> d.end() == End.LATE && (d.at() < paused - 1_500 || d.at() > resumed))
                                .count(),
                ends::toString);
        Files.writeString(Path.of("target", "drain-ends.txt"), ends + "\n" + operator.outs + "\n");
        // what a killed or paused router owed may be lost: some moments of a fifth of the requests
        assertTrue(ends.getOrDefault(End.SERVED, 0L) > 0.95 * done.size(), ends::toString);
    }
}
