package pumicemoor.fleet.cells;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import pumicemoor.Hashes;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.fleet.BadPacketException;
import pumicemoor.fleet.Datagram;
import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.Fleet.Listed;
import pumicemoor.fleet.FleetParticipant;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.LogEvent;
import pumicemoor.fleet.Packet;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.Join;
import pumicemoor.fleet.Packet.Place;
import pumicemoor.fleet.PacketCodec;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;

/**
 * One router's part in a fleet of cells: the level of its cell, and the level of all cells' delegates where it is one.
 * It owns which cell that is (the root's name, and how many bits of the hash of a router's name tell its parts apart),
 * when a cell is split, who is a delegate, and how routers of a cell find one another. What is lent, judged and voted is
 * decided by the two levels; no bound of theirs rests on agreement about cells.
 */
public final class CellFleet implements FleetParticipant {

    /** Cells' periods between delegates: the way between regions is longer. */
    public static final int UPPER_PERIOD = 5;

    private static final int UPPER_MOST = 8_192; // delegates in the table
    private static final int SETTLING = 24; // periods in a cell before a router counts itself among its delegates
    private static final int OVER = 10; // periods that a cell is over its bound before it is split
    private static final int MOVING = 2; // leases, from the first word of a split until its grantor itself moves
    private static final int TOLD = 16; // routers that are told of a split, a period
    private static final int FIRST_WAIT = 2; // periods until a join is sent again, doubled each time
    private static final int LAST_WAIT = 64; // periods, between joins that only look for what was missed
    private static final int JOINS = 64; // answered or passed on, a period
    private static final int OPEN_JOINS = 16; // whose answers are taken

    private final FleetSetup setup;
    private final CellSetup cells;
    private final String name;
    private final String address;
    private final long period;
    private final long instance;
    private final Random random;
    private final PacketCodec joins;
    private final List<String> cellSeeds = new ArrayList<>();
    private final List<String> upperSeeds = new ArrayList<>();
    private final List<Datagram> outbox = new ArrayList<>();
    private final List<LogEvent> notices = new ArrayList<>();
    private final Deque<Long> openJoins = new ArrayDeque<>();
    private final Map<String, Long> dropped = new TreeMap<>();
    private Map<Long, Listed> members = Map.of();
    private Fleet cell;
    private Fleet upper; // null for none: this router is no delegate
    private int depth;
    private int wantedDepth; // over depth where the cell is being split
    private long now;
    private long inCellSince;
    private long checkAt;
    private long joinAt;
    private int joinWait = FIRST_WAIT;
    private int seed;
    private long number;
    private int joinsTaken;
    private int told;
    private long overSince = Long.MAX_VALUE;
    private long moveAt = Long.MAX_VALUE;
    private long sent;
    private long sentBytes;
    private long heard;

    /** Starts at this time (Unix microseconds); the setup has cells. */
    public CellFleet(FleetSetup setup, long time, long seed) {
        this.setup = setup;
        this.cells = setup.cells().orElseThrow();
        this.name = setup.membership().name();
        this.address = setup.membership().address();
        this.period = setup.membership().period();
        this.random = new Random(seed);
        this.instance = Math.max(1, (time / 1_000 << 20) | random.nextInt(1 << 20));
        this.joins = new PacketCodec(setup.cluster() + "/join");
        this.now = time;
        this.inCellSince = time;
        this.checkAt = time + 1 + (long) (random.nextDouble() * period);
        this.joinAt = time;
        this.cell = newCell();
    }

    // ---- names ----------------------------------------------------------------------------------------

    /** A router's name as it stands behind its root's on the level above: cut to a hash where both are too long. */
    private String label(String router) {
        return cells.root().length() + 1 + router.length() <= PacketCodec.LONGEST_NAME
                ? router
                : Long.toHexString(Hashes.of(router));
    }

    private static String rootOf(String upperName) {
        return upperName.substring(0, Math.max(0, upperName.indexOf('.')));
    }

    private static String labelOf(String upperName) {
        return upperName.substring(upperName.indexOf('.') + 1);
    }

