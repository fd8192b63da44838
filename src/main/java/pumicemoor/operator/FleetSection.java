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
 * The section 'fleet' of an operator's file: the address on which this router receives the packets of the other
 * routers of its cluster (listen), the address at which they reach it (advertise), the maximum number of routers
 * (size), which limits, ejections and drains they coordinate, and whether they form one flat fleet or cells. Times are
 * microseconds.
 */
public record FleetSection(
        String cluster,
        String listen,
        String advertise,
        List<String> seeds,
        int size,
        long periodMicros,
        int indirectProbes,
        int gossipFanout,
        long rememberMicros,
        LeaseTimes leaseTimes,
        List<LimitRule> limits,
        Optional<EjectionPolicy.Rules> ejectionRules,
        Optional<DrainTimes> drainTimes,
        Optional<CellSetup> cellSetup) {

    private static final int MAX_TABLE_ROUTERS = 2_000; // the size limit of the membership table

    /** Returns the fleet setup of a router of this name; the slow start times come from the platform's rules. */
    public FleetSetup setup(String name, RouterApi.Rules rules) {
        return new FleetSetup(
                cluster,
                new Membership.Setup(
                        name,
                        advertise,
                        seeds,
                        periodMicros,
                        indirectProbes,
                        gossipFanout,
                        rememberMicros,
                        MAX_TABLE_ROUTERS),
                size,
                leaseTimes,
                limits,
                ejectionRules,
                drainTimes.map(times -> times.withWarmTimes(
                        rules.cacheSlowStart().rampDuration(),
                        rules.parentSlowStart().rampDuration())),
                cellSetup);
    }
}
