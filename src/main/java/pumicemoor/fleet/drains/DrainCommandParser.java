package pumicemoor.fleet.drains;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import pumicemoor.Hashes;

/**
 * Parses operators' commands from text fields and checks them against what a router knows, before anything is changed.
 * The first error is reported with its field. It must not keep any state.
 */
public final class DrainCommandParser {

    /** Thrown if a command is invalid; the message begins with the name of the field. */
    public static final class InvalidCommandException extends Exception {

        private static final long serialVersionUID = 1;

        InvalidCommandException(String field, String reason) {
            super(field + ": " + reason);
        }
    }

    private DrainCommandParser() {}

    /** Parses a command. A done command without a fence refers to the member's phase as this router knows it. */
    public static DrainCommand command(Map<String, String> fields, String cluster, FleetSnapshot snapshot, Plan plan)
            throws InvalidCommandException {
        String requestedCluster = fields.getOrDefault("cluster", cluster);
        if (!requestedCluster.equals(cluster)) {
            throw new InvalidCommandException(
                    "cluster", "this is a router of '" + cluster + "', not of '" + requestedCluster + "'");
        }
        DrainCommand.Kind kind =
                switch (fields.getOrDefault("drain", "")) {
                    case "request" -> DrainCommand.Kind.REQUEST;
                    case "done" -> DrainCommand.Kind.DONE;
                    case "cancel" -> DrainCommand.Kind.CANCEL;
                    default -> throw new InvalidCommandException("drain", "must be one of request, done, cancel");
                };
        List<Long> members = parseMembers(fields.getOrDefault("members", ""), snapshot, plan);
        long id = parseId(fields.get("id"));
        return switch (kind) {
            case REQUEST ->
                new DrainCommand(
                        kind,
                        id,
                        parseMaxAtOnce(fields, members, snapshot),
                        parseMinServing(fields, members, snapshot),
                        0,
                        members);
            case DONE -> new DrainCommand(kind, id, 0, 0, parseFence(fields, members, plan), members);
            case CANCEL -> new DrainCommand(kind, id, 0, 0, 0, members);
        };
    }

    private static long parseId(String text) throws InvalidCommandException {
        try {
            return Long.parseUnsignedLong(text == null ? "" : text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidCommandException("id", "must have 1 to 16 hexadecimal digits");
        }
    }

    private static List<Long> parseMembers(String text, FleetSnapshot snapshot, Plan plan)
            throws InvalidCommandException {
        Map<String, Long> byName = new HashMap<>();
        snapshot.peers().forEach(p -> byName.put(p.memberName(), p.id()));
        snapshot.targets().forEach((id, t) -> byName.put(t.name(), id));
        List<Long> members = new ArrayList<>();
        for (String item : text.split(",")) {
            String name = item.strip();
            Long id = byName.get(name);
            // a member that is out may be missing from the list of members during the work
            long member = id != null ? id : memberId(name);
            if (id == null && plan.orderFor(member).isEmpty()) {
                throw new InvalidCommandException(
                        "members", name.isEmpty() ? "a name is empty" : "'" + name + "' is not known to this router");
            }
            if (!members.contains(member)) {
                members.add(member);
            }
        }
        if (members.size() > Drains.MAX_MEMBERS_PER_REQUEST) {
            throw new InvalidCommandException(
                    "members",
                    members.size() + " members exceed the " + Drains.MAX_MEMBERS_PER_REQUEST
                            + " that one request may have");
        }
        return members;
    }

    /** Returns the id of a member by its name, computed as in the rest of the program. */
    private static long memberId(String name) {
        return name.startsWith(FleetSnapshot.ROUTER_NAME_PREFIX) ? Hashes.of(name) : Hashes.fnv(name);
    }

    private static Map<MemberKind, Integer> tierSizes(List<Long> members, FleetSnapshot snapshot) {
        Set<MemberKind> tiers = EnumSet.noneOf(MemberKind.class);
        members.forEach(m -> tiers.add(
                snapshot.targets().containsKey(m) ? snapshot.targets().get(m).tier() : MemberKind.ROUTER));
        Map<MemberKind, Integer> sizes = new HashMap<>();
        tiers.forEach(t -> sizes.put(t, (int)
                (t == MemberKind.ROUTER
                        ? snapshot.peers().stream()
                                .filter(FleetSnapshot.Peer::isAlive)
                                .count()
                        : snapshot.targets().values().stream()
                                .filter(target -> target.tier() == t)
                                .count())));
        return sizes;
    }

    private static int parseNumber(Map<String, String> fields, String name) throws InvalidCommandException {
        try {
            return Integer.parseInt(fields.getOrDefault(name, ""));
        } catch (NumberFormatException e) {
            throw new InvalidCommandException(name, "is missing or not a whole number");
        }
    }

    private static int parseMaxAtOnce(Map<String, String> fields, List<Long> members, FleetSnapshot snapshot)
            throws InvalidCommandException {
        int maxAtOnce = parseNumber(fields, "max-at-once");
        if (maxAtOnce < 1 || maxAtOnce > Drains.MAX_MEMBERS_OUT) {
            throw new InvalidCommandException(
                    "max-at-once", maxAtOnce + " is out of range: 1 to " + Drains.MAX_MEMBERS_OUT);
        }
        for (Map.Entry<MemberKind, Integer> tier : tierSizes(members, snapshot).entrySet()) {
            if (maxAtOnce > tier.getValue()) {
                throw new InvalidCommandException(
                        "max-at-once", maxAtOnce + " exceeds the size of the tier: " + describe(tier));
            }
        }
        return maxAtOnce;
    }

    private static int parseMinServing(Map<String, String> fields, List<Long> members, FleetSnapshot snapshot)
            throws InvalidCommandException {
        int minServing = parseNumber(fields, "min-serving");
        for (Map.Entry<MemberKind, Integer> tier : tierSizes(members, snapshot).entrySet()) {
            if (minServing < 0 || minServing >= tier.getValue()) {
                throw new InvalidCommandException(
                        "min-serving",
                        minServing
                                + (minServing < 0
                                        ? " is negative"
                                        : minServing > tier.getValue()
                                                ? " exceeds the size of the tier: " + describe(tier)
                                                : " leaves no member that may be drained: " + describe(tier)));
            }
        }
        return minServing;
    }

    private static String describe(Map.Entry<MemberKind, Integer> tier) {
        return tier.getValue() + " of kind " + tier.getKey().name().toLowerCase(Locale.ROOT);
    }

    private static long parseFence(Map<String, String> fields, List<Long> members, Plan plan)
            throws InvalidCommandException {
        if (members.size() != 1) {
            throw new InvalidCommandException("members", "this command takes exactly one member");
        }
        DrainOrder order = plan.orderFor(members.get(0)).orElse(null);
        if (order == null || order.phase() != Phase.OUT) {
            throw new InvalidCommandException("members", "the member is not out, as far as this router knows");
        }
        if (fields.get("fence") == null) {
            return order.fence();
        }
        try {
            if (Long.parseLong(fields.get("fence")) != order.fence()) {
                throw new InvalidCommandException(
                        "fence",
                        fields.get("fence") + " is not the fence of the member's current phase, " + order.fence());
            }
        } catch (NumberFormatException e) {
            throw new InvalidCommandException("fence", "is not a whole number");
        }
        return order.fence();
    }
}
