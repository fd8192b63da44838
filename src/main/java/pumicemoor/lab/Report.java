package pumicemoor.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import pumicemoor.lab.LoadClients.Done;
import pumicemoor.lab.LoadClients.End;
import pumicemoor.lab.Record.Asked;

/**
 * What a run showed, from the stand-ins' records alone: how requests ended before, during and after each change,
 * what reached the origin, what went in a circle. It is written as Markdown and CSV; what the routers say of
 * themselves stands beside it and proves nothing.
 */
public record Report(
        String name,
        List<Phase> phases,
        int changes,
        int circles,
        int mostFillsAtOrigin,
        int fillsAtOrigin,
        int askedAfterDrain,
        double mostOfColdBudget,
        Map<String, Map<String, String>> status,
        List<String> notes) {

    private static final long DRAIN_GRACE = 1_100; // milliseconds: what the settings allow, and the network
    private static final long LONGEST = 60_000_000; // microseconds in a histogram

    /** Requests asked within one part of the run. */
    public record Phase(String name, long asked, Map<String, Long> ends, double medianMillis, double p99Millis) {

        /** How many ended so; 0 where none did. */
        public long ended(String end) {
            return ends.getOrDefault(end, 0L);
        }

        /** Share of the requests that were served. */
        public double served() {
            return asked == 0 ? 0 : ended("served") / (double) asked;
        }
    }

    static Report of(
            Scenario scenario,
            Record record,
            List<Done> done,
            List<Long> changes,
            long warmed,
            Map<String, Map<String, String>> status,
            Path folder)
            throws IOException {
        Scenario.Change c = scenario.change();
        long span = c.lead() + c.move() + c.gap();
        List<Phase> phases = List.of(
                phase("warming up", done.stream().filter(d -> d.at() < warmed).toList()),
                phase(
                        "between changes",
                        done.stream()
                                .filter(d -> d.at() >= warmed
                                        && changes.stream().noneMatch(at -> d.at() >= at && d.at() < at + span))
                                .toList()),
                phase(
                        "during changes",
                        done.stream()
                                .filter(d -> d.at() >= warmed
                                        && changes.stream().anyMatch(at -> d.at() >= at && d.at() < at + span))
                                .toList()));
        List<Asked> asked = record.asked();
        Map<String, Integer> fills = new HashMap<>(); // object and number of the change before it
        List<String> notes = new ArrayList<>();
        List<Long> cuts = new ArrayList<>(changes); // a hub that starts cold has lost its copies
        record.starts().values().forEach(cuts::addAll);
        int atOrigin = 0;
        for (Asked a : asked) {
            if (a.member().equals("origin") && a.at() >= warmed) {
                atOrigin++;
                long number = cuts.stream().filter(at -> at <= a.at()).count();
                if (fills.merge(a.object() + "#" + number, 1, Integer::sum) == 2 && notes.size() < 20) {
                    notes.add("filled twice at the origin in interval " + number + ": " + a.object() + ", again at "
                            + a.at() + " ms by " + a.from());
                }
            }
        }
        record.circles().stream()
                .limit(20)
                .forEach(x ->
                        notes.add("circle at " + x.at() + " ms: " + x.member() + " " + x.object() + " " + x.how()));
        int drained = (int) asked.stream()
                .filter(a -> record.drainedAt().containsKey(a.member())
                        && a.at() > record.drainedAt().get(a.member()) + DRAIN_GRACE)
                .count();
        Report report = new Report(
                scenario.name(),
                phases,
                changes.size(),
                record.circles().size(),
                fills.values().stream().mapToInt(i -> i).max().orElse(0),
                atOrigin,
                drained,
                coldest(scenario, record, asked),
                status,
                notes);
        Files.writeString(folder.resolve("report.md"), report.markdown());
        Files.writeString(folder.resolve("report.csv"), report.csv());
        StringBuilder events = new StringBuilder("ms,member,from,object\n");
        asked.forEach(a -> events.append(a.at())
                .append(',')
                .append(a.member())
                .append(',')
                .append(a.from())
                .append(',')
                .append(a.object())
                .append('\n'));
        Files.writeString(folder.resolve("asked.csv"), events);
        TreeMap<String, Long> bySecond = new TreeMap<>();
        asked.forEach(a -> bySecond.merge(
                String.format(Locale.ROOT, "%05d,%s,%s", a.at() / 1_000, a.member(), a.from()), 1L, Long::sum));
        StringBuilder seconds = new StringBuilder("second,member,from,asked\n");
        bySecond.forEach(
                (key, count) -> seconds.append(key).append(',').append(count).append('\n'));
        Files.writeString(folder.resolve("seconds.csv"), seconds);
        return report;
    }

    /** The largest part of what a cold hub is sure to bear in a second that one was sent, work counted by fills. */
    private static double coldest(Scenario scenario, Record record, List<Asked> asked) {
        double most = 0;
        long cold = scenario.change().cold();
        for (Map.Entry<String, List<Long>> e : record.starts().entrySet()) {
            for (long start : e.getValue()) {
                for (long at = start; at < start + cold; at += 250) {
                    long from = at;
                    long sent = asked.stream()
                            .filter(a -> a.member().equals(e.getKey()) && a.at() >= from && a.at() < from + 1_000)
                            .count();
                    double share = 0.1 + 0.9 * Math.min(1, (at - start) / (double) cold);
                    double bears = 2 * share * 8 * 1_000.0 / scenario.fillMillis(); // falls over past twice its share
                    most = Math.max(most, sent / bears);
                }
            }
        }
        return most;
    }

    private static Phase phase(String name, List<Done> done) {
        Map<String, Long> ends = new HashMap<>();
        Histogram served = new Histogram(LONGEST, 3);
        for (Done d : done) {
            ends.merge(d.end().name().toLowerCase(Locale.ROOT), 1L, Long::sum);
            if (d.end() == End.SERVED) {
                served.recordValue(Math.min(LONGEST, Math.max(1, d.micros())));
            }
        }
        return new Phase(
                name, done.size(), ends, served.getValueAtPercentile(50) / 1e3, served.getValueAtPercentile(99) / 1e3);
    }

    /** How many requests of all phases ended so. */
    public long ended(String end) {
        return phases.stream().mapToLong(p -> p.ended(end)).sum();
    }

    /** Tables for people. */
    public String markdown() {
        StringBuilder text = new StringBuilder("# " + name + "\n\n"
                + "| requests asked | count | served | refused | failed | lost | late | twice | median ms | p99 ms |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Phase p : phases) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %d | %.4f | %d | %d | %d | %d | %d | %.1f | %.1f |%n",
                    p.name(),
                    p.asked(),
                    p.served(),
                    p.ended("refused"),
                    p.ended("failed"),
                    p.ended("lost"),
                    p.ended("late"),
                    p.ended("twice"),
                    p.medianMillis(),
                    p.p99Millis()));
        }
        text.append("\n| from the stand-ins' records | |\n| --- | --- |\n");
        text.append("| changes of the hierarchy | ").append(changes).append(" |\n");
        text.append("| fills in a circle, or waiting for themselves | ")
                .append(circles)
                .append(" |\n");
        text.append("| fills at the origin after warming up | ")
                .append(fillsAtOrigin)
                .append(" |\n");
        text.append("| most fills of one object at the origin between two changes or cold starts | ")
                .append(mostFillsAtOrigin)
                .append(" |\n");
        text.append("| requests to a drained member after its grace | ")
                .append(askedAfterDrain)
                .append(" |\n");
        text.append(
                String.format(Locale.ROOT, "| most of a cold hub's budget that was used | %.2f |%n", mostOfColdBudget));
        notes.forEach(n -> text.append("\n- ").append(n));
        text.append("\nWhat the routers say of the hierarchy (no proof of anything):\n\n");
        status.forEach((router, fields) -> {
            text.append("- ").append(router).append(":");
            fields.forEach((k, v) -> {
                if (k.startsWith("hierarchy-") && !v.equals("0") && !v.isEmpty()) {
                    text.append(' ')
                            .append(k.substring("hierarchy-".length()))
                            .append('=')
                            .append(v);
                }
            });
            text.append('\n');
        });
        return text.toString();
    }

    /** The same figures for programs. */
    public String csv() {
        StringBuilder text = new StringBuilder("phase,asked,served,refused,failed,lost,late,twice,median_ms,p99_ms\n");
        for (Phase p : phases) {
            text.append(String.format(
                    Locale.ROOT,
                    "%s,%d,%d,%d,%d,%d,%d,%d,%.3f,%.3f%n",
                    p.name(),
                    p.asked(),
                    p.ended("served"),
                    p.ended("refused"),
                    p.ended("failed"),
                    p.ended("lost"),
                    p.ended("late"),
                    p.ended("twice"),
                    p.medianMillis(),
                    p.p99Millis()));
        }
        return text.toString();
    }
}
