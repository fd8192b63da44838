package pumicemoor.fleet.verdicts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import pumicemoor.fleet.verdicts.FailureReport.Cause;

/** Versions order verdicts, not the time at which they come. */
class VerdictTableTest {

    private static Ejection verdict(long version, boolean failing) {
        return new Ejection(7, 0, version, failing, 1_000, 2, Cause.SILENT, 2, 0.5, "router-1");
    }

    @Property(tries = 200, seed = "21")
    void whateverTheOrderTheNewestStands(@ForAll long seed) {
        List<Ejection> all = new java.util.ArrayList<>(LongStream.rangeClosed(1, 9)
                .mapToObj(v -> verdict(v, v % 2 == 0))
                .toList());
        all.addAll(all);
        Collections.shuffle(all, new Random(seed));
        EjectionTable table = new EjectionTable();
        long newest = 0;
        for (Ejection v : all) {
            assertEquals(v.version() > newest, table.take(10, v, 5_000));
            newest = Math.max(newest, v.version());
            assertEquals(newest, table.on(7).verdict().version());
        }
        assertTrue(table.standing(10).isEmpty(), "version 9 lifts it");
    }

    @Test
    void itEndsByItselfAndOneThatStandsTooLongIsNotTaken() {
        EjectionTable table = new EjectionTable();
        assertFalse(table.take(0, verdict(4, true), 999), "longer than any verdict stands");
        assertTrue(table.take(0, verdict(4, true), 1_000));
        assertEquals(1, table.standing(999).size());
        assertTrue(table.standing(1_000).isEmpty());
        assertFalse(table.take(1_000, verdict(4, true), 1_000), "its own version again");
    }
}
