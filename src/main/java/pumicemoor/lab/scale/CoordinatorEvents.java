package pumicemoor.lab.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Generates the texts that a coordinator sends in an installation of the measured size: member lists, changes of single
 * members, purges, and the configuration of a router that includes initial events. It owns the layout of the simulated
 * installation and must not contain decision logic. All output follows from the seed.
 */
final class CoordinatorEvents {

    /** How members are placed: at sites as in the target installation, or with all caches at the router's own site. */
    enum Layout {
        SITES,
        ONE_SITE
    }

    /** The index of the last event before the measurement, with as many digits as a coordinator reaches in two days. */
    static final long INITIAL_INDEX = 36_000_000;
    /** The time at which purges and member changes begin. */
    static final long START_UNIX_MILLIS = 1_764_576_000_000L;
    /** A heartbeat between events, as the coordinator stand-in writes it. The figures include one a second. */
    static final String HEARTBEAT = ": \n\n";

    private static final double MEMBERS_PER_SITE = 5.8;
    private static final double PARENT_SHARE = 258.0 / 8_700; // of all members: two parents in each of 129 zones
    private static final int ROUTERS_PER_SITE = 12;

    private final Layout layout;
    private final int members;
    private final int sites;
    private final Random random;

    CoordinatorEvents(Layout layout, int members, long seed) {
        this.layout = layout;
        this.members = members;
        this.sites = Math.max(1, (int) Math.round(members / MEMBERS_PER_SITE));
        this.random = new Random(seed);
    }

    int sites() {
        return sites;
    }

    /** The event in the format of the stream (server-sent events). */
    static String streamText(long index, String event) {
        return "id: " + index + "\ndata: " + event + "\n\n";
    }

    static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** An event with the whole member list. */
    String memberList(long index) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            entries.add(memberEntry(i, "active", 0));
        }
        return endpointsEvent(index, true, entries);
    }

    /** An event with a single changed member, whose process was replaced. */
    String memberChange(long index, long unixMillis) {
        return endpointsEvent(
                index, false, List.of(memberEntry(1 + random.nextInt(members - 1), "active", unixMillis)));
    }

    static String purge(long index, String object, long unixMillis) {
        return "{\"index\":" + index + ",\"evict\":{\"ref\":\"" + object + "\",\"unix_ms\":" + unixMillis + "}}";
    }

    /** The name of the object with this number; names are unique. */
    static String objectName(long number) {
        return String.format("%016x", number * 0x9E3779B97F4A7C15L);
    }

    private static String endpointsEvent(long index, boolean whole, List<String> entries) {
        return entries.stream()
                .collect(Collectors.joining(
                        ",",
                        "{\"index\":" + index + ",\"endpoints\":{\"generation\":" + index + ",\"reset\":" + whole
                                + ",\"instances\":[",
                        "]}}"));
    }

    /** One entry of the member list: number 0 is the origin, then come the parents, then the caches. */
    private String memberEntry(int number, String lifecycle, long startedAtMillis) {
        int parents = Math.max(1, (int) Math.round(members * PARENT_SHARE));
        String kind = number == 0 ? "origin" : number <= parents ? "parent" : "cache";
        int site = layout == Layout.ONE_SITE && number > parents ? 0 : number % sites;
        return "{\"instanceId\":\"" + kind.charAt(0) + String.format("-%08x", number * 0x9E3779B1)
                + "\",\"hostPort\":\"10."
                + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":9090\",\"zone\":\""
                + siteName(site)
                + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":400,\"startedAtMs\":" + startedAtMillis + "}";
    }

    private static String siteName(int number) {
        return String.format("site-%04d", number);
    }

    /** A router configuration that includes these events, the last of which has the index {@code lastIndex}. */
    String config(long lastIndex, String... events) {
        return config("r-0001", lastIndex, events);
    }

    String config(String router, long lastIndex, String... events) {
        String zones = IntStream.range(0, sites)
                .mapToObj(i -> "\"" + siteName(i) + "\"")
                .collect(Collectors.joining(","));
        String routersBySite = Collections.nCopies(sites, Integer.toString(ROUTERS_PER_SITE)).stream()
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
                .formatted(router, lastIndex, String.join(",", events), zones, sites * ROUTERS_PER_SITE, routersBySite);
    }
}
