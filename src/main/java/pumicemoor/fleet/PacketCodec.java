package pumicemoor.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import pumicemoor.Hashes;
import pumicemoor.fleet.BadPacketException.Reason;
import pumicemoor.fleet.Packet.Body;
import pumicemoor.fleet.Packet.Demand;
import pumicemoor.fleet.Packet.GrantedShare;
import pumicemoor.fleet.Packet.MemberUsage;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.drains.Plan;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;
import pumicemoor.fleet.verdicts.Ejection;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.FailureReport.Cause;

/**
 * Encodes and decodes packets, and checks them as far as that needs no state. It must never allocate memory for what a
 * packet only claims to contain: a count is trusted only as far as there are bytes for it.
 */
public final class PacketCodec {

    /** The longest packet, in bytes; short enough to pass every link without fragmentation. */
    public static final int MAX_PACKET_BYTES = 1_200;

    public static final int MAX_NAME_LENGTH = 64; // bytes, in ASCII; also of an address
    static final int MAX_DEMANDS = 24; // in one packet
    static final int MAX_FAILURE_REPORTS = 12; // in one packet
    static final int MAX_CELL_DEMANDS = 14; // in one packet
    public static final int MAX_ADDRESSES = 8; // addresses of cell routers, or of delegates, in one packet
    public static final int MAX_CELL_DEPTH = 16; // how deep a cell can be split
    public static final int MAX_JOIN_HOPS = 4; // how often a join request is forwarded
    static final int MAX_ROUTERS = 1_000_000; // that one cell report can count
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");

    private static final int MAGIC = 0x504d4631; // PMF1
    private static final int EJECTION_FIXED_BYTES = 48; // without the leader's name
    private static final int ROUTER_FIXED_BYTES = 19; // without name and address
    private static final int PACKET_FIXED_BYTES = 22; // without sender, body, router records and ejections

    private enum Type {
        PING,
        ACK,
        RELAY,
        COMPARE,
        NEWS,
        ASK,
        GRANT,
        PLAN_REPORT,
        PLAN_GRANT,
        PIECE,
        DRAIN_ASK,
        CELL_ASK,
        JOIN,
        PLACE,
        SUMS
    }

    private final long cluster;

    public PacketCodec(String cluster) {
        this.cluster = Hashes.of(cluster);
    }

    static int size(RouterRecord router) {
        return ROUTER_FIXED_BYTES + router.name().length() + router.address().length();
    }

    static int size(Ejection ejection) {
        return EJECTION_FIXED_BYTES + ejection.leader().length();
    }

    /** The cluster id in an encoded packet; 0 if the packet is too short to have one. */
    public static long cluster(byte[] bytes) {
        return bytes.length < 12 ? 0 : ByteBuffer.wrap(bytes).getLong(4);
    }

    /** The id of this codec's cluster, as written into its packets. */
    public long cluster() {
        return cluster;
    }

