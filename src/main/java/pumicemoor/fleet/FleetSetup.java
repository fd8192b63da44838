package pumicemoor.fleet;

import java.util.List;
import java.util.Optional;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.verdicts.EjectionPolicy;

/**
 * What a router's part in a fleet is set up with. Size is how many routers the fleet has at most; what a router may
 * spend alone and what a majority is are counted from it, or from those known where that is more.
 */
public record FleetSetup(
        String cluster,
        Membership.Setup membership,
        int size,
        LeaseTimes times,
        List<LimitRule> limits,
        Optional<EjectionPolicy.Rules> verdicts,
        Optional<DrainTimes> drains,
        Optional<CellSetup> cells) {

    /** One flat fleet. */
    public FleetSetup(
            String cluster,
            Membership.Setup membership,
            int size,
            LeaseTimes times,
            List<LimitRule> limits,
            Optional<EjectionPolicy.Rules> verdicts,
            Optional<DrainTimes> drains) {
        this(cluster, membership, size, times, limits, verdicts, drains, Optional.empty());
    }

    /** Without drains. */
    public FleetSetup(
            String cluster,
            Membership.Setup membership,
            int size,
            LeaseTimes times,
            List<LimitRule> limits,
            Optional<EjectionPolicy.Rules> verdicts) {
        this(cluster, membership, size, times, limits, verdicts, Optional.empty());
    }

    /** Whom a limit is for: one member by its name, each of a kind by itself, or all that crosses zones. */
    public enum Scope {
        MEMBER,
        EACH_CACHE,
        EACH_PARENT,
        ORIGIN,
        ACROSS_ZONES
    }

    /** A limit as the operator sets it; the member is named where the scope is one. */
    public record LimitRule(String name, Scope scope, String member, LimitMeasure measure, double amount) {}
}
