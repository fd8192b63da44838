package pumicemoor.fleet.verdicts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The keeper's side of verdicts: who accuses whom, and which verdicts follow. It owns the accusations, each router's
 * last report in place of those before, and the places that verdicts take up: a place is free again only when nobody can
 * still go by the verdict that held it.
 */
public final class EjectionPolicy {

    /** The share of a tier that may be out at once, how many accusers it takes, for how long a verdict stands. */
    public record Rules(double mostOut, int witnesses, long hold, long guard) {}

    private record Report(long number, long until, List<FailureReport> accusations) {}

    private final Rules rules;
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<Long, Long> placesUntil = new HashMap<>(); // by member
    private final Map<Long, Long> renewAt = new HashMap<>();

    public EjectionPolicy(Rules rules) {
        this.rules = rules;
    }

    /** A router's report replaces its earlier ones; an older one that comes late changes nothing. */
    public void reported(String router, long number, long until, List<FailureReport> accusations) {
        Report before = reports.get(router);
        if (before == null || number > before.number) {
            reports.put(router, new Report(number, until, accusations));
        }
    }

    /** Counts the places that verdicts of whoever was keeper before take up. */
    public void heard(EjectionTable.Held held) {
        if (held.verdict().failing()) {
            placesUntil.merge(held.verdict().member(), held.until() + rules.guard(), Math::max);
        }
    }

    /**
     * The verdicts that are to be given now. Tiers names the tier of every member that may be out; new ones are given
     * only where fresh is true, which is when all that a keeper before may have given is known or over.
     */
    public List<Ejection> sit(
            long now,
            long term,
            String keeper,
            boolean fresh,
            Map<Long, String> tiers,
            EjectionTable table,
            int routers) {
        reports.values().removeIf(r -> now >= r.until);
        placesUntil.values().removeIf(until -> now >= until);
        if (table.standing(now).isEmpty()
                && reports.values().stream().allMatch(r -> r.accusations().isEmpty())) {
            return List.of(); // as nearly always: a keeper sits at each report
        }
        Map<Long, List<FailureReport>> byMember = byMember();
        byMember.keySet().retainAll(tiers.keySet());
        Set<Long> guilty = byMember.entrySet().stream()
                .filter(e -> count(e.getValue()) >= Math.min(rules.witnesses(), routers))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        List<Ejection> given = new ArrayList<>();
        for (EjectionTable.Held held : table.standing(now)) {
            Ejection v = held.verdict();
            List<FailureReport> evidence = byMember.getOrDefault(v.member(), List.of());
            boolean stands = guilty.contains(v.member()) && evidence.get(0).started() == v.started();
            if (!stands) {
                given.add(verdict(v.member(), v.started(), table, term, false, List.of(), keeper));
            } else if (now >= renewAt.getOrDefault(v.member(), 0L)) {
                given.add(place(now, verdict(v.member(), v.started(), table, term, true, evidence, keeper)));
            }
        }
        if (fresh) {
            Set<Long> out =
                    table.standing(now).stream().map(h -> h.verdict().member()).collect(Collectors.toSet());
            byMember.entrySet().stream()
                    .filter(e -> guilty.contains(e.getKey()) && !out.contains(e.getKey()))
                    .sorted(Comparator.comparingInt((Map.Entry<Long, List<FailureReport>> e) -> -count(e.getValue())))
                    .forEach(e -> {
                        if (room(e.getKey(), tiers)) {
                            given.add(place(
                                    now,
                                    verdict(
                                            e.getKey(),
                                            e.getValue().get(0).started(),
                                            table,
                                            term,
                                            true,
                                            e.getValue(),
                                            keeper)));
                        }
                    });
        }
        return given;
    }

    private Map<Long, List<FailureReport>> byMember() {
        Map<Long, List<FailureReport>> byMember = reports.values().stream()
                .flatMap(r -> r.accusations().stream())
                .collect(Collectors.groupingBy(FailureReport::member, TreeMap::new, Collectors.toList()));
        byMember.values().forEach(EjectionPolicy::keepNewestProcess);
        return byMember;
    }

    private static int count(List<FailureReport> accusations) {
        return accusations.stream().mapToInt(FailureReport::accusers).sum();
    }

    /** One accusation of each member by all that accuse it now, those with the most accusers first. */
    public List<FailureReport> inSum(long now) {
        reports.values().removeIf(r -> now >= r.until);
        return byMember().values().stream()
                .map(l -> new FailureReport(
                        l.get(0).member(),
                        l.get(0).started(),
                        l.get(0).cause(),
                        l.get(0).strikes(),
                        l.get(0).failShare(),
                        count(l)))
                .sorted(Comparator.comparingInt(FailureReport::accusers).reversed())
                .toList();
    }

    private static void keepNewestProcess(List<FailureReport> accusations) {
        long started = accusations.stream().mapToLong(FailureReport::started).max().orElse(0);
        accusations.removeIf(a -> a.started() != started);
        accusations.sort(Comparator.comparingInt(FailureReport::strikes).reversed());
    }

    private boolean room(long member, Map<Long, String> tiers) {
        String tier = tiers.get(member);
        long size = tiers.values().stream().filter(tier::equals).count();
        long out = placesUntil.keySet().stream()
                .filter(m -> tier.equals(tiers.get(m)) && m != member)
                .count();
        return out + 1 <= Math.floor(rules.mostOut() * size + 1e-9);
    }

    private Ejection place(long now, Ejection v) {
        placesUntil.put(v.member(), now + rules.hold() + rules.guard());
        renewAt.put(v.member(), now + rules.hold() / 3);
        return v;
    }

    private Ejection verdict(
            long member,
            long started,
            EjectionTable table,
            long term,
            boolean failing,
            List<FailureReport> evidence,
            String keeper) {
        EjectionTable.Held held = table.on(member);
        FailureReport worst = evidence.isEmpty() ? null : evidence.get(0);
        return new Ejection(
                member,
                started,
                Ejection.next(held == null ? 0 : held.verdict().version(), term),
                failing,
                rules.hold(),
                Math.min(count(evidence), Short.MAX_VALUE),
                worst == null ? FailureReport.Cause.FAILING : worst.cause(),
                worst == null ? 0 : worst.strikes(),
                worst == null ? 0 : worst.failShare(),
                keeper);
    }

    /** How many accuse each member now. */
    public Map<Long, Long> accusers() {
        return reports.values().stream()
                .flatMap(r -> r.accusations().stream())
                .collect(Collectors.groupingBy(
                        FailureReport::member, TreeMap::new, Collectors.summingLong(FailureReport::accusers)));
    }

    /** The members whose places are taken. */
    public Set<Long> places() {
        return Set.copyOf(placesUntil.keySet());
    }
}
