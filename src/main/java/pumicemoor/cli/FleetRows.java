package pumicemoor.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import pumicemoor.wire.InvalidInputException;
import pumicemoor.wire.JsonRows;

/**
 * Prints rows about the fleet that a running router knows, as a table or as JSON. It only reads: it must not change
 * anything on the router.
 */
abstract class FleetRows extends Command {

    @Argument(metaVar = "HOST:PORT", required = true, usage = "where the router listens for clients")
    private String address;

    @Option(name = "--json", usage = "one JSON array in place of a table")
    private boolean json;

    private final String subject;

    FleetRows(String subject) {
        this.subject = subject;
    }

    @Override
    void run() throws IOException, InvalidInputException {
        List<Map<String, Object>> rows = Status.rows(address, subject);
        System.out.print(json ? JsonRows.encode(rows) + "\n" : table(rows));
    }

    /**
     * Formats rows as a table with a column for each key of any row, as wide as its widest cell. Without rows the table
     * is the line "(none)".
     */
    static String table(List<Map<String, Object>> rows) {
        if (rows.isEmpty()) {
            return "(none)\n";
        }
        Set<String> keys = new LinkedHashSet<>();
        rows.forEach(row -> keys.addAll(row.keySet())); // rows may differ: only those of the upper level have 'level'
        List<String> columns = List.copyOf(keys);
        List<List<String>> lines = new ArrayList<>(List.of(columns));
        rows.forEach(row -> lines.add(columns.stream()
                .map(name -> row.containsKey(name) ? String.valueOf(row.get(name)) : "-")
                .toList()));
        List<Integer> widths = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            int column = i;
            widths.add(lines.stream()
                    .mapToInt(line -> line.get(column).length())
                    .max()
                    .orElse(0));
        }
        StringBuilder table = new StringBuilder();
        for (List<String> line : lines) {
            List<String> cells = new ArrayList<>();
            for (int i = 0; i < line.size(); i++) {
                cells.add(line.get(i) + " ".repeat(widths.get(i) - line.get(i).length()));
            }
            table.append(cells.stream().collect(Collectors.joining("  ")).stripTrailing())
                    .append('\n');
        }
        return table.toString();
    }

    /** Lists the routers of the fleet. */
    @Usage.Summary("shows the routers of the fleet as a running router knows them")
    public static final class Members extends FleetRows {
        public Members() {
            super("members");
        }
    }

    /** Lists the limits that the fleet shares among its routers. */
    @Usage.Summary("shows the fleet's limits and what part of each a running router holds")
    public static final class Limits extends FleetRows {
        public Limits() {
            super("limits");
        }
    }

    /** Lists the members that the fleet has ejected. */
    @Usage.Summary("shows the fleet's verdicts on caches and parents as a running router knows them")
    public static final class Ejections extends FleetRows {
        public Ejections() {
            super("verdicts");
        }
    }
}