    private static int common(String label, String other) {
        return Long.numberOfLeadingZeros(Hashes.of(label) ^ Hashes.of(other));
    }

    private boolean shares(String router, int bits) {
        return common(label(router), label(name)) >= bits;
    }

    private String bits(int count) {
        StringBuilder bits = new StringBuilder();
        for (int i = 0; i < count; i++) {
            bits.append(Hashes.of(label(name)) >>> (63 - i) & 1);
        }
        return bits.toString();
    }

    /** The name of this router's cell: its root, and the bits that tell the cell from the root's others. */
    public String cellName() {
        return depth == 0 ? cells.root() : cells.root() + "/" + bits(depth);
    }

    private FleetSetup level(String cluster, String as, List<String> seeds, long every, int most) {
        Membership.Setup m = setup.membership();
        return new FleetSetup(
                cluster,
                new Membership.Setup(as, address, seeds, every, m.indirect(), m.fanout(), m.remember(), most),
                setup.size(),
                setup.times(),
                setup.limits(),
                setup.verdicts());
    }

    private Fleet newCell() {
        return Fleet.ofCell(
                level(setup.cluster() + "/" + cellName(), name, cellSeeds, period, 4 * cells.most() + 64),
                setup.cluster() + "/" + cells.root(),
                now,
                random.nextLong(),
                instance);
    }

    // ---- what comes in --------------------------------------------------------------------------------

    @Override
    public void receive(long time, byte[] bytes) {
        now = Math.max(now, time);
        long cluster = PacketCodec.cluster(bytes);
        if (upper != null && cluster == upper.cluster()) {
            upper.receive(now, bytes);
        } else if (cluster == joins.cluster()) {
            heardJoin(bytes);
        } else {
            cell.receive(now, bytes);
        }
        meet();
    }

    private void meet() {
        if (upper != null) {
            cell.meet(now, upper);
        }
    }

    private void drop(String what) {
        dropped.merge(what, 1L, Long::sum);
    }

    @Override
    public void updateMembers(long time, Map<Long, Listed> listed) {
        now = Math.max(now, time);
        members = Map.copyOf(listed);
        cell.updateMembers(now, members);
        if (upper != null) {
            upper.updateMembers(now, members);
        }
    }

    @Override
    public void reportDemand(LimitDemand wanted) {
        cell.reportDemand(wanted);
    }

    @Override
    public void reportHealth(long time, MemberHealthReport judged) {
        now = Math.max(now, time);
        cell.reportHealth(now, judged);
    }

    @Override
    public void leave(long time) {
        now = Math.max(now, time);
        cell.leave(now);
        if (upper != null) {
            upper.leave(now);
        }
    }

    // ---- time -----------------------------------------------------------------------------------------

    @Override
    public long nextDue() {
        long due = Math.min(cell.nextDue(), checkAt);
        return upper == null ? due : Math.min(due, upper.nextDue());
    }

    @Override
    public void advance(long time) {
        now = Math.max(now, time);
        cell.advance(now);
        if (upper != null) {
            upper.advance(now);
        }
        meet();
        if (now >= checkAt) {
            checkAt = now + period;
            joinsTaken = 0;
            delegate();
            split();
            join();
        }
    }

    /** Becomes a delegate or ceases to be one: not before the cell is known, nor while its shares can be counted on. */
    private void delegate() {
        boolean settled = now >= inCellSince + SETTLING * period;
        boolean among = cell.among(cells.delegates());
        if (upper == null && settled && among) {
            upper = Fleet.ofDelegates(
                    level(
                            setup.cluster() + "/^",
                            cells.root() + "." + label(name),
                            upperSeeds,
                            UPPER_PERIOD * period,
                            UPPER_MOST),
                    now,
                    random.nextLong(),
                    instance,
                    cell);
            upper.updateMembers(now, members);
            cell.setAbove(upper);
            joinAt = now;
            joinWait = FIRST_WAIT;
            notice("this router is a delegate of cell " + cellName(), Map.of("cell", cellName(), "delegate", true));
        } else if (upper != null && settled && !among && upper.sharesOver(now)) {
            upper.leave(now);
            fetch(upper);
            cell.setAbove(null);
            upper = null;
            notice(
                    "this router is no delegate of cell " + cellName() + " any more",
                    Map.of("cell", cellName(), "delegate", false));
        }
    }

