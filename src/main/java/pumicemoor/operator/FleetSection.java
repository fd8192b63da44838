package pumicemoor.operator;

import java.util.List;
import java.util.Optional;
import pumicemoor.RouterApi;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.FleetSetup.LimitRule;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.fleet.drains.DrainTimes;
import pumicemoor.fleet.limits.LeaseTimes;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.verdicts.EjectionPolicy;

/**
 * The section 'fleet': where this router hears the others of its cluster, how many there are at most, what they hold
 * together, and whether that is one flat fleet or cells. Listen is where it hears them, advertise how they reach it. Times are microseconds.
 */
public record FleetSection(
        String cluster,
        String listen,
        String advertise,
        List<String> seeds,
        int size,
        long period,
        int indirect,
        int fanout,
        long remember,
        LeaseTimes times,
        List<LimitRule> limits,
        Optional<EjectionPolicy.Rules> verdicts,
        Optional<DrainTimes> drains,
        Optional<CellSetup> cells) {

    private static final int ROUTERS = 2_000; // that are kept in the table

    /** What a router of this name is set up with; how long members take to warm is told by the platform's rules. */
    public FleetSetup setup(String name, RouterApi.Rules rules) {
        return new FleetSetup(
                cluster,
                new Membership.Setup(name, advertise, seeds, period, indirect, fanout, remember, ROUTERS),
                size,
                times,
                limits,
                verdicts,
                drains.map(
                        d -> d.warming(rules.cacheSlowStart().rampDuration(), rules.parentSlowStart().rampDuration())),
                cells);
    }
}
