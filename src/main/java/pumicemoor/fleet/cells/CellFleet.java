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
import pumicemoor.RouterApi.LimitDemand;
import pumicemoor.RouterApi.MemberHealthReport;
import pumicemoor.fleet.BadPacketException;
import pumicemoor.fleet.Datagram;
import pumicemoor.fleet.Fleet;
import pumicemoor.fleet.Fleet.ListedMember;
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
 * A router's participation in a fleet that is divided into cells: it runs the level of its own cell and, while it is a
 * delegate, the upper level that the delegates of all cells form. It owns the choice of the cell (a root's name, and
 * how many leading bits of the hash of a router's name separate the root's cells), the split of a cell that is too
 * large, the choice of delegates, and the discovery of the other routers of a cell. Leases, ejections and votes are
 * decided by the two levels; none of their bounds relies on routers agreeing about cells.
 */
public final class CellFleet implements FleetParticipant {

    /** The gossip period of the upper level in periods of a cell: packets between regions take longer. */
    public static final int UPPER_PERIOD_FACTOR = 5;

    private static final int MAX_UPPER_ROUTERS = 8_192; // delegates in the membership table of the upper level
    private static final int SETTLING_PERIODS = 24; // in a cell before a router may become a delegate or split the cell
    private static final int OVERSIZE_PERIODS = 10; // how long a cell must be over its bound before it is split
    private static final int MOVE_DELAY_LEASES = 2; // from the first message of a split until the grantor itself moves
    private static final int SPLIT_MESSAGES_PER_PERIOD = 16;
    private static final int MIN_JOIN_WAIT_PERIODS = 2; // until a join is repeated; doubled each time
    private static final int MAX_JOIN_WAIT_PERIODS = 64; // between joins that only look for routers that were missed
    private static final int MAX_DISCOVERY_PACKETS_PER_PERIOD = 64; // joins and places; further ones are dropped
    private static final int MAX_OPEN_JOINS = 16; // the last joins sent, whose answers are accepted

    private final FleetSetup setup;
    private final CellSetup cellSetup;
    private final String name;
    private final String address;
    private final long cellPeriodMicros;
    private final long instance;
    private final Random random;
    private final PacketCodec joinCodec;
    private final List<String> cellSeeds = new ArrayList<>();
    private final List<String> upperSeeds = new ArrayList<>();
    private final List<Datagram> outbox = new ArrayList<>();
    private final List<LogEvent> logEvents = new ArrayList<>();
    private final Deque<Long> openJoins = new ArrayDeque<>();
    private final Map<String, Long> dropped = new TreeMap<>();
    private Map<Long, ListedMember> members = Map.of();
    private Fleet cell;
    private Fleet upper; // null unless this router is a delegate
    private int depth; // bits of the hash that identify the cell
    private int targetDepth; // greater than depth while the cell is being split
    private long now;
    private long inCellSince;
    private long checkAt;
    private long joinAt;
    private int joinWaitPeriods = MIN_JOIN_WAIT_PERIODS;
    private int nextSeed;
    private long lastNumber; // of the discovery packets sent
    private int discoveryPacketsHandled;
    private int splitMessages;
    private long oversizeSince = Long.MAX_VALUE;
    private long moveAt = Long.MAX_VALUE;
    private long packetsSent;
    private long bytesSent;
    private long packetsReceived;

    /** Starts the participation at this time (Unix microseconds); the setup must have cells. */
    public CellFleet(FleetSetup setup, long time, long randomSeed) {
        this.setup = setup;
        this.cellSetup = setup.cells().orElseThrow();
        this.name = setup.membership().name();
        this.address = setup.membership().address();
        this.cellPeriodMicros = setup.membership().periodMicros();
        this.random = new Random(randomSeed);
        this.instance = Math.max(1, (time / 1_000 << 20) | random.nextInt(1 << 20));
        this.joinCodec = new PacketCodec(setup.cluster() + "/join");
        this.now = time;
        this.inCellSince = time;
        this.checkAt = time + 1 + (long) (random.nextDouble() * cellPeriodMicros);
        this.joinAt = time;
        this.cell = newCell();
    }

    // ---- names ----------------------------------------------------------------------------------------

    /**
     * Returns what follows the root in a router's name on the upper level: the router's own name, or its hash if root
     * and name together are too long.
     */
    private String label(String router) {
        return cellSetup.root().length() + 1 + router.length() <= PacketCodec.MAX_NAME_LENGTH
                ? router
                : Long.toHexString(Hashes.of(router));
    }

