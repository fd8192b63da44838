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
import pumicemoor.lab.LoadClients.RequestOutcome;
import pumicemoor.lab.LoadClients.RequestResult;
import pumicemoor.lab.RequestLog.ReceivedRequest;

/**
 * Results of a run, computed from the stand-ins' logs alone: the outcomes of requests between and during topology
 * changes, the fills at the origin, and fill loops. They are written as Markdown and CSV. The status that the routers
 * report is listed as well, but no result is based on it.
 */
public record Report(
        String name,
        List<Phase> phases,
        int changes,
        int fillLoops,
        int maxFillsPerObjectAtOrigin,
        int fillsAtOrigin,
        int requestsAfterDrain,
        double maxSlowStartLoad,
        Map<String, Map<String, String>> status,
        List<String> notes) {

    private static final long DRAIN_GRACE_MILLIS = 1_100; // 1,000 ms that the settings allow, plus the network delay
    private static final long MAX_RECORDED_MICROS = 60_000_000; // highest value of a histogram

    /** Results of the requests that were sent within one part of the run. */
    public record Phase(
            String name, long requests, Map<String, Long> countsByOutcome, double medianMillis, double p99Millis) {

        /** Returns the number of requests with this outcome, given in lower case. */
        public long count(String outcome) {
            return countsByOutcome.getOrDefault(outcome, 0L);
        }

        /** Returns the share of the requests that were served. */
        public double served() {
            return requests == 0 ? 0 : count("served") / (double) requests;
        }
    }

    static Report of(
            Scenario scenario,
            RequestLog requestLog,
            List<RequestResult> results,
            List<Long> changes,
            long warmUpEndMillis,
            Map<String, Map<String, String>> status,
            Path folder)
            throws IOException {
        Scenario.Change change = scenario.change();
        long changeDurationMillis = change.leadMillis() + change.moveMillis() + change.gapMillis();
        List<Phase> phases = List.of(
                phase(
                        "warming up",
                        results.stream()
                                .filter(result -> result.sentAtMillis() < warmUpEndMillis)
                                .toList()),
                phase(
                        "between changes",
                        results.stream()
                                .filter(result -> result.sentAtMillis() >= warmUpEndMillis
                                        && changes.stream()
                                                .noneMatch(atMillis -> result.sentAtMillis() >= atMillis
                                                        && result.sentAtMillis() < atMillis + changeDurationMillis))
                                .toList()),
                phase(
                        "during changes",
                        results.stream()
                                .filter(result -> result.sentAtMillis() >= warmUpEndMillis
                                        && changes.stream()
                                                .anyMatch(atMillis -> result.sentAtMillis() >= atMillis
                                                        && result.sentAtMillis() < atMillis + changeDurationMillis))
                                .toList()));
        List<ReceivedRequest> requests = requestLog.requests();
        // by object and interval, where each topology change and each restart of a member starts an interval
        Map<String, Integer> fillCounts = new HashMap<>();
        List<String> notes = new ArrayList<>();
        List<Long> intervalStarts = new ArrayList<>(changes);
        // a restart starts an interval as well, because a restarted hub has lost its copies
        requestLog.restartMillis().values().forEach(intervalStarts::addAll);
        int atOrigin = 0;
        for (ReceivedRequest request : requests) {
            if (request.member().equals("origin") && request.atMillis() >= warmUpEndMillis) {
                atOrigin++;
                long interval = intervalStarts.stream()
                        .filter(atMillis -> atMillis <= request.atMillis())
                        .count();
                if (fillCounts.merge(request.object() + "#" + interval, 1, Integer::sum) == 2 && notes.size() < 20) {
                    notes.add("filled twice at the origin in interval " + interval + ": " + request.object()
                            + ", again at " + request.atMillis() + " ms by " + request.sender());
                }
            }
        }
        requestLog.fillLoops().stream()
                .limit(20)
                .forEach(loop -> notes.add("circle at " + loop.atMillis() + " ms: " + loop.member() + " "
                        + loop.object() + " " + loop.description()));
        int afterDrain = (int) requests.stream()
                .filter(request -> requestLog.drainStartMillis().containsKey(request.member())
                        && request.atMillis()
                                > requestLog.drainStartMillis().get(request.member()) + DRAIN_GRACE_MILLIS)
                .count();
        Report report = new Report(
                scenario.name(),
                phases,
                changes.size(),
                requestLog.fillLoops().size(),
                fillCounts.values().stream().mapToInt(i -> i).max().orElse(0),
                atOrigin,
                afterDrain,
                slowStartLoad(scenario, requestLog, requests),
                status,
                notes);
        Files.writeString(folder.resolve("report.md"), report.markdown());
        Files.writeString(folder.resolve("report.csv"), report.csv());
        StringBuilder events = new StringBuilder("ms,member,from,object\n");
        requests.forEach(request -> events.append(request.atMillis())
                .append(',')
                .append(request.member())
                .append(',')
                .append(request.sender())
                .append(',')
                .append(request.object())
                .append('\n'));
        Files.writeString(folder.resolve("asked.csv"), events);
        TreeMap<String, Long> requestsBySecond = new TreeMap<>();
        requests.forEach(request -> requestsBySecond.merge(
                String.format(
                        Locale.ROOT, "%05d,%s,%s", request.atMillis() / 1_000, request.member(), request.sender()),
                1L,
                Long::sum));
        StringBuilder seconds = new StringBuilder("second,member,from,asked\n");
        requestsBySecond.forEach(
                (key, count) -> seconds.append(key).append(',').append(count).append('\n'));
        Files.writeString(folder.resolve("seconds.csv"), seconds);
        return report;
    }

    /**
     * Returns the highest load of a restarted member in any second that begins in its slow start, relative to the load
     * that it is sure to handle. Load is counted in requests.
     */
    private static double slowStartLoad(Scenario scenario, RequestLog requestLog, List<ReceivedRequest> requests) {
        double max = 0;
        long slowStartMillis = scenario.change().slowStartMillis();
        for (Map.Entry<String, List<Long>> entry : requestLog.restartMillis().entrySet()) {
            for (long start : entry.getValue()) {
                for (long atMillis = start; atMillis < start + slowStartMillis; atMillis += 250) {
                    long windowStart = atMillis;
                    long sent = requests.stream()
                            .filter(request -> request.member().equals(entry.getKey())
                                    && request.atMillis() >= windowStart
                                    && request.atMillis() < windowStart + 1_000)
                            .count();
                    double capacityShare = 0.1 + 0.9 * Math.min(1, (atMillis - start) / (double) slowStartMillis);
                    // a hub is overloaded at more than twice its share
                    double sustainableFills = 2 * capacityShare * 8 * 1_000.0 / scenario.fillMillis();
                    max = Math.max(max, sent / sustainableFills);
                }
            }
        }
        return max;
    }

    private static Phase phase(String name, List<RequestResult> results) {
        Map<String, Long> countsByOutcome = new HashMap<>();
        Histogram served = new Histogram(MAX_RECORDED_MICROS, 3);
        for (RequestResult result : results) {
            countsByOutcome.merge(result.outcome().name().toLowerCase(Locale.ROOT), 1L, Long::sum);
            if (result.outcome() == RequestOutcome.SERVED) {
                served.recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(1, result.micros())));
            }
        }
        return new Phase(
                name,
                results.size(),
                countsByOutcome,
                served.getValueAtPercentile(50) / 1e3,
                served.getValueAtPercentile(99) / 1e3);
    }

    /** Returns the number of requests with this outcome in all phases. */
    public long count(String outcome) {
        return phases.stream().mapToLong(phase -> phase.count(outcome)).sum();
    }

    /** Returns the results as Markdown tables. */
    public String markdown() {
        StringBuilder text = new StringBuilder("# " + name + "\n\n"
                + "| requests asked | count | served | refused | failed | lost | late | twice | median ms | p99 ms |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Phase phase : phases) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %d | %.4f | %d | %d | %d | %d | %d | %.1f | %.1f |%n",
                    phase.name(),
                    phase.requests(),
                    phase.served(),
                    phase.count("refused"),
                    phase.count("failed"),
                    phase.count("lost"),
                    phase.count("late"),
                    phase.count("twice"),
                    phase.medianMillis(),
                    phase.p99Millis()));
        }
        text.append("\n| from the stand-ins' records | |\n| --- | --- |\n");
        text.append("| changes of the hierarchy | ").append(changes).append(" |\n");
        text.append("| fills in a circle, or waiting for themselves | ")
                .append(fillLoops)
                .append(" |\n");
        text.append("| fills at the origin after warming up | ")
                .append(fillsAtOrigin)
                .append(" |\n");
        text.append("| most fills of one object at the origin between two changes or cold starts | ")
                .append(maxFillsPerObjectAtOrigin)
                .append(" |\n");
        text.append("| requests to a drained member after its grace | ")
                .append(requestsAfterDrain)
                .append(" |\n");
        text.append(
                String.format(Locale.ROOT, "| most of a cold hub's budget that was used | %.2f |%n", maxSlowStartLoad));
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

    /** Returns the results of the phases as CSV. */
    public String csv() {
        StringBuilder text = new StringBuilder("phase,asked,served,refused,failed,lost,late,twice,median_ms,p99_ms\n");
        for (Phase phase : phases) {
            text.append(String.format(
                    Locale.ROOT,
                    "%s,%d,%d,%d,%d,%d,%d,%d,%.3f,%.3f%n",
                    phase.name(),
                    phase.requests(),
                    phase.count("served"),
                    phase.count("refused"),
                    phase.count("failed"),
                    phase.count("lost"),
                    phase.count("late"),
                    phase.count("twice"),
                    phase.medianMillis(),
                    phase.p99Millis()));
        }
        return text.toString();
    }
}
