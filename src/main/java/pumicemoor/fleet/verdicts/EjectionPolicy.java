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
 * The outlier ejection policy of the leader: decides from the routers' failure reports which members are ejected. It
 * owns the latest report of each router and the slots of ejected members: a slot becomes free only when no router can
 * still act on the ejection that took it.
 */
public final class EjectionPolicy {

    /**
     * The largest share of a tier that may be ejected at once, the number of routers that must report a member, how
     * long an ejection lasts, and how much longer its slot stays taken (both microseconds).
     */
    public record Rules(double maxEjectedShare, int minReporters, long ejectionMicros, long slotGuardMicros) {}

    private record RouterReport(long number, long expiresAt, List<FailureReport> failures) {}

    private final Rules rules;
    private final Map<String, RouterReport> reports = new HashMap<>();
    private final Map<Long, Long> slotsTakenUntil = new HashMap<>(); // by member
    private final Map<Long, Long> renewAt = new HashMap<>();

    public EjectionPolicy(Rules rules) {
        this.rules = rules;
    }

    /** Records a router's report in place of its earlier one; an older report that arrives late changes nothing. */
    public void recordReport(String router, long number, long expiresAt, List<FailureReport> failures) {
        RouterReport previous = reports.get(router);
        if (previous == null || number > previous.number) {
            reports.put(router, new RouterReport(number, expiresAt, failures));
        }
    }

    /**
     * Records that an ejection takes up a slot, whichever leader decided it, so that a new leader knows the slots
     * taken.
     */
    public void recordEjection(EjectionTable.KnownDecision held) {
        if (held.decision().failing()) {
            slotsTakenUntil.merge(held.decision().member(), held.endsAt() + rules.slotGuardMicros(), Math::max);
        }
    }

    /**
     * Returns the ejections, renewals and withdrawals that the leader issues now. {@code tiers} maps every member that
     * may be ejected to its tier. Members are newly ejected only if {@code mayEject} is true, that is once every
     * ejection that an earlier leader may have issued is known or has ended.
     */
    public List<Ejection> decide(
            long now,
            long term,
            String leader,
            boolean mayEject,
            Map<Long, String> tiers,
            EjectionTable table,
            int routers) {
        reports.values().removeIf(r -> now >= r.expiresAt);
        slotsTakenUntil.values().removeIf(until -> now >= until);
        if (table.inForce(now).isEmpty()
                && reports.values().stream().allMatch(r -> r.failures().isEmpty())) {
            return List.of(); // the common case; the leader evaluates the policy at each report
        }
        Map<Long, List<FailureReport>> byMember = byMember();
        byMember.keySet().retainAll(tiers.keySet());
        Set<Long> failingMembers = byMember.entrySet().stream()
                .filter(e -> countReporters(e.getValue()) >= Math.min(rules.minReporters(), routers))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        List<Ejection> decisions = new ArrayList<>();
        for (EjectionTable.KnownDecision held : table.inForce(now)) {
            Ejection current = held.decision();
            List<FailureReport> evidence = byMember.getOrDefault(current.member(), List.of());
            boolean stillFailing = failingMembers.contains(current.member())
                    && evidence.get(0).memberStartedAt() == current.memberStartedAt();
            if (!stillFailing) {
                decisions.add(newDecision(
                        current.member(), current.memberStartedAt(), table, term, false, List.of(), leader));
            } else if (now >= renewAt.getOrDefault(current.member(), 0L)) {
                decisions.add(takeSlot(
                        now,
                        newDecision(current.member(), current.memberStartedAt(), table, term, true, evidence, leader)));
            }
        }
        if (mayEject) {
            Set<Long> ejected =
                    table.inForce(now).stream().map(h -> h.decision().member()).collect(Collectors.toSet());
            byMember.entrySet().stream()
                    .filter(e -> failingMembers.contains(e.getKey()) && !ejected.contains(e.getKey()))
                    .sorted(Comparator.comparingInt(
                            (Map.Entry<Long, List<FailureReport>> e) -> -countReporters(e.getValue())))
                    .forEach(e -> {
                        if (hasFreeSlot(e.getKey(), tiers)) {
                            decisions.add(takeSlot(
                                    now,
                                    newDecision(
                                            e.getKey(),
                                            e.getValue().get(0).memberStartedAt(),
                                            table,
                                            term,
                                            true,
                                            e.getValue(),
                                            leader)));
                        }
                    });
        }
        return decisions;
    }

