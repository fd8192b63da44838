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
import pumicemoor.fleet.Packet.Part;
import pumicemoor.fleet.Packet.Use;
import pumicemoor.fleet.Packet.Want;
import pumicemoor.fleet.drains.DrainCommand;
import pumicemoor.fleet.drains.Drains;
import pumicemoor.fleet.drains.Plan;
import pumicemoor.fleet.membership.Membership;
import pumicemoor.fleet.membership.RouterRecord;
import pumicemoor.fleet.membership.RouterStatus;
import pumicemoor.fleet.verdicts.FailureReport;
import pumicemoor.fleet.verdicts.FailureReport.Cause;
import pumicemoor.fleet.verdicts.Ejection;

/**
 * The bytes of a packet, and every check that needs no state. It must never make room for what a packet only claims to
 * hold: a count is believed no further than the bytes that are there.
 */
public final class PacketCodec {

    /** The longest packet, in bytes; it passes every link whole. */
    public static final int LONGEST = 1_200;

    public static final int LONGEST_NAME = 64;
    static final int WANTS = 24; // of limits in one packet
    static final int ACCUSATIONS = 12; // in one packet
    static final int CELL_WANTS = 14; // of limits in one packet
    public static final int PLACES = 8; // addresses of one kind in one packet
    public static final int MOST_DEPTH = 16; // that a cell can be split to
    public static final int MOST_HOPS = 4; // that a join is passed on
    static final int MOST_ROUTERS = 1_000_000; // that a packet can speak for
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");

    private static final int MAGIC = 0x504d4631; // PMF1
    private static final int VERDICT_BYTES = 48;

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

    static int size(RouterRecord news) {
        return 19 + news.name().length() + news.address().length();
    }

    static int size(Ejection verdict) {
        return VERDICT_BYTES + verdict.keeper().length();
    }

    /** The cluster that a packet says it is of; 0 for none. */
    public static long cluster(byte[] bytes) {
        return bytes.length < 12 ? 0 : ByteBuffer.wrap(bytes).getLong(4);
    }

    /** The number of this codec's cluster, as it stands in its packets. */
    public long cluster() {
        return cluster;
    }