    private static String rootOf(String upperName) {
        return upperName.substring(0, Math.max(0, upperName.indexOf('.')));
    }

    private static String labelOf(String upperName) {
        return upperName.substring(upperName.indexOf('.') + 1);
    }

    private static int commonPrefixBits(String label, String other) {
        return Long.numberOfLeadingZeros(Hashes.of(label) ^ Hashes.of(other));
    }

    private boolean sharesPrefix(String router, int bits) {
        return commonPrefixBits(label(router), label(name)) >= bits;
    }

    private String hashPrefix(int bits) {
        StringBuilder prefix = new StringBuilder();
        for (int i = 0; i < bits; i++) {
            prefix.append(Hashes.of(label(name)) >>> (63 - i) & 1);
        }
        return prefix.toString();
    }

    /**
     * Returns the name of this router's cell: its root, and the hash bits that distinguish the cell from the root's
     * other cells.
     */
    public String cellName() {
        return depth == 0 ? cellSetup.root() : cellSetup.root() + "/" + hashPrefix(depth);
    }

    private FleetSetup levelSetup(
            String cluster, String nameThere, List<String> seeds, long periodMicros, int maxRouters) {
        Membership.Setup membership = setup.membership();
        return new FleetSetup(
                cluster,
                new Membership.Setup(
                        nameThere,
                        address,
                        seeds,
                        periodMicros,
                        membership.indirectProbes(),
                        membership.fanout(),
                        membership.rememberMicros(),
                        maxRouters),
                setup.size(),
                setup.times(),
                setup.limits(),
                setup.ejectionRules());
    }

    private Fleet newCell() {
        return Fleet.ofCell(
                levelSetup(
                        setup.cluster() + "/" + cellName(),
                        name,
                        cellSeeds,
                        cellPeriodMicros,
                        4 * cellSetup.maxRouters() + 64),
                setup.cluster() + "/" + cellSetup.root(),
                now,
                random.nextLong(),
                instance);
    }

    // ---- input ----------------------------------------------------------------------------------------

    @Override
    public void receive(long time, byte[] bytes) {
        now = Math.max(now, time);
        long cluster = PacketCodec.cluster(bytes);
        if (upper != null && cluster == upper.cluster()) {
            upper.receive(now, bytes);
        } else if (cluster == joinCodec.cluster()) {
            receiveDiscovery(bytes);
        } else {
            cell.receive(now, bytes);
        }
        exchangeLevels();
    }

    private void exchangeLevels() {
        if (upper != null) {
            cell.exchangeWith(now, upper);
        }
    }

    private void countDropped(String reason) {
        dropped.merge(reason, 1L, Long::sum);
    }

    @Override
    public void updateMembers(long time, Map<Long, ListedMember> listed) {
        now = Math.max(now, time);
        members = Map.copyOf(listed);
        cell.updateMembers(now, members);
        if (upper != null) {
            upper.updateMembers(now, members);
        }
    }

    @Override
    public void reportDemand(LimitDemand demand) {
        cell.reportDemand(demand);
    }

    @Override
    public void reportHealth(long time, MemberHealthReport report) {
        now = Math.max(now, time);
        cell.reportHealth(now, report);
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
        exchangeLevels();
        if (now >= checkAt) {
            checkAt = now + cellPeriodMicros;
            discoveryPacketsHandled = 0;
            updateDelegateRole();
            advanceSplit();
            sendJoinIfDue();
        }
    }

    /**
     * Becomes a delegate or ceases to be one. Both wait until this router has been in its cell for the settling time,
     * and it ceases only once all shares that it leased for the cell have ended.
     */
    private void updateDelegateRole() {
        boolean settled = now >= inCellSince + SETTLING_PERIODS * cellPeriodMicros;
        boolean chosen = cell.isAmongTopRanked(cellSetup.delegates());
        if (upper == null && settled && chosen) {
            upper = Fleet.ofDelegates(
                    levelSetup(
                            setup.cluster() + "/^",
                            cellSetup.root() + "." + label(name),
                            upperSeeds,
                            UPPER_PERIOD_FACTOR * cellPeriodMicros,
                            MAX_UPPER_ROUTERS),
                    now,
                    random.nextLong(),
                    instance,
                    cell);
            upper.updateMembers(now, members);
            cell.setUpperLevel(upper);
            joinAt = now;
            joinWaitPeriods = MIN_JOIN_WAIT_PERIODS;
            log("this router is a delegate of cell " + cellName(), Map.of("cell", cellName(), "delegate", true));
        } else if (upper != null && settled && !chosen && upper.cellSharesEnded(now)) {
            upper.leave(now);
            collectOutput(upper);
            cell.setUpperLevel(null);
            upper = null;
            log(
                    "this router is no longer a delegate of cell " + cellName() + ": other routers rank higher",
                    Map.of("cell", cellName(), "delegate", false));
        }
    }

