package pumicemoor.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the commands that show a fleet print of its rows. */
class FleetRowsTest {

    private static Map<String, Object> row(Object... pairs) {
        Map<String, Object> row = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            row.put((String) pairs[i], pairs[i + 1]);
        }
        return row;
    }

    @Test
    void rowsOfOneLevelHaveTheColumnsOfTheFirst() {
        assertEquals(
                "name  standing\na     alive\nbcd   dead\n",
                FleetRows.table(
                        List.of(row("name", "a", "standing", "alive"), row("name", "bcd", "standing", "dead"))));
        assertEquals("(none)\n", FleetRows.table(List.of()));
    }

    /** On a delegate rows of the upper level come after those of its cell, and only they name a level. */
    @Test
    void theLevelIsShownWhereARowHasOne() {
        assertEquals(
                "name  standing  level\na     alive     -\na     alive     upper\n",
                FleetRows.table(List.of(
                        row("name", "a", "standing", "alive"),
                        row("name", "a", "standing", "alive", "level", "upper"))));
    }
}