    public byte[] write(Packet packet) {
        ByteBuffer out = ByteBuffer.allocate(LONGEST);
        out.putInt(MAGIC).putLong(cluster);
        write(out, packet.from());
        out.putLong(packet.number());
        write(out, packet.body());
        out.put((byte) packet.routers().size());
        packet.routers().forEach(r -> write(out, r));
        out.put((byte) packet.verdicts().size());
        packet.verdicts().forEach(v -> write(out, v));
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** The bytes that a packet with this body leaves for news. */
    int room(RouterRecord from, Body body) {
        ByteBuffer out = ByteBuffer.allocate(LONGEST);
        write(out, body);
        return LONGEST - out.position() - size(from) - 22;
    }

    private static void write(ByteBuffer out, RouterRecord news) {
        write(out, news.name());
        write(out, news.address());
        out.putLong(news.instance()).putLong(news.incarnation()).put((byte)
                news.standing().ordinal());
    }

    private static void write(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) bytes.length).put(bytes);
    }

    private static void write(ByteBuffer out, Ejection v) {
        out.putLong(v.member())
                .putLong(v.started())
                .putLong(v.version())
                .put((byte) (v.failing() ? 1 : 0))
                .putLong(v.left())
                .putShort((short) v.accusers())
                .put((byte) v.cause().ordinal())
                .putShort((short) v.strikes())
                .putFloat((float) v.failShare());
        write(out, v.keeper());
    }

    private static void write(ByteBuffer out, Body body) {
        if (body instanceof Packet.Ping) {
            out.put((byte) Type.PING.ordinal());
        } else if (body instanceof Packet.Ack a) {
            out.put((byte) Type.ACK.ordinal()).putLong(a.number());
        } else if (body instanceof Packet.Relay r) {
            out.put((byte) Type.RELAY.ordinal());
            write(out, r.address());
        } else if (body instanceof Packet.Compare c) {
            out.put((byte) Type.COMPARE.ordinal()).putLong(c.digest()).put((byte) (c.back() ? 1 : 0));
        } else if (body instanceof Packet.Sums s) {
            out.put((byte) Type.SUMS.ordinal()).put((byte) (s.back() ? 1 : 0)).put((byte)
                    s.sums().size());
            s.sums().forEach(out::putLong);
        } else if (body instanceof Packet.News) {
            out.put((byte) Type.NEWS.ordinal());
        } else if (body instanceof Packet.Ask a) {
            out.put((byte) Type.ASK.ordinal())
                    .put((byte) (a.vote() ? 1 : 0))
                    .putLong(a.seen())
                    .putLong(a.term())
                    .put((byte) a.wants().size());
            a.wants().forEach(w -> out.putLong(w.limit())
                    .putLong(w.holds())
                    .putFloat((float) w.wanted())
                    .putFloat((float) w.inUse()));
            out.put((byte) a.accusations().size());
            a.accusations().forEach(c -> write(out, c));
        } else if (body instanceof Packet.Grant g) {
            out.put((byte) Type.GRANT.ordinal())
                    .putLong(g.ask())
                    .putLong(g.term())
                    .put((byte) g.parts().size());
            g.parts().forEach(p -> out.putLong(p.limit()).putDouble(p.amount()));
        } else if (body instanceof Packet.PlanReport r) {
            out.put((byte) Type.PLAN_REPORT.ordinal())
                    .putLong(r.term())
                    .putLong(r.held())
                    .putLong(r.applied())
                    .put((byte) (r.seasoned() ? 1 : 0))
                    .put((byte) r.uses().size());
            r.uses().forEach(u -> out.putLong(u.member()).putInt(u.underWay()).putFloat((float) u.hits()));
        } else if (body instanceof Packet.PlanGrant g) {
            out.put((byte) Type.PLAN_GRANT.ordinal())
                    .putLong(g.report())
                    .putLong(g.instance())
                    .putLong(g.term())
                    .put((byte) (g.office() ? 1 : 0))
                    .putLong(g.held())
                    .putLong(g.inForce());
        } else if (body instanceof Packet.Piece p) {
            out.put((byte) Type.PIECE.ordinal())
                    .putLong(p.stamp())
                    .put((byte) p.index())
                    .put((byte) p.count())
                    .putShort((short) p.bytes().length)
                    .put(p.bytes());
        } else if (body instanceof Packet.DrainAsk a) {
            DrainCommand c = a.command();
            out.put((byte) Type.DRAIN_ASK.ordinal())
                    .put((byte) c.kind().ordinal())
                    .putLong(c.id())
                    .putInt(c.mostOut())
                    .putInt(c.leastServing())
                    .putLong(c.fence())
                    .put((byte) c.members().size());
            c.members().forEach(out::putLong);
        } else if (body instanceof Packet.CellAsk a) {
            out.put((byte) Type.CELL_ASK.ordinal())
                    .put((byte) (a.vote() ? 1 : 0))
                    .putLong(a.seen())
                    .putLong(a.term())
                    .putInt(a.backing())
                    .putLong(a.known())
                    .put((byte) a.wants().size());
            a.wants().forEach(w -> out.putLong(w.limit())
                    .putLong(w.holds())
                    .putInt(w.routers())
                    .putDouble(w.wanted())
                    .putDouble(w.inUse()));
            out.put((byte) a.accusations().size());
            a.accusations().forEach(c -> {
                write(out, c);
                out.putShort((short) Math.min(c.accusers(), Short.MAX_VALUE));
            });
        } else if (body instanceof Packet.Join j) {
            out.put((byte) Type.JOIN.ordinal());
            write(out, j.root());
            out.put((byte) j.depth()).put((byte) j.hops());
        } else if (body instanceof Packet.Place p) {
            out.put((byte) Type.PLACE.ordinal()).putLong(p.join()).put((byte) p.depth());
            write(out, p.cell());
            write(out, p.delegates());
        }
    }

    private static void write(ByteBuffer out, FailureReport c) {
        out.putLong(c.member())
                .putLong(c.started())
                .put((byte) c.cause().ordinal())
                .putShort((short) Math.min(c.strikes(), Short.MAX_VALUE))
                .putFloat((float) c.failShare());
    }

    private static void write(ByteBuffer out, List<String> texts) {
        out.put((byte) texts.size());
        texts.forEach(t -> write(out, t));
    }

    /** Reads a packet whole; incarnations past the given one can't be. */
    public Packet read(byte[] bytes, long lastIncarnation) throws BadPacketException {
        if (bytes.length > LONGEST) {
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
            RouterRecord from = router(in, lastIncarnation);
            long number = in.getLong();
            Body body = body(in);
            List<RouterRecord> routers = new ArrayList<>();
            for (int left = in.get() & 0xff; left > 0; left--) {
                routers.add(router(in, lastIncarnation));
            }
            List<Ejection> verdicts = new ArrayList<>();
            for (int left = in.get() & 0xff; left > 0; left--) {
                verdicts.add(verdict(in));
            }
            if (in.hasRemaining() || number <= 0 || from.standing() != RouterStatus.ALIVE) {
                throw new BadPacketException(Reason.UNREADABLE);
            }
            return new Packet(from, number, body, routers, verdicts);
        } catch (BufferUnderflowException e) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
    }

    private static <T> T of(T[] values, int ordinal) throws BadPacketException {
        if (ordinal < 0 || ordinal >= values.length) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        return values[ordinal];
    }

    private static String text(ByteBuffer in, Pattern form) throws BadPacketException {
        int length = in.get() & 0xff;
        if (length > LONGEST_NAME) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        String text = new String(bytes, StandardCharsets.US_ASCII);
        if (!form.matcher(text).matches()) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        return text;
    }

    private static String address(ByteBuffer in) throws BadPacketException {
        String address = text(in, ADDRESS);
        if (!possibleAddress(address)) {
            throw new BadPacketException(Reason.UNREADABLE);
        }
        return address;
    }

    /** Whether this is an IPv4 address with a port that something can listen on. */
    public static boolean possibleAddress(String address) {
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

    private static RouterRecord router(ByteBuffer in, long lastIncarnation) throws BadPacketException {
        RouterRecord news = new RouterRecord(
                text(in, NAME), address(in), in.getLong(), in.getLong(), of(RouterStatus.values(), in.get()));
        if (news.incarnation() < 1 || news.incarnation() > lastIncarnation || news.instance() < 1) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return news;
    }

    private static Ejection verdict(ByteBuffer in) throws BadPacketException {
        Ejection v = new Ejection(
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.get() == 1,
                in.getLong(),
                in.getShort(),
                of(Cause.values(), in.get()),
                in.getShort(),
                in.getFloat(),
                text(in, NAME));
        if (v.left() < 0 || v.accusers() < 0 || v.version() < 1 || !Double.isFinite(v.failShare())) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return v;
    }

    private static double amount(double value) throws BadPacketException {
        if (!(value >= 0 && value < 1e12)) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return value;
    }

    private static Body body(ByteBuffer in) throws BadPacketException {
        return switch (of(Type.values(), in.get())) {
            case PING -> new Packet.Ping();
            case ACK -> new Packet.Ack(in.getLong());
            case RELAY -> new Packet.Relay(address(in));
            case COMPARE -> new Packet.Compare(in.getLong(), in.get() == 1);
            case NEWS -> new Packet.News();
            case ASK -> ask(in);
            case GRANT -> {
                long ask = in.getLong();
                long term = in.getLong();
                List<Part> parts = new ArrayList<>();
                for (int left = in.get() & 0xff; left > 0; left--) {
                    parts.add(new Part(in.getLong(), amount(in.getDouble())));
                }
                yield new Packet.Grant(ask, term, parts);
            }
            case PLAN_REPORT -> planReport(in);
            case PLAN_GRANT ->
                new Packet.PlanGrant(
                        in.getLong(),
                        in.getLong(),
                        term(in.getLong()),
                        in.get() == 1,
                        stamp(in.getLong()),
                        stamp(in.getLong()));
            case PIECE -> {
                long stamp = stamp(in.getLong());
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
            case DRAIN_ASK -> drainAsk(in);
            case CELL_ASK -> cellAsk(in);
            case JOIN -> new Packet.Join(text(in, NAME), count(in.get(), MOST_DEPTH), count(in.get(), MOST_HOPS));
            case PLACE -> {
                long join = in.getLong();
                int depth = in.get();
                if (join < 0 || depth < -1 || depth > MOST_DEPTH) {
                    throw new BadPacketException(Reason.IMPOSSIBLE);
                }
                yield new Packet.Place(join, depth, addresses(in), addresses(in));
            }
            case SUMS -> {
                boolean back = in.get() == 1;
                int parts = in.get();
                if (parts < 1 || parts > Membership.MOST_PARTS || Integer.bitCount(parts) != 1) {
                    throw new BadPacketException(Reason.IMPOSSIBLE);
                }
                List<Long> sums = new ArrayList<>();
                for (int i = 0; i < parts; i++) {
                    sums.add(in.getLong());
                }
                yield new Packet.Sums(sums, back);
            }
        };
    }

    private static long term(long term) throws BadPacketException {
        if (term < 0 || term >= Plan.MOST_TERM) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return term;
    }

    private static long stamp(long stamp) throws BadPacketException {
        if (stamp < 0) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return stamp;
    }

    private static Packet.PlanReport planReport(ByteBuffer in) throws BadPacketException {
        long term = term(in.getLong());
        long held = stamp(in.getLong());
        long applied = stamp(in.getLong());
        boolean seasoned = in.get() == 1;
        List<Use> uses = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            Use use = new Use(in.getLong(), in.getInt(), amount(in.getFloat()));
            if (use.underWay() < 0) {
                throw new BadPacketException(Reason.IMPOSSIBLE);
            }
            uses.add(use);
        }
        if (applied > held) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return new Packet.PlanReport(term, held, applied, seasoned, uses);
    }

    private static Packet.DrainAsk drainAsk(ByteBuffer in) throws BadPacketException {
        DrainCommand.Kind kind = of(DrainCommand.Kind.values(), in.get());
        long id = in.getLong();
        int mostOut = in.getInt();
        int leastServing = in.getInt();
        long fence = stamp(in.getLong());
        List<Long> members = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            members.add(in.getLong());
        }
        if (members.isEmpty()
                || leastServing < 0
                || kind == DrainCommand.Kind.REQUEST && (mostOut < 1 || mostOut > Drains.MOST_OUT)) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return new Packet.DrainAsk(new DrainCommand(kind, id, mostOut, leastServing, fence, members));
    }

    private static int count(int value, int most) throws BadPacketException {
        if (value < 0 || value > most) {
            throw new BadPacketException(Reason.IMPOSSIBLE);
        }
        return value;
    }

    private static List<String> addresses(ByteBuffer in) throws BadPacketException {
        List<String> addresses = new ArrayList<>();
        for (int left = count(in.get(), PLACES); left > 0; left--) {
            addresses.add(address(in));
        }
        return addresses;
    }

    private static Packet.CellAsk cellAsk(ByteBuffer in) throws BadPacketException {
        boolean vote = in.get() == 1;
        long seen = in.getLong();
        long term = term(in.getLong());
        int backing = count(in.getInt(), MOST_ROUTERS);
        long known = term(in.getLong());
        List<Packet.CellWant> wants = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            wants.add(new Packet.CellWant(
                    in.getLong(),
                    in.getLong(),
                    count(in.getInt(), MOST_ROUTERS),
                    amount(in.getDouble()),
                    amount(in.getDouble())));
        }
        List<FailureReport> accusations = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            accusations.add(new FailureReport(
                    in.getLong(),
                    in.getLong(),
                    of(Cause.values(), in.get()),
                    in.getShort(),
                    in.getFloat(),
                    count(in.getShort(), Short.MAX_VALUE)));
        }
        return new Packet.CellAsk(vote, seen, term, backing, known, wants, accusations);
    }

    private static Packet.Ask ask(ByteBuffer in) throws BadPacketException {
        boolean vote = in.get() == 1;
        long seen = in.getLong();
        long term = in.getLong();
        List<Want> wants = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            wants.add(new Want(in.getLong(), in.getLong(), amount(in.getFloat()), amount(in.getFloat())));
        }
        List<FailureReport> accusations = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            accusations.add(new FailureReport(
                    in.getLong(), in.getLong(), of(Cause.values(), in.get()), in.getShort(), in.getFloat()));
        }
        return new Packet.Ask(vote, seen, term, wants, accusations);
    }
}