    private void log(String text, Map<String, Object> fields) {
        logEvents.add(new LogEvent(text, fields));
    }

    private void collectOutput(Fleet level) {
        outbox.addAll(level.takePackets());
        logEvents.addAll(level.takeLogEvents());
    }

    // ---- splits ---------------------------------------------------------------------------------------

    /**
     * If this router is the grantor of a cell over its bound, announces the split to some of the cell's routers each
     * period, and moves itself last.
     */
    private void advanceSplit() {
        if (!cell.isGrantor()) {
            oversizeSince = Long.MAX_VALUE;
            moveAt = Long.MAX_VALUE;
            targetDepth = depth;
            return;
        }
        List<RouterRecord> living = cell.living();
        boolean oversize = living.size() + 1 > cellSetup.maxRouters() && depth < PacketCodec.MAX_CELL_DEPTH;
        oversizeSince = oversize ? Math.min(oversizeSince, now) : Long.MAX_VALUE;
        if (oversize
                && targetDepth == depth
                && now >= inCellSince + SETTLING_PERIODS * cellPeriodMicros
                && now - oversizeSince >= OVERSIZE_PERIODS * cellPeriodMicros) {
            targetDepth = Math.min(PacketCodec.MAX_CELL_DEPTH, depth + bitsFor(living.size() + 1));
            log(
                    "cell " + cellName() + " is being split: it has " + (living.size() + 1)
                            + " routers, over the bound of " + cellSetup.maxRouters(),
                    Map.of("cell", cellName(), "routers", living.size() + 1, "depth", targetDepth));
        }
        if (targetDepth <= depth) {
            return;
        }
        if (moveAt == Long.MAX_VALUE) {
            moveAt = now + MOVE_DELAY_LEASES * setup.times().leaseMicros();
        }
        for (int i = 0; i < Math.min(SPLIT_MESSAGES_PER_PERIOD, living.size()); i++) {
            send(
                    living.get(splitMessages++ % living.size()).address(),
                    new Place(0, targetDepth, List.of(), List.of()));
        }
        if (now >= moveAt || living.isEmpty()) {
            moveToDepth(targetDepth, List.of());
        }
    }

    /**
     * Returns how many more bits split this many routers into cells within the bound, if the hashes spread them evenly.
     */
    private int bitsFor(int routers) {
        int bits = 1;
        while (routers >> bits > cellSetup.maxRouters()) {
            bits++;
        }
        return bits;
    }

    /**
     * Moves this router to its cell of this depth; leases and lease tables are kept, since they identify processes and
     * not cells.
     */
    private void moveToDepth(int newDepth, List<String> seeds) {
        List<String> known = new ArrayList<>(cell.living().stream()
                .filter(n -> sharesPrefix(n.name(), newDepth))
                .map(RouterRecord::address)
                .toList());
        Collections.shuffle(known, random);
        Fleet old = cell;
        cellSeeds.clear();
        cellSeeds.addAll(seeds);
        cellSeeds.addAll(known.subList(0, Math.min(PacketCodec.MAX_ADDRESSES, known.size())));
        depth = newDepth;
        targetDepth = newDepth;
        inCellSince = now;
        oversizeSince = Long.MAX_VALUE;
        moveAt = Long.MAX_VALUE;
        joinAt = now + MIN_JOIN_WAIT_PERIODS * cellPeriodMicros;
        joinWaitPeriods = MIN_JOIN_WAIT_PERIODS;
        old.leave(now);
        collectOutput(old);
        cell = newCell();
        cell.takeOver(old);
        if (upper != null) {
            cell.setUpperLevel(upper);
            upper.setLowerLevel(cell);
        }
        log("this router is in cell " + cellName() + " now", Map.of("cell", cellName(), "depth", depth));
    }

    // ---- discovery ------------------------------------------------------------------------------------

    private boolean isIsolated() {
        return cell.living().isEmpty() || upper != null && upper.living().isEmpty();
    }

