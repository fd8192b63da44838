package pumicemoor;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pumicemoor.RouterApi.Action;
import pumicemoor.RouterApi.AttemptEnded;
import pumicemoor.RouterApi.Cancel;
import pumicemoor.RouterApi.Event;
import pumicemoor.RouterApi.Fetch;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/**
 * With nothing switched on, choices are those of before, action for action: a digest of all actions of simulated
 * days, recorded from the module as it was at the start of the product stage (commit 166425c), and recorded again
 * when the first limit of a member of untold size went from 12 to 48 attempts (the move to branch deployments);
 * three seeds in four play untold sizes. Recorded a third time when the origin's limit came to be held for fills through
 * parents whose notes tell hits alone.
 */
class RecordedChoicesTest {

    private static final String RECORDED = "24472 actions, 58fad6f757983b4a19615ae1";

    private record Out(String id, int attempt, long member, long at) {}

    @Test
    void choicesWithoutAHierarchyAreThoseRecorded() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        long actions = 0;
        for (int seed = 1; seed <= 12; seed++) {
            for (String line : day(seed)) {
                digest.update(line.getBytes(StandardCharsets.UTF_8));
                actions++;
            }
        }
        assertEquals(RECORDED, actions + " actions, " + HexFormat.of().formatHex(digest.digest(), 0, 12));
    }

    private static List<String> day(int seed) {
        Random random = new Random(seed);
        RouterHarness setup = new RouterHarness();
        setup.direct = seed % 2 == 0;
        setup.notes = FillReporting.values()[seed % 3];
        setup.weights = seed % 4 == 0 ? WeightMeaning.NOMINAL : WeightMeaning.NONE;
        setup.routersHere = 1 + seed % 3;
        setup.fresh = seed % 5 == 0 ? 3_000_000 : 0;
        setup.grace = setup.fresh;
        setup.fleet(4, 3);
        Logic logic = new Logic(setup.settings(), seed);
        List<String> lines = new ArrayList<>();
        List<Out> out = new ArrayList<>();
        Map<String, Integer> attempts = new java.util.HashMap<>();
        long[] now = {1_000_000_000L};
        java.util.function.Consumer<Event> handle = e -> logic.handle(now[0], e, a -> {
            lines.add(now[0] + " " + text(a) + "\n");
            String id = a instanceof Fetch f ? f.id() : a instanceof Lookup l ? l.id() : null;
            if (id != null) {
                out.add(new Out(
                        id,
                        attempts.merge(id, 1, Integer::sum) - 1,
                        a instanceof Fetch f ? f.member() : ((Lookup) a).member(),
                        now[0]));
            }
            if (a instanceof Cancel c) {
                out.stream()
                        .filter(o -> o.id().equals(c.id()) && o.attempt() == c.attempt())
                        .toList()
                        .forEach(o -> out.set(out.indexOf(o), new Out(o.id(), o.attempt(), o.member(), -1)));
            }
        });
        handle.accept(new MemberListUpdate(MemberListKind.SNAPSHOT, 1, List.copyOf(setup.members)));
        for (int step = 0; step < 3_000; step++) {
            now[0] += 1_000 + random.nextInt(10_000);
            int what = random.nextInt(100);
            if (what < 50) {
                handle.accept(new RequestArrived(
                        "q" + step,
                        random.nextInt(10) == 0 ? 1 : 0,
                        "o" + (int) (60 * Math.pow(random.nextDouble(), 2)),
                        0,
                        4,
                        random.nextInt(4) == 0 ? 0 : 200 + random.nextInt(3_000),
                        3_000_000,
                        false));
            } else if (what < 90 && !out.isEmpty()) {
                Out o = out.remove(random.nextInt(out.size()));
                Outcome outcome = o.at() < 0
                        ? Outcome.CANCELLED
                        : random.nextInt(8) > 0
                                ? Outcome.OK
                                : Outcome.values()[random.nextInt(Outcome.values().length)];
                FillResult note = outcome == Outcome.OK
                        ? FillResult.values()[random.nextInt(5)]
                        : random.nextBoolean() ? FillResult.NONE : FillResult.SOURCE_FAILED;
                handle.accept(new AttemptEnded(
                        o.id(),
                        o.attempt(),
                        o.member(),
                        outcome,
                        Math.max(1, now[0] - Math.max(0, o.at())),
                        outcome == Outcome.OK,
                        note,
                        0,
                        Map.of()));
            } else if (what < 98) {
                handle.accept(new TimerDue(0));
            } else if (what < 99) {
                handle.accept(new Purged("o" + random.nextInt(60), -1, random.nextInt(300_000)));
            } else {
                int at = random.nextInt(setup.members.size() - 1);
                Member m = setup.members.get(at);
                boolean restart = random.nextBoolean();
                Member changed = new Member(
                        m.id(),
                        m.role(),
                        m.zone(),
                        m.cell(),
                        m.weight(),
                        restart ? now[0] : m.started(),
                        restart || m.state() == State.DRAINING ? State.READY : State.DRAINING);
                setup.members.set(at, changed);
                handle.accept(new MemberListUpdate(MemberListKind.DELTA, step, List.of(changed)));
            }
        }
        return lines;
    }

    /** The action without what the recorded version did not have. */
    private static String text(Action action) {
        return action instanceof Fetch f
                ? String.join(
                        " ",
                        "Fetch",
                        f.id(),
                        Long.toString(f.member()),
                        Long.toString(f.source()),
                        Integer.toString(f.keepRank()),
                        Long.toString(f.maxAge()),
                        "" + f.join() + f.onlyIfCached() + f.bypassParent() + f.renew(),
                        Long.toString(f.timeout()))
                : action.toString();
    }
}
