package pumicemoor.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the table that the commands members, limits, verdicts and drain status print. */
class FleetRowsTest {

    /** Returns a row of alternating keys and values. */
    private static Map<String, Object> row(Object... keysAndValues) {
        Map<String, Object> row = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            row.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return row;
    }

    @Test
    void columnsAreAsWideAsTheirWidestCellAndNoRowsPrintNone() {
        assertEquals(
                "name  standing\na     alive\nbcd   dead\n",
                FleetRows.table(
                        List.of(row("name", "a", "standing", "alive"), row("name", "bcd", "standing", "dead"))));
        assertEquals("(none)\n", FleetRows.table(List.of()));
    }

    /** A delegate lists the rows of its cell, then those of the upper level; only the latter have the key 'level'. */
    @Test
    void keyThatOnlyLaterRowsHaveGetsAColumn() {
        assertEquals(
                "name  standing  level\na     alive     -\na     alive     upper\n",
                FleetRows.table(List.of(
                        row("name", "a", "standing", "alive"),
                        row("name", "a", "standing", "alive", "level", "upper"))));
    }
}
