package pumicemoor.lab.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What the coordinator tells at the size that is measured, as the texts that go over the wire: lines of members, lists,
 * purges, and the configuration of a router that knows them. It owns the shape of the installation and must never decide
 * anything. All of it follows from the seed.
 */
final class CoordinatorEvents {

    /** Where members stand: by sites as at the target, or all of the caches at the router's own site. */
    enum Layout {
        SITES,
        ONE_SITE
    }

    /** The number of the last event before the measurement: as many digits as a coordinator has after two days. */
    static final long FIRST = 36_000_000;
    /** Times of purges and lists, Unix milliseconds. */
    static final long BEGIN = 1_764_576_000_000L;
    /** A sign of life between events, as the stand-in sends it once a second. */
    static final String COMMENT = ": \n\n";

    private static final double MEMBERS_A_SITE = 5.8;
    private static final double PARENTS = 258.0 / 8_700; // two in each of 129 zones
    private static final int ROUTERS_A_SITE = 12;

    private final Layout layout;
    private final int members;
    private final int sites;
    private final Random random;

    CoordinatorEvents(Layout layout, int members, long seed) {
        this.layout = layout;
        this.members = members;
        this.sites = Math.max(1, (int) Math.round(members / MEMBERS_A_SITE));
        this.random = new Random(seed);
    }

    int sites() {
        return sites;
    }

    /** The event as the stream carries it. */
    static String onWire(long index, String event) {
        return "id: " + index + "\ndata: " + event + "\n\n";
    }

    static int bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** The whole list. */
    String whole(long index) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            lines.add(line(i, "active", 0));
        }
        return list(index, true, lines);
    }

    /** One member's process has been replaced. */
    String change(long index, long unixMillis) {
        return list(index, false, List.of(line(1 + random.nextInt(members - 1), "active", unixMillis)));
    }

    static String purge(long index, String object, long unixMillis) {
        return "{\"index\":" + index + ",\"evict\":{\"ref\":\"" + object + "\",\"unix_ms\":" + unixMillis + "}}";
    }

    /** An object's name; each number has its own. */
    static String object(long number) {
        return String.format("%016x", number * 0x9E3779B97F4A7C15L);
    }

    private static String list(long index, boolean whole, List<String> lines) {
        return lines.stream()
                .collect(Collectors.joining(
                        ",",
                        "{\"index\":" + index + ",\"endpoints\":{\"generation\":" + index + ",\"reset\":" + whole
                                + ",\"instances\":[",
                        "]}}"));
    }

    /** The first is the origin, then come the parents, then the caches. */
    private String line(int number, String lifecycle, long started) {
        int parents = Math.max(1, (int) Math.round(members * PARENTS));
        String kind = number == 0 ? "origin" : number <= parents ? "parent" : "cache";
        int site = layout == Layout.ONE_SITE && number > parents ? 0 : number % sites;
        return "{\"instanceId\":\"" + kind.charAt(0) + String.format("-%08x", number * 0x9E3779B1)
                + "\",\"hostPort\":\"10."
                + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":9090\",\"zone\":\"" + site(site)
                + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":400,\"startedAtMs\":" + started + "}";
    }

    private static String site(int number) {
        return String.format("site-%04d", number);
    }

    /** A router's configuration; it knows these events, the last of them of that number. */
    String config(long lastKnown, String... known) {
        return config("r-0001", lastKnown, known);
    }

    String config(String router, long lastKnown, String... known) {
        String zones =
                IntStream.range(0, sites).mapToObj(i -> "\"" + site(i) + "\"").collect(Collectors.joining(","));
        String crews = Collections.nCopies(sites, Integer.toString(ROUTERS_A_SITE)).stream()
                .collect(Collectors.joining(","));
        return """
                {"name":"%s","listen":"10.0.0.1:8080","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "coordinator":"10.0.0.2:8080","known":{"index":%d,"updates":[%s]},
                 "settings":{"az":"site-0000","zones":[%s],"kinds":["cache","parent","origin"],"me":0,"siblings":%d,
                  "classes":[{"name":"file","aim-us":400000,"aim-stretch":2.0,"deadline-us":3000000,"worth":2,
                    "late-worth":0.2,"idempotency":"pure"}],
                  "policy-limits":{"most-tries":6,"max-open":20000,"probing":false,"may-tell":false,"cancelling":true,
                   "second-copies":false,"retry-after":true,"max-retry-after-us":500000,
                   "connect-timeout-us":300000,"keepalive-us":30000000,"multiplex":100},
                  "obligations":{"answer-slack-us":8000,"stop-sending-within-us":1000000,"cold-from":0.2,
                   "cold-us":10000000,"tip-multiple":4,"overload-for-us":1000000},
                  "specifics":{"pass-through-ok":true,"can-join":true,"sideways":"location","note-level":"all",
                   "shield-kind":1,"store-kind":2,"never-kept":[false],"class-parts":[false],
                   "good-for-us":[0],"class-grace-us":[0],"worth-when-old":[0.5],"crew-by-zone":[%s],
                   "notice-time-us":500000,"purge-settles-us":4900000,"parent-starts-at":0.1,
                   "upper-cold-us":10000000,"parent-fall-multiple":2},
                  "telemetry":{"how":"none","columns":[]},"weights":"rough"}}
                """
                .formatted(router, lastKnown, String.join(",", known), zones, sites * ROUTERS_A_SITE, crews);
    }
}
