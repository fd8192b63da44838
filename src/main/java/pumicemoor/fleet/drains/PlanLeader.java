package pumicemoor.fleet.drains;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leader's part in the replication of the drain plan. A new leader first collects the plans of enough routers
 * that no plan that was ever in force can be missing, and writes the newest of them again under its own term. A plan
 * is in force once more than half of the routers hold it, and only then may the next one be written. Owns the
 * routers' reports; it must not decide what a plan contains.
 */
final class PlanLeader {

    /** The stage of a term: not the leader, reading reports, waiting for a majority, or the last plan is in force. */
    enum Stage {
        IDLE,
        READING,
        WRITING,
        SETTLED
    }

    /**
     * A router's last report.
     *
     * @param instance identifies the router's process
     * @param term the term that the router knew when it reported
     * @param heldStamp the stamp of the newest plan that it holds
     * @param appliedStamp the stamp of the plan that it acts on
     * @param recovered whether its process has learned since its start which plan was in force; see
     *     {@link PlanStore#recovered}
     */
    record Report(long instance, long term, long heldStamp, long appliedStamp, boolean recovered) {}

    private final PlanStore planStore;
    private final Map<String, Report> reports = new TreeMap<>();
    private Stage stage = Stage.IDLE;
    private long term;
    private long inForce;

    PlanLeader(PlanStore planStore) {
        this.planStore = planStore;
    }

    Stage stage() {
        return stage;
    }

    /** Returns whether all plans that were in force are known, so that this leader may send a plan to the routers. */
    boolean hasFinishedReading() {
        return stage == Stage.WRITING || stage == Stage.SETTLED;
    }

    /** Returns the stamp of the plan that is in force in this term, or 0 before there is one. */
    long inForce() {
        return inForce;
    }

    Report report(String router) {
        return reports.get(router);
    }

    /** Records a router's report, which replaces its previous one. */
    void recordReport(String router, Report report) {
        reports.put(router, report);
    }

    /** Keeps the reports of these routers and discards the others. */
    void retainReports(Set<String> routers) {
        reports.keySet().retainAll(routers);
    }

    /** Resets the state when this router is not the leader, since it can't know what other leaders have written. */
    void stepDown() {
        stage = Stage.IDLE;
        term = 0;
        inForce = 0;
    }

    /**
     * Advances the protocol in this term.
     *
     * @param routers the number of routers in the fleet
     * @param readTimedOut whether the leader has waited so long for recovered routers that a majority must have lost
     *     its plans, so that it continues with those that are left
     * @return whether there is a new plan to send to the routers
     */
    boolean advance(long currentTerm, int routers, boolean readTimedOut) {
        if (currentTerm != term) {
            term = currentTerm;
            stage = Stage.READING;
            inForce = 0;
        }
        boolean written = false;
        if (stage == Stage.READING && canFinishReading(routers, readTimedOut)) {
            write(planStore.newest().withStamp(Plan.firstStamp(term)));
            written = true;
        }
        if (stage == Stage.WRITING && 2 * routersHoldingNewest() > routers) {
            stage = Stage.SETTLED;
            inForce = planStore.newest().stamp();
            planStore.confirmInForce(inForce);
        }
        return written;
    }

    /**
     * A plan that was in force is held by a majority. Reading is finished once so many recovered routers have
     * reported in this term, that is after the previous leader's lease ended, that at least one of them must hold
     * that plan.
     */
    private boolean canFinishReading(int routers, boolean readTimedOut) {
        long reportedThisTerm =
                reports.values().stream().filter(r -> r.term() >= term).count();
        long recoveredRouters = reports.values().stream()
                        .filter(r -> r.term() >= term && r.recovered())
                        .count()
                + (planStore.recovered() ? 1 : 0);
        int majority = routers / 2 + 1;
        long newestReported = reports.values().stream()
                .filter(r -> r.term() >= term)
                .mapToLong(Report::heldStamp)
                .max()
                .orElse(0);
        return (recoveredRouters >= routers - majority + 1 || reportedThisTerm + 1 >= routers || readTimedOut)
                && planStore.newest().stamp() >= newestReported;
    }

    private long routersHoldingNewest() {
        return 1
                + reports.values().stream()
                        .filter(r -> r.heldStamp() == planStore.newest().stamp())
                        .count();
    }

    /**
     * Writes the next plan, whose stamp must be {@link #nextStamp}. Call it only once the previous plan is in force.
     */
    void write(Plan plan) {
        planStore.store(plan);
        stage = Stage.WRITING;
    }

    long nextStamp() {
        return planStore.newest().stamp() + 1;
    }
}