    private Map<Long, List<FailureReport>> byMember() {
        Map<Long, List<FailureReport>> byMember = reports.values().stream()
                .flatMap(r -> r.failures().stream())
                .collect(Collectors.groupingBy(FailureReport::member, TreeMap::new, Collectors.toList()));
        byMember.values().forEach(EjectionPolicy::keepNewestProcess);
        return byMember;
    }

    private static int countReporters(List<FailureReport> failures) {
        return failures.stream().mapToInt(FailureReport::reporters).sum();
    }

    /** Returns one report on each member that sums up all current reports on it, most reporting routers first. */
    public List<FailureReport> aggregatedReports(long now) {
        reports.values().removeIf(r -> now >= r.expiresAt);
        return byMember().values().stream()
                .map(sameMember -> new FailureReport(
                        sameMember.get(0).member(),
                        sameMember.get(0).memberStartedAt(),
                        sameMember.get(0).cause(),
                        sameMember.get(0).consecutiveFailures(),
                        sameMember.get(0).failureRate(),
                        countReporters(sameMember)))
                .sorted(Comparator.comparingInt(FailureReport::reporters).reversed())
                .toList();
    }

    private static void keepNewestProcess(List<FailureReport> failures) {
        long started = failures.stream()
                .mapToLong(FailureReport::memberStartedAt)
                .max()
                .orElse(0);
        failures.removeIf(f -> f.memberStartedAt() != started);
        failures.sort(
                Comparator.comparingInt(FailureReport::consecutiveFailures).reversed());
    }

    private boolean hasFreeSlot(long member, Map<Long, String> tiers) {
        String tier = tiers.get(member);
        long size = tiers.values().stream().filter(tier::equals).count();
        long taken = slotsTakenUntil.keySet().stream()
                .filter(m -> tier.equals(tiers.get(m)) && m != member)
                .count();
        return taken + 1 <= Math.floor(rules.maxEjectedShare() * size + 1e-9);
    }

    private Ejection takeSlot(long now, Ejection ejection) {
        slotsTakenUntil.put(ejection.member(), now + rules.ejectionMicros() + rules.slotGuardMicros());
        renewAt.put(ejection.member(), now + rules.ejectionMicros() / 3);
        return ejection;
    }

    private Ejection newDecision(
            long member,
            long started,
            EjectionTable table,
            long term,
            boolean failing,
            List<FailureReport> evidence,
            String leader) {
        EjectionTable.KnownDecision known = table.find(member);
        FailureReport worst = evidence.isEmpty() ? null : evidence.get(0);
        return new Ejection(
                member,
                started,
                Ejection.nextVersion(known == null ? 0 : known.decision().version(), term),
                failing,
                rules.ejectionMicros(),
                Math.min(countReporters(evidence), Short.MAX_VALUE),
                worst == null ? FailureReport.Cause.FAILING : worst.cause(),
                worst == null ? 0 : worst.consecutiveFailures(),
                worst == null ? 0 : worst.failureRate(),
                leader);
    }

    /** Returns how many routers report each member now. */
    public Map<Long, Long> reporterCounts() {
        return reports.values().stream()
                .flatMap(r -> r.failures().stream())
                .collect(Collectors.groupingBy(
                        FailureReport::member, TreeMap::new, Collectors.summingLong(FailureReport::reporters)));
    }

    /** Returns the members whose ejections take up a slot. */
    public Set<Long> takenSlots() {
        return Set.copyOf(slotsTakenUntil.keySet());
    }
}