    private void notice(String text, Map<String, Object> figures) {
        notices.add(new LogEvent(text, figures));
    }

    private void fetch(Fleet level) {
        outbox.addAll(level.takePackets());
        notices.addAll(level.takeLogEvents());
    }

    // ---- splits ---------------------------------------------------------------------------------------

    /** The grantor of a cell over its bound tells its routers, round by round, and moves last. */
    private void split() {
        if (!cell.grants()) {
            overSince = Long.MAX_VALUE;
            moveAt = Long.MAX_VALUE;
            wantedDepth = depth;
            return;
        }
        List<RouterRecord> living = cell.living();
        boolean over = living.size() + 1 > cells.most() && depth < PacketCodec.MOST_DEPTH;
        overSince = over ? Math.min(overSince, now) : Long.MAX_VALUE;
        if (over
                && wantedDepth == depth
                && now >= inCellSince + SETTLING * period
                && now - overSince >= OVER * period) {
            wantedDepth = Math.min(PacketCodec.MOST_DEPTH, depth + bitsFor(living.size() + 1));
            notice(
                    "cell " + cellName() + " is split: it has " + (living.size() + 1) + " routers of " + cells.most(),
                    Map.of("cell", cellName(), "routers", living.size() + 1, "depth", wantedDepth));
        }
        if (wantedDepth <= depth) {
            return;
        }
        if (moveAt == Long.MAX_VALUE) {
            moveAt = now + MOVING * setup.times().lease();
        }
        for (int i = 0; i < Math.min(TOLD, living.size()); i++) {
            send(living.get(told++ % living.size()).address(), new Place(0, wantedDepth, List.of(), List.of()));
        }
        if (now >= moveAt || living.isEmpty()) {
            move(wantedDepth, List.of());
        }
    }

    /** By how many bits so many routers are told apart until no part is over the bound, as far as hashes are even. */
    private int bitsFor(int routers) {
        int bits = 1;
        while (routers >> bits > cells.most()) {
            bits++;
        }
        return bits;
    }

    /** Goes to the part of its cell that shares so many bits; the leases and books stay, for they name processes. */
    private void move(int to, List<String> seeds) {
        List<String> known = new ArrayList<>(cell.living().stream()
                .filter(n -> shares(n.name(), to))
                .map(RouterRecord::address)
                .toList());
        Collections.shuffle(known, random);
        Fleet old = cell;
        cellSeeds.clear();
        cellSeeds.addAll(seeds);
        cellSeeds.addAll(known.subList(0, Math.min(PacketCodec.PLACES, known.size())));
        depth = to;
        wantedDepth = to;
        inCellSince = now;
        overSince = Long.MAX_VALUE;
        moveAt = Long.MAX_VALUE;
        joinAt = now + FIRST_WAIT * period;
        joinWait = FIRST_WAIT;
        old.leave(now);
        fetch(old);
        cell = newCell();
        cell.succeed(old);
        if (upper != null) {
            cell.setAbove(upper);
            upper.setBelow(cell);
        }
        notice("this router is in cell " + cellName() + " now", Map.of("cell", cellName(), "depth", depth));
    }

    // ---- finding one another --------------------------------------------------------------------------

    private boolean lonely() {
        return cell.living().isEmpty() || upper != null && upper.living().isEmpty();
    }

    /** Asks the seeds in turn for its cell while it knows nobody, and now and then for what was missed. */
    private void join() {
        if (lonely() && joinWait == LAST_WAIT) {
            joinWait = LAST_WAIT / 2;
        }
        if (now < joinAt) {
            return;
        }
        joinAt = now + (long) (joinWait * period * (0.5 + random.nextDouble()));
        joinWait = lonely() ? Math.min(LAST_WAIT / 2, 2 * joinWait) : LAST_WAIT;
        if (!lonely() && !cell.grants()) {
            return;
        }
        List<String> seeds = setup.membership().seeds();
        if (!seeds.isEmpty()) {
            ask(seeds.get(Math.floorMod(seed++, seeds.size())));
        }
        if (upper != null) {
            nearest(label(name), -1, cell.living()).ifPresent(n -> ask(n.address()));
        }
    }