    /**
     * Sends a join when due: often, to the seeds in turn, while this router knows no other one on a level; after that
     * rarely, and only as the cell's grantor, to find routers that were missed.
     */
    private void sendJoinIfDue() {
        if (isIsolated() && joinWaitPeriods == MAX_JOIN_WAIT_PERIODS) {
            joinWaitPeriods = MAX_JOIN_WAIT_PERIODS / 2;
        }
        if (now < joinAt) {
            return;
        }
        joinAt = now + (long) (joinWaitPeriods * cellPeriodMicros * (0.5 + random.nextDouble()));
        joinWaitPeriods =
                isIsolated() ? Math.min(MAX_JOIN_WAIT_PERIODS / 2, 2 * joinWaitPeriods) : MAX_JOIN_WAIT_PERIODS;
        if (!isIsolated() && !cell.isGrantor()) {
            return;
        }
        List<String> seeds = setup.membership().seeds();
        if (!seeds.isEmpty()) {
            sendJoin(seeds.get(Math.floorMod(nextSeed++, seeds.size())));
        }
        if (upper != null) {
            nearestDelegate(label(name), -1, cell.living()).ifPresent(n -> sendJoin(n.address()));
        }
    }

    private void sendJoin(String to) {
        if (!to.equals(address)) {
            openJoins.add(send(to, new Join(cellSetup.root(), depth, 0)));
            if (openJoins.size() > MAX_OPEN_JOINS) {
                openJoins.remove();
            }
        }
    }

    /**
     * Returns the delegate of this root with the longest hash prefix in common with a router, if longer than minBits.
     */
    private Optional<RouterRecord> nearestDelegate(String routerLabel, int minBits, List<RouterRecord> excluded) {
        return nearestDelegate(cellSetup.root(), routerLabel, minBits, excluded);
    }

    private Optional<RouterRecord> nearestDelegate(
            String root, String routerLabel, int minBits, List<RouterRecord> excluded) {
        return upper.living().stream()
                .filter(n -> rootOf(n.name()).equals(root)
                        && commonPrefixBits(labelOf(n.name()), routerLabel) > minBits
                        && excluded.stream().noneMatch(c -> c.address().equals(n.address())))
                .max(Comparator.comparingInt(n -> commonPrefixBits(labelOf(n.name()), routerLabel)));
    }

    private long send(String to, Body body) {
        enqueue(to, new Packet(cell.self(), ++lastNumber, body, List.of(), List.of()));
        return lastNumber;
    }

    private void enqueue(String to, Packet packet) {
        byte[] bytes = joinCodec.write(packet);
        packetsSent++;
        bytesSent += bytes.length;
        outbox.add(new Datagram(to, bytes));
    }

    private void receiveDiscovery(byte[] bytes) {
        Packet packet;
        try {
            packet = joinCodec.read(bytes, Membership.maxIncarnation(now));
        } catch (BadPacketException e) {
            countDropped(e.getMessage().toLowerCase(java.util.Locale.ROOT));
            return;
        }
        packetsReceived++;
        if (packet.from().name().equals(name) || ++discoveryPacketsHandled > MAX_DISCOVERY_PACKETS_PER_PERIOD) {
            countDropped(packet.from().name().equals(name) ? "duplicate-names" : "joins-limited");
        } else if (packet.body() instanceof Join join) {
            receiveJoin(packet, join);
        } else if (packet.body() instanceof Place place) {
            receivePlace(packet.from(), place);
        }
    }

    private void receiveJoin(Packet packet, Join join) {
        RouterRecord from = packet.from();
        if (join.root().equals(cellSetup.root()) && sharesPrefix(from.name(), depth)) {
            List<String> known = new ArrayList<>(
                    cell.living().stream().map(RouterRecord::address).toList());
            Collections.shuffle(known, random);
            known.add(0, address);
            enqueue(
                    from.address(),
                    new Packet(
                            cell.self(),
                            ++lastNumber,
                            new Place(
                                    packet.number(),
                                    depth,
                                    known.subList(0, Math.min(PacketCodec.MAX_ADDRESSES, known.size())),
                                    delegateAddresses()),
                            List.of(),
                            List.of()));
            if (join.depth() > depth) {
                targetDepth = Math.max(targetDepth, depth + 1); // the deeper cell wins: cells are never merged
            }
            return;
        }
        if (join.hops() < PacketCodec.MAX_JOIN_HOPS) {
            Optional<RouterRecord> next = upper == null
                    ? cell.topRankedRouters(1).stream().findFirst()
                    : nearestDelegate(
                            join.root(),
                            label(from.name()),
                            join.root().equals(cellSetup.root())
                                    ? commonPrefixBits(label(name), label(from.name()))
                                    : -1,
                            List.of());
            next.filter(n -> !n.address().equals(address) && !n.address().equals(from.address()))
                    .ifPresent(recipient -> enqueue(
                            recipient.address(),
                            new Packet(
                                    from,
                                    packet.number(),
                                    new Join(join.root(), join.depth(), join.hops() + 1),
                                    List.of(),
                                    List.of())));
        }
        if (upper != null) {
            send(from.address(), new Place(packet.number(), -1, List.of(), List.of(address)));
        }
    }

