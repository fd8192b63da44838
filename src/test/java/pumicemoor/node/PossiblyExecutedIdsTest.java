package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The bounds on the memory of ids, in number and in time. */
class PossiblyExecutedIdsTest {

    private static final long RETENTION_MICROS = 1_000;

    private final PossiblyExecutedIds ids = new PossiblyExecutedIds(3, RETENTION_MICROS);

    @Test
    void anIdIsRememberedForTheRetentionTime() {
        ids.add(100, "a");
        assertTrue(ids.contains(100 + RETENTION_MICROS, "a"));
        assertFalse(ids.contains(101 + RETENTION_MICROS, "a"));
        assertFalse(ids.contains(100, "b"));
        assertEquals(0, ids.add(102 + RETENTION_MICROS, "b"), "the first one has expired");
        assertEquals(1, ids.size());
    }

    @Test
    void theOldestIdIsForgottenAtTheBound() {
        for (String id : new String[] {"a", "b", "a", "c"}) {
            assertEquals(0, ids.add(100, id));
        }
        assertEquals(1, ids.add(100, "d"));
        assertEquals(3, ids.size());
        assertFalse(ids.contains(100, "b"), "'a' has ended again since");
        assertTrue(ids.contains(100, "a"));
    }
}