    private void ask(String to) {
        if (!to.equals(address)) {
            openJoins.add(send(to, new Join(cells.root(), depth, 0)));
            if (openJoins.size() > OPEN_JOINS) {
                openJoins.remove();
            }
        }
    }

    /** Of the delegates of this root the one that shares the longest prefix with a router, longer than some bits. */
    private Optional<RouterRecord> nearest(String router, int bits, List<RouterRecord> without) {
        return nearest(cells.root(), router, bits, without);
    }

    private Optional<RouterRecord> nearest(String root, String router, int bits, List<RouterRecord> without) {
        return upper.living().stream()
                .filter(n -> rootOf(n.name()).equals(root)
                        && common(labelOf(n.name()), router) > bits
                        && without.stream().noneMatch(c -> c.address().equals(n.address())))
                .max(Comparator.comparingInt(n -> common(labelOf(n.name()), router)));
    }

    private long send(String to, Body body) {
        put(to, new Packet(cell.self(), ++number, body, List.of(), List.of()));
        return number;
    }

    private void put(String to, Packet packet) {
        byte[] bytes = joins.write(packet);
        sent++;
        sentBytes += bytes.length;
        outbox.add(new Datagram(to, bytes));
    }

    private void heardJoin(byte[] bytes) {
        Packet packet;
        try {
            packet = joins.read(bytes, Membership.lastIncarnation(now));
        } catch (BadPacketException e) {
            drop(e.getMessage().toLowerCase(java.util.Locale.ROOT));
            return;
        }
        heard++;
        if (packet.from().name().equals(name) || ++joinsTaken > JOINS) {
            drop(packet.from().name().equals(name) ? "duplicate-names" : "joins-limited");
        } else if (packet.body() instanceof Join j) {
            joins(packet, j);
        } else if (packet.body() instanceof Place p) {
            placed(packet.from(), p);
        }
    }

    private void joins(Packet packet, Join j) {
        RouterRecord from = packet.from();
        if (j.root().equals(cells.root()) && shares(from.name(), depth)) {
            List<String> known = new ArrayList<>(
                    cell.living().stream().map(RouterRecord::address).toList());
            Collections.shuffle(known, random);
            known.add(0, address);
            put(
                    from.address(),
                    new Packet(
                            cell.self(),
                            ++number,
                            new Place(
                                    packet.number(),
                                    depth,
                                    known.subList(0, Math.min(PacketCodec.PLACES, known.size())),
                                    delegates()),
                            List.of(),
                            List.of()));
            if (j.depth() > depth) {
                wantedDepth = Math.max(wantedDepth, depth + 1); // the deeper one stays: cells are never joined again
            }
            return;
        }
        if (j.hops() < PacketCodec.MOST_HOPS) {
            Optional<RouterRecord> next = upper == null
                    ? cell.first(1).stream().findFirst()
                    : nearest(
                            j.root(),
                            label(from.name()),
                            j.root().equals(cells.root()) ? common(label(name), label(from.name())) : -1,
                            List.of());
            next.filter(n -> !n.address().equals(address) && !n.address().equals(from.address()))
                    .ifPresent(n -> put(
                            n.address(),
                            new Packet(
                                    from,
                                    packet.number(),
                                    new Join(j.root(), j.depth(), j.hops() + 1),
                                    List.of(),
                                    List.of())));
        }
        if (upper != null) {
            send(from.address(), new Place(packet.number(), -1, List.of(), List.of(address)));
        }
    }

    private List<String> delegates() {
        return cell.first(cells.delegates()).stream().map(RouterRecord::address).toList();
    }

