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
 * Operators' commands as text fields, checked against what a router knows before anything is changed; the first trouble is
 * named with its field. It must never keep anything.
 */
public final class DrainCommandParser {

    /** What is wrong with a command. */
    public static final class Wrong extends Exception {

        private static final long serialVersionUID = 1;

        Wrong(String field, String why) {
            super(field + ": " + why);
        }
    }

    private DrainCommandParser() {}

    /** Reads a command; done without a fence is about the phase that this router knows the member to be in. */
    public static DrainCommand command(Map<String, String> fields, String cluster, FleetSnapshot world, Plan plan)
            throws Wrong {
        String asked = fields.getOrDefault("cluster", cluster);
        if (!asked.equals(cluster)) {
            throw new Wrong("cluster", "this is a router of '" + cluster + "', not of '" + asked + "'");
        }
        DrainCommand.Kind kind =
                switch (fields.getOrDefault("drain", "")) {
                    case "request" -> DrainCommand.Kind.REQUEST;
                    case "done" -> DrainCommand.Kind.DONE;
                    case "cancel" -> DrainCommand.Kind.CANCEL;
                    default -> throw new Wrong("drain", "it is none of request, done, cancel");
                };
        List<Long> members = members(fields.getOrDefault("members", ""), world, plan);
        long id = id(fields.get("id"));
        return switch (kind) {
            case REQUEST ->
                new DrainCommand(kind, id, most(fields, members, world), least(fields, members, world), 0, members);
            case DONE -> new DrainCommand(kind, id, 0, 0, fence(fields, members, plan), members);
            case CANCEL -> new DrainCommand(kind, id, 0, 0, 0, members);
        };
    }

    private static long id(String text) throws Wrong {
        try {
            return Long.parseUnsignedLong(text == null ? "" : text, 16);
        } catch (NumberFormatException e) {
            throw new Wrong("id", "it is not of 1 to 16 hexadecimal digits");
        }
    }

    private static List<Long> members(String text, FleetSnapshot world, Plan plan) throws Wrong {
        Map<String, Long> byName = new HashMap<>();
        world.peers().forEach(p -> byName.put(p.asMember(), p.id()));
        world.targets().forEach((id, t) -> byName.put(t.name(), id));
        List<Long> members = new ArrayList<>();
        for (String name : text.split(",")) {
            String one = name.strip();
            Long id = byName.get(one);
            // who is out may be off the list while it is worked on
            long number = id != null ? id : memberId(one);
            if (id == null && plan.of(number).isEmpty()) {
                throw new Wrong("members", one.isEmpty() ? "a name is empty" : "'" + one + "' is not known here");
            }
            if (!members.contains(number)) {
                members.add(number);
            }
        }
        if (members.size() > Drains.MOST_MEMBERS) {
            throw new Wrong(
                    "members", members.size() + " are over the " + Drains.MOST_MEMBERS + " that one request may have");
        }
        return members;
    }

    /** The number of a member by its name, as it is everywhere in the program. */
    private static long memberId(String name) {
        return name.startsWith(FleetSnapshot.ROUTERS) ? Hashes.of(name) : Hashes.fnv(name);
    }

    private static Map<MemberKind, Integer> sizes(List<Long> members, FleetSnapshot world) {
        Set<MemberKind> tiers = EnumSet.noneOf(MemberKind.class);
        members.forEach(m -> tiers.add(
                world.targets().containsKey(m) ? world.targets().get(m).tier() : MemberKind.ROUTER));
        Map<MemberKind, Integer> sizes = new HashMap<>();
        tiers.forEach(t -> sizes.put(t, (int)
                (t == MemberKind.ROUTER
                        ? world.peers().stream().filter(FleetSnapshot.Peer::lives).count()
                        : world.targets().values().stream()
                                .filter(x -> x.tier() == t)
                                .count())));
        return sizes;
    }

    private static int number(Map<String, String> fields, String name) throws Wrong {
        try {
            return Integer.parseInt(fields.getOrDefault(name, ""));
        } catch (NumberFormatException e) {
            throw new Wrong(name, "it is missing or no whole number");
        }
    }

    private static int most(Map<String, String> fields, List<Long> members, FleetSnapshot world) throws Wrong {
        int most = number(fields, "max-at-once");
        if (most < 1 || most > Drains.MOST_OUT) {
            throw new Wrong("max-at-once", most + " is out of range: 1 to " + Drains.MOST_OUT);
        }
        for (Map.Entry<MemberKind, Integer> tier : sizes(members, world).entrySet()) {
            if (most > tier.getValue()) {
                throw new Wrong("max-at-once", most + " is over the tier: " + describe(tier));
            }
        }
        return most;
    }

    private static int least(Map<String, String> fields, List<Long> members, FleetSnapshot world) throws Wrong {
        int least = number(fields, "min-serving");
        for (Map.Entry<MemberKind, Integer> tier : sizes(members, world).entrySet()) {
            if (least < 0 || least >= tier.getValue()) {
                throw new Wrong(
                        "min-serving",
                        least
                                + (least < 0
                                        ? " is under 0"
                                        : least > tier.getValue()
                                                ? " is over the tier: " + describe(tier)
                                                : " leaves none to go out: " + describe(tier)));
            }
        }
        return least;
    }

    private static String describe(Map.Entry<MemberKind, Integer> tier) {
        return tier.getValue() + " of kind " + tier.getKey().name().toLowerCase(Locale.ROOT);
    }

    private static long fence(Map<String, String> fields, List<Long> members, Plan plan) throws Wrong {
        if (members.size() != 1) {
            throw new Wrong("members", "the work is done on one member at a time");
        }
        DrainOrder order = plan.of(members.get(0)).orElse(null);
        if (order == null || order.phase() != Phase.OUT) {
            throw new Wrong("members", "it is not out, as far as this router knows");
        }
        if (fields.get("fence") == null) {
            return order.fence();
        }
        try {
            if (Long.parseLong(fields.get("fence")) != order.fence()) {
                throw new Wrong("fence", fields.get("fence") + " is not that of its way out, " + order.fence());
            }
        } catch (NumberFormatException e) {
            throw new Wrong("fence", "it is no whole number");
        }
        return order.fence();
    }
}
