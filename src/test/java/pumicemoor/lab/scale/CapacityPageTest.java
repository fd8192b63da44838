package pumicemoor.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * Guards against a docs/CAPACITY.md that no longer matches the code: compares the sizes in its table with a new run.
 * Only counts and bytes are compared, which do not depend on the machine.
 */
class CapacityPageTest {

    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final String TABLE_HEADER = "| role | size | figure | value |";
    private static final Pattern TOLERANCE_FACTOR = Pattern.compile("within a factor of (\\d+\\.\\d+)");
    private static final String REQUIRED_ROLES = "reader, whole list; reader, single changes; reader, purges a second; "
            + "reader, seconds cut off; cold start; sender; holder, a limit at each cache";

    /** A row of the table in the page. */
    private record Row(String role, int size, String figure, double value) {}

    private static List<Row> parseRows(String page) {
        List<Row> rows = new ArrayList<>();
        page.lines()
                .dropWhile(l -> !l.equals(TABLE_HEADER))
                .skip(2)
                .takeWhile(l -> l.startsWith("|"))
                .forEach(line -> {
                    String[] cells = line.split("\\|");
                    rows.add(new Row(
                            cells[1].strip(),
                            Integer.parseInt(cells[2].strip().replace(",", "")),
                            cells[3].strip(),
                            Double.parseDouble(cells[4].strip().replace(",", ""))));
                });
        return rows;
    }

    private static List<Integer> sizes(List<Row> rows, Predicate<String> role) {
        return new ArrayList<>(new TreeSet<>(
                rows.stream().filter(r -> role.test(r.role())).map(Row::size).toList()));
    }

    @Test
    void pageMatchesAFreshRun() throws IOException {
        String page = Files.readString(PAGE);
        Matcher factor = TOLERANCE_FACTOR.matcher(page);
        assertTrue(factor.find(), "the page states no tolerance factor");
        double tolerance = Double.parseDouble(factor.group(1));
        assertTrue(tolerance > 1 && tolerance <= 1.25, "the tolerance factor is " + tolerance);
        List<Row> rows = parseRows(page);
        for (String role : REQUIRED_ROLES.split("; ")) {
            assertTrue(rows.stream().anyMatch(r -> r.role().equals(role)), "the page has no row for role " + role);
        }
        List<Sample> fresh = ReaderRoles.measure(
                new ReaderRoles.Plan(
                        sizes(rows, r -> !r.contains("purges") && !r.contains("cut off") && !r.equals("sender")),
                        sizes(rows, r -> r.contains("purges")),
                        sizes(rows, r -> r.equals("sender")),
                        sizes(rows, r -> r.contains("cut off")),
                        1,
                        1),
                new PrintStream(OutputStream.nullOutputStream()));
        List<String> mismatches = new ArrayList<>();
        for (Row row : rows) {
            double measured = fresh.stream()
                    .filter(s -> s.role().equals(row.role()) && s.size() == row.size())
                    .findFirst()
                    .orElseThrow(() -> new AssertionError("no sample for " + row))
                    .figures()
                    .get(row.figure());
            if (measured > row.value() * tolerance || measured * tolerance < row.value()) {
                mismatches.add(row + ": now " + measured);
            }
        }
        assertEquals(List.of(), mismatches);
    }
}
