package pumicemoor.fleet.drains;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The keeper's side of the plan. In office it first reads what enough routers hold, so that nothing that was ever in
 * force is missing; writes the newest of it under its own term; and holds a plan for in force once more than half of the
 * routers have it. Only then may the next be written. It owns the routers' reports; it must never decide what a plan says.
 */
final class PlanLeader {

    /** How far the keeper is: none of its office, reading, waiting for a majority, or done with that. */
    enum Stage {
        IDLE,
        READING,
        WRITING,
        SETTLED
    }

    /** What a router last told of the plans that it holds, and which term it knew when it told that. */
    record Report(long instance, long term, long held, long applied, boolean seasoned) {}

    private final PlanStore book;
    private final Map<String, Report> reports = new TreeMap<>();
    private Stage stage = Stage.IDLE;
    private long term;
    private long inForce;

    PlanLeader(PlanStore book) {
        this.book = book;
    }

    Stage stage() {
        return stage;
    }

    /** Whether a majority may be told what is in force: not before all that was is known. */
    boolean hasRead() {
        return stage == Stage.WRITING || stage == Stage.SETTLED;
    }

    /** The stamp of the plan in force as this keeper knows it; 0 before one is. */
    long inForce() {
        return inForce;
    }

    Report report(String router) {
        return reports.get(router);
    }

    /** A router told what it holds; what it told before counts no more. */
    void reported(String router, Report report) {
        reports.put(router, report);
    }

    /** Keeps what these routers told, and forgets the others. */
    void retain(Set<String> routers) {
        reports.keySet().retainAll(routers);
    }

    /** Out of office nothing is known of what others have written. */
    void leaveOffice() {
        stage = Stage.IDLE;
        term = 0;
        inForce = 0;
    }

    /**
     * Goes on in this term among so many routers; true where there is a new plan to be told. Patient: it has waited so long
     * for those who remember that a majority must have lost its memory, and what is left has to do.
     */
    boolean sit(long office, int routers, boolean patient) {
        if (office != term) {
            term = office;
            stage = Stage.READING;
            inForce = 0;
        }
        boolean written = false;
        if (stage == Stage.READING && read(routers, patient)) {
            write(book.held().under(Plan.first(term)));
            written = true;
        }
        if (stage == Stage.WRITING && 2 * holders() > routers) {
            stage = Stage.SETTLED;
            inForce = book.held().stamp();
            book.inForce(inForce);
        }
        return written;
    }

    /**
     * What was in force was held by a majority. So many of the others as remember and have told what they hold since this
     * term began, after the last keeper's time had ended, that one of them at least must know of it.
     */
    private boolean read(int routers, boolean patient) {
        long since = reports.values().stream().filter(r -> r.term() >= term).count();
        long remember = reports.values().stream()
                        .filter(r -> r.term() >= term && r.seasoned())
                        .count()
                + (book.seasoned() ? 1 : 0);
        int majority = routers / 2 + 1;
        long newest = reports.values().stream()
                .filter(r -> r.term() >= term)
                .mapToLong(Report::held)
                .max()
                .orElse(0);
        return (remember >= routers - majority + 1 || since + 1 >= routers || patient)
                && book.held().stamp() >= newest;
    }

    private long holders() {
        return 1
                + reports.values().stream()
                        .filter(r -> r.held() == book.held().stamp())
                        .count();
    }

    /** Writes the next plan, whose stamp has to be nextStamp; only after the one before is in force. */
    void write(Plan plan) {
        book.hold(plan);
        stage = Stage.WRITING;
    }

    long nextStamp() {
        return book.held().stamp() + 1;
    }
}