    public byte[] write(Packet packet) {
        ByteBuffer out = ByteBuffer.allocate(MAX_PACKET_BYTES);
        out.putInt(MAGIC).putLong(cluster);
        write(out, packet.from());
        out.putLong(packet.number());
        write(out, packet.body());
        out.put((byte) packet.routers().size());
        packet.routers().forEach(r -> write(out, r));
        out.put((byte) packet.ejections().size());
        packet.ejections().forEach(e -> write(out, e));
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** The number of bytes that a packet with this sender and body leaves for gossip. */
    int bytesForGossip(RouterRecord from, Body body) {
        ByteBuffer out = ByteBuffer.allocate(MAX_PACKET_BYTES);
        write(out, body);
        return MAX_PACKET_BYTES - out.position() - size(from) - PACKET_FIXED_BYTES;
    }

    private static void write(ByteBuffer out, RouterRecord router) {
        write(out, router.name());
        write(out, router.address());
        out.putLong(router.instance()).putLong(router.incarnation()).put((byte)
                router.status().ordinal());
    }

    private static void write(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) bytes.length).put(bytes);
    }

    private static void write(ByteBuffer out, Ejection ejection) {
        out.putLong(ejection.member())
                .putLong(ejection.memberStartedAt())
                .putLong(ejection.version())
                .put((byte) (ejection.failing() ? 1 : 0))
                .putLong(ejection.timeLeftMicros())
                .putShort((short) ejection.reporters())
                .put((byte) ejection.cause().ordinal())
                .putShort((short) ejection.consecutiveFailures())
                .putFloat((float) ejection.failureRate());
        write(out, ejection.leader());
    }

    private static void write(ByteBuffer out, Body body) {
        if (body instanceof Packet.Ping) {
            out.put((byte) Type.PING.ordinal());
        } else if (body instanceof Packet.Ack ack) {
            out.put((byte) Type.ACK.ordinal()).putLong(ack.number());
        } else if (body instanceof Packet.Relay relay) {
            out.put((byte) Type.RELAY.ordinal());
            write(out, relay.address());
        } else if (body instanceof Packet.Compare compare) {
            out.put((byte) Type.COMPARE.ordinal()).putLong(compare.digest()).put((byte)
                    (compare.replyExpected() ? 1 : 0));
        } else if (body instanceof Packet.Sums sums) {
            out.put((byte) Type.SUMS.ordinal())
                    .put((byte) (sums.replyExpected() ? 1 : 0))
                    .put((byte) sums.partDigests().size());
            sums.partDigests().forEach(out::putLong);
        } else if (body instanceof Packet.News) {
            out.put((byte) Type.NEWS.ordinal());
        } else if (body instanceof Packet.Ask ask) {
            out.put((byte) Type.ASK.ordinal())
                    .put((byte) (ask.vote() ? 1 : 0))
                    .putLong(ask.lastSeen())
                    .putLong(ask.term())
                    .put((byte) ask.demands().size());
            ask.demands().forEach(demand -> out.putLong(demand.limit())
                    .putLong(demand.grantInForce())
                    .putFloat((float) demand.demand())
                    .putFloat((float) demand.inUse()));
            out.put((byte) ask.failureReports().size());
            ask.failureReports().forEach(f -> write(out, f));
        } else if (body instanceof Packet.Grant grant) {
            out.put((byte) Type.GRANT.ordinal())
                    .putLong(grant.ask())
                    .putLong(grant.term())
                    .put((byte) grant.shares().size());
            grant.shares().forEach(s -> out.putLong(s.limit()).putDouble(s.amount()));
        } else if (body instanceof Packet.PlanReport report) {
            out.put((byte) Type.PLAN_REPORT.ordinal())
                    .putLong(report.term())
                    .putLong(report.heldStamp())
                    .putLong(report.appliedStamp())
                    .put((byte) (report.recovered() ? 1 : 0))
                    .put((byte) report.uses().size());
            report.uses()
                    .forEach(u -> out.putLong(u.member()).putInt(u.inFlight()).putFloat((float) u.recentHits()));
        } else if (body instanceof Packet.PlanGrant grant) {
            out.put((byte) Type.PLAN_GRANT.ordinal())
                    .putLong(grant.reportNumber())
                    .putLong(grant.instance())
                    .putLong(grant.term())
                    .put((byte) (grant.fromLeader() ? 1 : 0))
                    .putLong(grant.heldStamp())
                    .putLong(grant.stampInForce());
        } else if (body instanceof Packet.Piece piece) {
            out.put((byte) Type.PIECE.ordinal())
                    .putLong(piece.stamp())
                    .put((byte) piece.index())
                    .put((byte) piece.count())
                    .putShort((short) piece.bytes().length)
                    .put(piece.bytes());
        } else if (body instanceof Packet.DrainAsk ask) {
            DrainCommand command = ask.command();
            out.put((byte) Type.DRAIN_ASK.ordinal())
                    .put((byte) command.kind().ordinal())
                    .putLong(command.id())
                    .putInt(command.maxOut())
                    .putInt(command.minServing())
                    .putLong(command.fence())
                    .put((byte) command.members().size());
            command.members().forEach(out::putLong);
        } else if (body instanceof Packet.CellAsk ask) {
            out.put((byte) Type.CELL_ASK.ordinal())
                    .put((byte) (ask.vote() ? 1 : 0))
                    .putLong(ask.lastSeen())
                    .putLong(ask.term())
                    .putInt(ask.boundRouters())
                    .putLong(ask.knownTerm())
                    .put((byte) ask.demands().size());
            ask.demands().forEach(demand -> out.putLong(demand.limit())
                    .putLong(demand.grantInForce())
                    .putInt(demand.routers())
                    .putDouble(demand.demand())
                    .putDouble(demand.inUse()));
            out.put((byte) ask.failureReports().size());
            ask.failureReports().forEach(report -> {
                write(out, report);
                out.putShort((short) Math.min(report.reporters(), Short.MAX_VALUE));
            });
        } else if (body instanceof Packet.Join join) {
            out.put((byte) Type.JOIN.ordinal());
            write(out, join.root());
            out.put((byte) join.depth()).put((byte) join.hops());
        } else if (body instanceof Packet.Place place) {
            out.put((byte) Type.PLACE.ordinal()).putLong(place.join()).put((byte) place.depth());
            write(out, place.cellAddresses());
            write(out, place.delegateAddresses());
        }
    }

    private static void write(ByteBuffer out, FailureReport report) {
        out.putLong(report.member())
                .putLong(report.memberStartedAt())
                .put((byte) report.cause().ordinal())
                .putShort((short) Math.min(report.consecutiveFailures(), Short.MAX_VALUE))
                .putFloat((float) report.failureRate());
    }

    private static void write(ByteBuffer out, List<String> texts) {
        out.put((byte) texts.size());
        texts.forEach(t -> write(out, t));
    }

    /** Decodes and checks a whole packet. Incarnations above {@code maxIncarnation} are rejected as impossible. */
    public Packet read(byte[] bytes, long maxIncarnation) throws BadPacketException {
        if (bytes.length > MAX_PACKET_BYTES) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            if (in.getInt() != MAGIC) {
                throw new BadPacketException(Reason.UNREADABLE);
            }
            if (in.getLong() != cluster) {
                throw new BadPacketException(Reason.FOREIGN);
            }
            RouterRecord from = readRouter(in, maxIncarnation);
            long number = in.getLong();
            Body body = readBody(in);
            List<RouterRecord> routers = new ArrayList<>();
            for (int left = in.get() & 0xff; left > 0; left--) {
                routers.add(readRouter(in, maxIncarnation));
            }
            List<Ejection> ejections = new ArrayList<>();
            for (int left = in.get() & 0xff; left > 0; left--) {
                ejections.add(readEjection(in));
            }
            if (in.hasRemaining() || number <= 0 || from.status() != RouterStatus.ALIVE) {
                throw new BadPacketException(Reason.UNREADABLE);
            }
            return new Packet(from, number, body, routers, ejections);
        } catch (BufferUnderflowException e) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
    }

    private static <T> T constantAt(T[] values, int ordinal) throws BadPacketException {
        if (ordinal < 0 || ordinal >= values.length) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        return values[ordinal];
    }

    private static String readText(ByteBuffer in, Pattern pattern) throws BadPacketException {
        int length = in.get() & 0xff;
        if (length > MAX_NAME_LENGTH) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.US_ASCII);
        if (!pattern.matcher(text).matches()) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        return text;
    }

    private static String readAddress(ByteBuffer in) throws BadPacketException {
        String address = readText(in, ADDRESS);
        if (!isValidAddress(address)) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        return address;
    }

    /** Whether this is an IPv4 address with a port that something can listen on. */
    public static boolean isValidAddress(String address) {
        if (!ADDRESS.matcher(address).matches()) {
            return false;
        }
        String[] parts = address.split("[.:]");
        int port = Integer.parseInt(parts[4]);
        for (int i = 0; i < 4; i++) {
            if (Integer.parseInt(parts[i]) > 255) {
                return false;
            }
        }
        return port > 0 && port < 65_536;
    }

    private static RouterRecord readRouter(ByteBuffer in, long maxIncarnation) throws BadPacketException {
        RouterRecord router = new RouterRecord(
                readText(in, NAME),
                readAddress(in),
                in.getLong(),
                in.getLong(),
                constantAt(RouterStatus.values(), in.get()));
        if (router.incarnation() < 1 || router.incarnation() > maxIncarnation || router.instance() < 1) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return router;
    }

    private static Ejection readEjection(ByteBuffer in) throws BadPacketException {
        Ejection ejection = new Ejection(
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.get() == 1,
                in.getLong(),
                in.getShort(),
                constantAt(Cause.values(), in.get()),
                in.getShort(),
                in.getFloat(),
                readText(in, NAME));
        if (ejection.timeLeftMicros() < 0
                || ejection.reporters() < 0
                || ejection.version() < 1
                || !Double.isFinite(ejection.failureRate())) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return ejection;
    }

    private static double checkedAmount(double value) throws BadPacketException {
        if (!(value >= 0 && value < 1e12)) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return value;
    }

    private static Body readBody(ByteBuffer in) throws BadPacketException {
        return switch (constantAt(Type.values(), in.get())) {
            case PING -> new Packet.Ping();
            case ACK -> new Packet.Ack(in.getLong());
            case RELAY -> new Packet.Relay(readAddress(in));
            case COMPARE -> new Packet.Compare(in.getLong(), in.get() == 1);
            case NEWS -> new Packet.News();
            case ASK -> readAsk(in);
            case GRANT -> {
                long ask = in.getLong();
                long term = in.getLong();
                List<GrantedShare> shares = new ArrayList<>();
                for (int left = in.get() & 0xff; left > 0; left--) {
                    shares.add(new GrantedShare(in.getLong(), checkedAmount(in.getDouble())));
                }
                yield new Packet.Grant(ask, term, shares);
            }
            case PLAN_REPORT -> readPlanReport(in);
            case PLAN_GRANT ->
                new Packet.PlanGrant(
                        in.getLong(),
                        in.getLong(),
                        checkedTerm(in.getLong()),
                        in.get() == 1,
                        checkedStamp(in.getLong()),
                        checkedStamp(in.getLong()));
            case PIECE -> {
                long stamp = checkedStamp(in.getLong());
                int index = in.get();
                int count = in.get();
                int length = in.getShort();
                if (length < 0 || length > in.remaining()) {
                    throw new BadPacketException(Reason.UNREADABLE);
                }
                byte[] bytes = new byte[length];
                in.get(bytes);
                yield new Packet.Piece(stamp, index, count, bytes);
            }
            case DRAIN_ASK -> readDrainAsk(in);
            case CELL_ASK -> readCellAsk(in);
            case JOIN ->
                new Packet.Join(
                        readText(in, NAME),
                        checkedCount(in.get(), MAX_CELL_DEPTH),
                        checkedCount(in.get(), MAX_JOIN_HOPS));
            case PLACE -> {
                long join = in.getLong();
                int depth = in.get();
                if (join < 0 || depth < -1 || depth > MAX_CELL_DEPTH) {
                    throw new BadPacketException(Reason.IMPOSSIBLE);
                }
                yield new Packet.Place(join, depth, readAddresses(in), readAddresses(in));
            }
            case SUMS -> {
                boolean replyExpected = in.get() == 1;
                int parts = in.get();
                if (parts < 1 || parts > Membership.MAX_DIGEST_PARTS || Integer.bitCount(parts) != 1) {
                    throw new BadPacketException(Reason.IMPOSSIBLE);
                }
                List<Long> partDigests = new ArrayList<>();
                for (int i = 0; i < parts; i++) {
                    partDigests.add(in.getLong());
                }
                yield new Packet.Sums(partDigests, replyExpected);
            }
        };
    }

    private static long checkedTerm(long term) throws BadPacketException {
        if (term < 0 || term >= Plan.TERM_LIMIT) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return term;
    }

    private static long checkedStamp(long stamp) throws BadPacketException {
        if (stamp < 0) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return stamp;
    }

    private static Packet.PlanReport readPlanReport(ByteBuffer in) throws BadPacketException {
        long term = checkedTerm(in.getLong());
        long held = checkedStamp(in.getLong());
        long applied = checkedStamp(in.getLong());
        boolean remembersPlan = in.get() == 1;
        List<MemberUsage> uses = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            MemberUsage use = new MemberUsage(in.getLong(), in.getInt(), checkedAmount(in.getFloat()));
            if (use.inFlight() < 0) {
                throw new BadPacketException(Reason.IMPOSSIBLE);
            }
            uses.add(use);
        }
        if (applied > held) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return new Packet.PlanReport(term, held, applied, remembersPlan, uses);
    }

    private static Packet.DrainAsk readDrainAsk(ByteBuffer in) throws BadPacketException {
        DrainCommand.Kind kind = constantAt(DrainCommand.Kind.values(), in.get());
        long id = in.getLong();
        int maxOut = in.getInt();
        int minServing = in.getInt();
        long fence = checkedStamp(in.getLong());
        List<Long> members = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            members.add(in.getLong());
        }
        if (members.isEmpty()
                || minServing < 0
                || kind == DrainCommand.Kind.REQUEST && (maxOut < 1 || maxOut > Drains.MAX_MEMBERS_OUT)) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return new Packet.DrainAsk(new DrainCommand(kind, id, maxOut, minServing, fence, members));
    }

    private static int checkedCount(int value, int max) throws BadPacketException {
        if (value < 0 || value > max) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return value;
    }

    private static List<String> readAddresses(ByteBuffer in) throws BadPacketException {
        List<String> addresses = new ArrayList<>();
        for (int left = checkedCount(in.get(), MAX_ADDRESSES); left > 0; left--) {
            addresses.add(readAddress(in));
        }
        return addresses;
    }

    private static Packet.CellAsk readCellAsk(ByteBuffer in) throws BadPacketException {
        boolean vote = in.get() == 1;
        long lastSeen = in.getLong();
        long term = checkedTerm(in.getLong());
        int boundRouters = checkedCount(in.getInt(), MAX_ROUTERS);
        long knownTerm = checkedTerm(in.getLong());
        List<Packet.CellDemand> demands = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            demands.add(new Packet.CellDemand(
                    in.getLong(),
                    in.getLong(),
                    checkedCount(in.getInt(), MAX_ROUTERS),
                    checkedAmount(in.getDouble()),
                    checkedAmount(in.getDouble())));
        }
        List<FailureReport> failureReports = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            failureReports.add(new FailureReport(
                    in.getLong(),
                    in.getLong(),
                    constantAt(Cause.values(), in.get()),
                    in.getShort(),
                    in.getFloat(),
                    checkedCount(in.getShort(), Short.MAX_VALUE)));
        }
        return new Packet.CellAsk(vote, lastSeen, term, boundRouters, knownTerm, demands, failureReports);
    }

    private static Packet.Ask readAsk(ByteBuffer in) throws BadPacketException {
        boolean vote = in.get() == 1;
        long lastSeen = in.getLong();
        long term = in.getLong();
        List<Demand> demands = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            demands.add(
                    new Demand(in.getLong(), in.getLong(), checkedAmount(in.getFloat()), checkedAmount(in.getFloat())));
        }
        List<FailureReport> failureReports = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            failureReports.add(new FailureReport(
                    in.getLong(), in.getLong(), constantAt(Cause.values(), in.get()), in.getShort(), in.getFloat()));
        }
        return new Packet.Ask(vote, lastSeen, term, demands, failureReports);
    }
}