    private void placed(RouterRecord from, Place p) {
        if (p.join() == 0) {
            RouterRecord grantor = cell.first(1).get(0);
            if (p.depth() > depth && grantor.name().equals(from.name()) && grantor.instance() == from.instance()) {
                move(p.depth(), List.of());
            }
            return;
        }
        if (!openJoins.contains(p.join())) {
            drop("unasked-places");
            return;
        }
        p.delegates().forEach(d -> remember(upperSeeds, d));
        if (p.depth() > depth && cell.living().isEmpty()) {
            move(p.depth(), p.cell());
        } else if (p.depth() > depth && cell.grants()) {
            wantedDepth = Math.max(wantedDepth, depth + 1);
        } else if (p.depth() == depth) {
            p.cell().forEach(a -> remember(cellSeeds, a));
        }
    }

    private void remember(List<String> seeds, String one) {
        if (!one.equals(address) && !seeds.contains(one)) {
            seeds.add(one);
            if (seeds.size() > PacketCodec.PLACES) {
                seeds.remove(0);
            }
        }
    }

    // ---- what goes out and what can be seen -----------------------------------------------------------

    @Override
    public int routers() {
        return cell.routers();
    }

    @Override
    public Optional<Drains.View> takeDrainView() {
        return Optional.empty();
    }

    @Override
    public boolean membersUsable() {
        return true;
    }

    @Override
    public boolean coordinatesDrains() {
        return false;
    }

    @Override
    public String handleCommand(long time, Map<String, String> fields) {
        return "refused: a fleet of cells has no drains";
    }

    @Override
    public List<Datagram> takePackets() {
        List<Datagram> packets = new ArrayList<>(outbox);
        outbox.clear();
        packets.addAll(cell.takePackets());
        if (upper != null) {
            packets.addAll(upper.takePackets());
        }
        return packets;
    }

    @Override
    public List<Event> takeEvents() {
        if (upper != null) {
            upper.takeEvents(); // the decisions go by what the cell tells
        }
        return cell.takeEvents();
    }

    @Override
    public List<LogEvent> takeLogEvents() {
        List<LogEvent> all = new ArrayList<>(notices);
        notices.clear();
        all.addAll(cell.takeLogEvents());
        if (upper != null) {
            all.addAll(upper.takeLogEvents());
        }
        return all;
    }

    @Override
    public Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>(cell.fields());
        fields.put("fleet-cell", cellName());
        fields.put("fleet-delegate", upper == null ? "no" : "yes");
        dropped.forEach((what, count) -> add(fields, "fleet-dropped-" + what, count));
        add(fields, "fleet-packets-out", sent);
        add(fields, "fleet-bytes-out", sentBytes);
        add(fields, "fleet-packets-in", heard);
        if (upper != null) {
            Map<String, String> above = upper.fields();
            fields.put("fleet-keeper", above.get("fleet-keeper"));
            fields.put("fleet-delegates", above.get("fleet-living"));
            fields.put("fleet-upper-grantor", above.get("fleet-grantor"));
            above.forEach((key, value) -> {
                if (key.startsWith("fleet-dropped-")
                        || key.equals("fleet-packets-out")
                        || key.equals("fleet-bytes-out")
                        || key.equals("fleet-packets-in")) {
                    add(fields, key, Long.parseLong(value));
                }
            });
        }
        return fields;
    }

    private static void add(Map<String, String> fields, String key, long more) {
        fields.merge(key, Long.toString(more), (a, b) -> Long.toString(Long.parseLong(a) + Long.parseLong(b)));
    }

    @Override
    public Optional<List<Map<String, Object>>> rows(String subject) {
        Optional<List<Map<String, Object>>> rows = cell.rows(subject);
        if (!subject.equals("members") || rows.isEmpty()) {
            return rows;
        }
        List<Map<String, Object>> all = new ArrayList<>();
        rows.get().forEach(r -> all.add(withLevel(r, "cell")));
        if (upper != null) {
            upper.rows(subject).orElseThrow().forEach(r -> all.add(withLevel(r, "upper")));
        }
        return Optional.of(all);
    }

    private static Map<String, Object> withLevel(Map<String, Object> row, String level) {
        Map<String, Object> with = new LinkedHashMap<>();
        with.put("level", level);
        with.putAll(row);
        return with;
    }
}
