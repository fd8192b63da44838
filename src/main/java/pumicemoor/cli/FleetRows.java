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
import pumicemoor.wire.Rows;
import pumicemoor.wire.WireException;

/** Shows what a running router knows of its fleet, as a table or as JSON; it must never change anything there. */
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
    void run() throws IOException, WireException {
        List<Map<String, Object>> rows = Status.rows(address, subject);
        System.out.print(json ? Rows.json(rows) + "\n" : table(rows));
    }

    /** A column for each key of any row, as wide as its widest cell; a line that says so where there are no rows. */
    static String table(List<Map<String, Object>> rows) {
        if (rows.isEmpty()) {
            return "(none)\n";
        }
        Set<String> keys = new LinkedHashSet<>();
        rows.forEach(r -> keys.addAll(r.keySet())); // the level, for one, is there in rows of the upper level alone
        List<String> names = List.copyOf(keys);
        List<List<String>> lines = new ArrayList<>(List.of(names));
        rows.forEach(r -> lines.add(names.stream()
                .map(n -> r.containsKey(n) ? String.valueOf(r.get(n)) : "-")
                .toList()));
        List<Integer> widths = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            int column = i;
            widths.add(
                    lines.stream().mapToInt(l -> l.get(column).length()).max().orElse(0));
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

    /** The routers of the fleet. */
    @Usage.Text("shows the routers of the fleet as a running router knows them")
    public static final class Members extends FleetRows {
        public Members() {
            super("members");
        }
    }

    /** The limits that the fleet holds together. */
    @Usage.Text("shows the fleet's limits and what part of each a running router holds")
    public static final class Limits extends FleetRows {
        public Limits() {
            super("limits");
        }
    }

    /** The members that the fleet leaves alone. */
    @Usage.Text("shows the fleet's verdicts on caches and parents as a running router knows them")
    public static final class Verdicts extends FleetRows {
        public Verdicts() {
            super("verdicts");
        }
    }
}
