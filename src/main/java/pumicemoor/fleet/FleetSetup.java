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
 * The configuration of a router's participation in a fleet. The size is the largest number of routers that the fleet is
 * planned to have; the share that a router may use without a lease and the size of a majority are computed from it, or
 * from the number of known routers if that is larger.
 */
public record FleetSetup(
        String cluster,
        Membership.Setup membership,
        int size,
        LeaseTimes times,
        List<LimitRule> limits,
        Optional<EjectionPolicy.Rules> ejectionRules,
        Optional<DrainTimes> drains,
        Optional<CellSetup> cells) {

    /** A flat fleet, without cells. */
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

    /** A flat fleet without coordinated drains. */
    public FleetSetup(
            String cluster,
            Membership.Setup membership,
            int size,
            LeaseTimes times,
            List<LimitRule> limits,
            Optional<EjectionPolicy.Rules> verdicts) {
        this(cluster, membership, size, times, limits, verdicts, Optional.empty());
    }

    /** What a limit applies to: one named member, each member of a role separately, or all traffic across zones. */
    public enum Scope {
        MEMBER,
        EACH_CACHE,
        EACH_PARENT,
        ORIGIN,
        ACROSS_ZONES
    }

    /** A limit as configured by the operator; {@code member} is set only for the scope MEMBER. */
    public record LimitRule(String name, Scope scope, String member, LimitMeasure measure, double amount) {}
}
