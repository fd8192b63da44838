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

/** Checks that versions order ejections, not the times at which they arrive. */
class EjectionTableTest {

    private static Ejection ejection(long version, boolean failing) {
        return new Ejection(7, 0, version, failing, 1_000, 2, Cause.SILENT, 2, 0.5, "router-1");
    }

    @Property(tries = 200, seed = "21")
    void newestVersionWinsInAnyOrderOfArrival(@ForAll long seed) {
        List<Ejection> all = new java.util.ArrayList<>(LongStream.rangeClosed(1, 9)
                .mapToObj(version -> ejection(version, version % 2 == 0))
                .toList());
        all.addAll(all);
        Collections.shuffle(all, new Random(seed));
        EjectionTable table = new EjectionTable();
        long newest = 0;
        for (Ejection ejection : all) {
            assertEquals(ejection.version() > newest, table.apply(10, ejection, 5_000));
            newest = Math.max(newest, ejection.version());
            assertEquals(newest, table.find(7).decision().version());
        }
        assertTrue(table.inForce(10).isEmpty(), "version 9 withdraws the ejection");
    }

    @Test
    void ejectionExpiresAndOneThatLastsTooLongIsRejected() {
        EjectionTable table = new EjectionTable();
        assertFalse(table.apply(0, ejection(4, true), 999), "lasts longer than the maximum");
        assertTrue(table.apply(0, ejection(4, true), 1_000));
        assertEquals(1, table.inForce(999).size());
        assertTrue(table.inForce(1_000).isEmpty());
        assertFalse(table.apply(1_000, ejection(4, true), 1_000), "same version again");
    }
}
