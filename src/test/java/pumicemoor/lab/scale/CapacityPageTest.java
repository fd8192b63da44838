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

/** Holds the small sizes of docs/CAPACITY.md, as its own table has them, against a fresh run: counts and bytes alone. */
class CapacityPageTest {

    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final String HEAD = "| role | size | figure | value |";
    private static final Pattern FACTOR = Pattern.compile("within a factor of (\\d+\\.\\d+)");
    private static final String ROLES = "reader, whole list; reader, single changes; reader, purges a second; "
            + "reader, seconds cut off; cold start; sender; holder, a limit at each cache";

    /** A row of the page's table. */
    private record Row(String role, int size, String figure, double value) {}

    private static List<Row> rows(String page) {
        List<Row> rows = new ArrayList<>();
        page.lines()
                .dropWhile(l -> !l.equals(HEAD))
                .skip(2)
                .takeWhile(l -> l.startsWith("|"))
                .forEach(l -> {
                    String[] cells = l.split("\\|");
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
    void thePageHoldsWhatAFreshRunGives() throws IOException {
        String page = Files.readString(PAGE);
        Matcher factor = FACTOR.matcher(page);
        assertTrue(factor.find(), "the page states no factor");
        double most = Double.parseDouble(factor.group(1));
        assertTrue(most > 1 && most <= 1.25, "a factor of " + most);
        List<Row> rows = rows(page);
        for (String role : ROLES.split("; ")) {
            assertTrue(rows.stream().anyMatch(r -> r.role().equals(role)), "no row of " + role);
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
        List<String> off = new ArrayList<>();
        for (Row row : rows) {
            double now = fresh.stream()
                    .filter(s -> s.role().equals(row.role()) && s.size() == row.size())
                    .findFirst()
                    .orElseThrow(() -> new AssertionError("nothing measures " + row))
                    .figures()
                    .get(row.figure());
            if (now > row.value() * most || now * most < row.value()) {
                off.add(row + ": now " + now);
            }
        }
        assertEquals(List.of(), off);
    }
}