    private List<String> delegateAddresses() {
        return cell.topRankedRouters(cellSetup.delegates()).stream()
                .map(RouterRecord::address)
                .toList();
    }

    private void receivePlace(RouterRecord from, Place place) {
        if (place.join() == 0) {
            RouterRecord grantor = cell.topRankedRouters(1).get(0);
            if (place.depth() > depth && grantor.name().equals(from.name()) && grantor.instance() == from.instance()) {
                moveToDepth(place.depth(), List.of());
            }
            return;
        }
        if (!openJoins.contains(place.join())) {
            countDropped("unasked-places");
            return;
        }
        place.delegateAddresses().forEach(d -> rememberSeed(upperSeeds, d));
        if (place.depth() > depth && cell.living().isEmpty()) {
            moveToDepth(place.depth(), place.cellAddresses());
        } else if (place.depth() > depth && cell.isGrantor()) {
            targetDepth = Math.max(targetDepth, depth + 1);
        } else if (place.depth() == depth) {
            place.cellAddresses().forEach(a -> rememberSeed(cellSeeds, a));
        }
    }

    private void rememberSeed(List<String> seeds, String seed) {
        if (!seed.equals(address) && !seeds.contains(seed)) {
            seeds.add(seed);
            if (seeds.size() > PacketCodec.MAX_ADDRESSES) {
                seeds.remove(0);
            }
        }
    }

    // ---- output and state -----------------------------------------------------------------------------

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
            upper.takeEvents(); // discarded: the decision module acts on the events of the cell
        }
        return cell.takeEvents();
    }

    @Override
    public List<LogEvent> takeLogEvents() {
        List<LogEvent> all = new ArrayList<>(logEvents);
        logEvents.clear();
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
        dropped.forEach((reason, count) -> addCounter(fields, "fleet-dropped-" + reason, count));
        addCounter(fields, "fleet-packets-out", packetsSent);
        addCounter(fields, "fleet-bytes-out", bytesSent);
        addCounter(fields, "fleet-packets-in", packetsReceived);
        if (upper != null) {
            Map<String, String> upperFields = upper.fields();
            fields.put("fleet-keeper", upperFields.get("fleet-keeper"));
            fields.put("fleet-delegates", upperFields.get("fleet-living"));
            fields.put("fleet-upper-grantor", upperFields.get("fleet-grantor"));
            upperFields.forEach((key, value) -> {
                if (key.startsWith("fleet-dropped-")
                        || key.equals("fleet-packets-out")
                        || key.equals("fleet-bytes-out")
                        || key.equals("fleet-packets-in")) {
                    addCounter(fields, key, Long.parseLong(value));
                }
            });
        }
        return fields;
    }

    private static void addCounter(Map<String, String> fields, String key, long more) {
        fields.merge(key, Long.toString(more), (a, b) -> Long.toString(Long.parseLong(a) + Long.parseLong(b)));
    }

    @Override
    public Optional<List<Map<String, Object>>> rows(String table) {
        Optional<List<Map<String, Object>>> rows = cell.rows(table);
        if (!table.equals("members") || rows.isEmpty()) {
            return rows;
        }
        List<Map<String, Object>> all = new ArrayList<>();
        rows.get().forEach(r -> all.add(withLevel(r, "cell")));
        if (upper != null) {
            upper.rows(table).orElseThrow().forEach(r -> all.add(withLevel(r, "upper")));
        }
        return Optional.of(all);
    }

    private static Map<String, Object> withLevel(Map<String, Object> row, String level) {
        Map<String, Object> copy = new LinkedHashMap<>();
        copy.put("level", level);
        copy.putAll(row);
        return copy;
    }
}
