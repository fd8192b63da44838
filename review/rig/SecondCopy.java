import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A store with few workers turns bookings away while all are busy ('full': it never ran). With the disruption some of
 * the answers of all cache servers bring a second copy, some milliseconds late. No booking may run twice, and none that
 * runs may be answered 'refused'.
 */
public final class SecondCopy {

    private static final int SOCKETS = Integer.getInteger("sockets", 256);
    private static final int WORKERS = 2;
    private static final int REQUESTS = 3_000;
    private static final int GAP_MILLIS = 10; // in the mean; 100 requests a second
    private static final int BOOKING_EACH = 6; // one of so many requests is a booking
    private static final long MEDIA_TTL = 6_000;
    private static final long BOOKING_TTL = 3_000;
    private static final int SECOND_COPY_EACH = 3; // one of so many answers comes twice
    private static final int TURN_AWAY_MILLIS = 4; // the time that 'full' takes
    private static final int LEAST_LATE_MILLIS = 5;
    private static final int MOST_LATE_MILLIS = 20;

    private final Rig rig;
    private final Random random = new Random(47);
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, StringBuilder> stories = new ConcurrentHashMap<>();
    private int running;

    private SecondCopy(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        try {
            new SecondCopy(rig).play();
        } catch (Exception e) {
            rig.finish(2, "the case couldn't run: " + e);
        }
    }

    private interface Answer {
        void write() throws IOException;
    }

    /** Writes an answer, and for some of them a second copy of it. Says whether there will be one. */
    private boolean answer(Answer answer) throws IOException {
        boolean again;
        int late;
        synchronized (random) {
            again = rig.trouble && random.nextInt(SECOND_COPY_EACH) == 0;
            late = LEAST_LATE_MILLIS + random.nextInt(MOST_LATE_MILLIS - LEAST_LATE_MILLIS);
        }
        answer.write();
        if (again) {
            rig.later.schedule(
                    () -> {
                        try {
                            answer.write();
                        } catch (IOException e) {
                            // the router has closed the connection
                        }
                    },
                    late,
                    TimeUnit.MILLISECONDS);
        }
        return again;
    }

    private void tell(Rig.Ask ask, String what) {
        StringBuilder story = stories.computeIfAbsent(ask.id, id -> new StringBuilder());
        synchronized (story) {
            story.append("; at ").append(rig.millis()).append(" ms ").append(what);
        }
    }

    private synchronized boolean begin() {
        if (running == WORKERS) {
            return false;
        }
        running++;
        return true;
    }

    private synchronized void end() {
        running--;
    }

    private void store(Rig.Ask ask) throws IOException {
        if (!ask.fields.get("cls").equals("booking-write")) {
            cache(ask);
        } else if (!begin()) {
            rig.later.schedule(
                    () -> {
                        tell(ask, "full" + (answer(() -> ask.word("full")) ? " (with a second copy)" : ""));
                        return null;
                    },
                    TURN_AWAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        } else {
            runs.merge(ask.id, 1, Integer::sum);
            tell(ask, "RUNS");
            int millis;
            synchronized (random) {
                millis = 60 + random.nextInt(80);
            }
            rig.later.schedule(
                    () -> {
                        end();
                        tell(ask, "done");
                        return answer(() -> ask.data(100, "mem"));
                    },
                    millis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void cache(Rig.Ask ask) {
        rig.later.schedule(() -> answer(() -> ask.data(20_000, "mem")), 10, TimeUnit.MILLISECONDS);
    }

    private void play() throws Exception {
        List<Rig.Member> members = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            members.add(rig.add(rig.new Member("box-" + i, "west", "cache", this::cache)));
        }
        members.add(rig.add(rig.new Member("hub-a", "hub", "hub", this::cache)));
        members.add(rig.add(rig.new Member("store", "hub", "origin", this::store)));
        Rig.Coordinator coordinator = rig.add(rig.new Coordinator(1));
        List<String> entries = members.stream().map(m -> m.entry("active", 0)).toList();
        Rig.Router router = rig.add(rig.new Router(
                "n0", Rig.freePort(), Rig.config(coordinator.address(), 192, SOCKETS, entries, Map.of())));
        if (!router.awaitReady(30_000)) {
            rig.finish(2, "the router is not ready");
        }
        List<Rig.Sent> bookings = new ArrayList<>();
        Rig.Client[] clients = new Rig.Client[10];
        Random arrivals = new Random(11);
        for (int n = 0; n < REQUESTS; n++) {
            int who = n % clients.length;
            if (clients[who] == null || clients[who].ended || clients[who].drained) {
                clients[who] = rig.new Client(router.port, null);
            }
            if (arrivals.nextInt(BOOKING_EACH) == 0) {
                bookings.add(clients[who].request("booking-write", BOOKING_TTL, Rig.item(n), 0, 3, new byte[200]));
            } else {
                clients[who].request("media-fetch", MEDIA_TTL, Rig.item(n % 50), 0, 3, new byte[0]);
            }
            Rig.sleep(arrivals.nextInt(2 * GAP_MILLIS + 1));
        }
        Rig.sleep(BOOKING_TTL + Rig.LATEST_MILLIS);
        int twice = 0;
        int refused = 0;
        Map<Integer, Integer> codes = new TreeMap<>(Collections.reverseOrder());
        for (Rig.Sent sent : bookings) {
            int ran = runs.getOrDefault(sent.call, 0);
            twice += ran > 1 ? 1 : 0;
            refused += sent.code == 0 && ran > 0 ? 1 : 0;
            codes.merge(sent.code, 1, Integer::sum);
            rig.say("booking %s sent at %d ms: code %d after %d ms, ran %d times%s%s%s", sent.call, sent.sentAt,
                    sent.code, sent.answeredAt - sent.sentAt, ran, ran > 1 ? "  RAN TWICE" : "",
                    sent.code == 0 && ran > 0 ? "  REFUSED THOUGH IT RAN" : "",
                    stories.getOrDefault(sent.call, new StringBuilder()));
        }
        rig.say("of %d bookings: answers by code (1 served, 0 refused, 9 failed) %s; ran more than once: %d; refused though"
                + " they ran: %d", bookings.size(), codes, twice, refused);
        rig.finish(twice + refused > 0 ? 1 : 0,
                "of " + bookings.size() + " bookings " + twice + " ran more than once, " + refused
                        + " were refused though they ran");
    }
}
