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
import pumicemoor.RouterApi.FillReporting;
import pumicemoor.RouterApi.FillResult;
import pumicemoor.RouterApi.Lookup;
import pumicemoor.RouterApi.Member;
import pumicemoor.RouterApi.MemberListKind;
import pumicemoor.RouterApi.MemberListUpdate;
import pumicemoor.RouterApi.Outcome;
import pumicemoor.RouterApi.Purged;
import pumicemoor.RouterApi.RequestArrived;
import pumicemoor.RouterApi.State;
import pumicemoor.RouterApi.TimerDue;
import pumicemoor.RouterApi.WeightMeaning;

/**
 * Guards against changed decisions where no optional feature is on: the actions of simulated days must have the
 * recorded digest. It was first recorded at the start of the product stage (commit 166425c); again when the initial
 * limit of a member of unknown capacity went from 12 to 48 attempts (for branch deployments; three seeds in four have
 * unknown capacities); and a third time when the origin's limit began to apply to fills through parents whose fill
 * results report hits only.
 */
class RecordedChoicesTest {

    private static final String RECORDED = "24472 actions, 58fad6f757983b4a19615ae1";

    private record OpenAttempt(String id, int attempt, long member, long sentAt) {}

    @Test
    void actionsWithoutAHierarchyEqualTheRecordedOnes() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        long actions = 0;
        for (int seed = 1; seed <= 12; seed++) {
            for (String line : actionsOfDay(seed)) {
                digest.update(line.getBytes(StandardCharsets.UTF_8));
                actions++;
            }
        }
        assertEquals(RECORDED, actions + " actions, " + HexFormat.of().formatHex(digest.digest(), 0, 12));
    }

    private static List<String> actionsOfDay(int seed) {
        Random random = new Random(seed);
        RouterHarness harness = new RouterHarness();
        harness.bypassCaches = seed % 2 == 0;
        harness.fillReporting = FillReporting.values()[seed % 3];
        harness.weights = seed % 4 == 0 ? WeightMeaning.NOMINAL : WeightMeaning.NONE;
        harness.localRouters = 1 + seed % 3;
        harness.freshFor = seed % 5 == 0 ? 3_000_000 : 0;
        harness.staleGrace = harness.freshFor;
        harness.addFleet(4, 3);
        Logic logic = new Logic(harness.settings(), seed);
        List<String> lines = new ArrayList<>();
        List<OpenAttempt> open = new ArrayList<>();
        Map<String, Integer> attempts = new java.util.HashMap<>();
        long[] now = {1_000_000_000L};
        java.util.function.Consumer<Event> handle = event -> logic.handle(now[0], event, action -> {
            lines.add(now[0] + " " + text(action) + "\n");
            String id =
                    action instanceof Fetch fetch ? fetch.id() : action instanceof Lookup lookup ? lookup.id() : null;
            if (id != null) {
                open.add(new OpenAttempt(
                        id,
                        attempts.merge(id, 1, Integer::sum) - 1,
                        action instanceof Fetch fetch ? fetch.member() : ((Lookup) action).member(),
                        now[0]));
            }
            if (action instanceof Cancel cancel) {
                open.stream()
                        .filter(attempt -> attempt.id().equals(cancel.id()) && attempt.attempt() == cancel.attempt())
                        .toList()
                        .forEach(attempt -> open.set(
                                open.indexOf(attempt),
                                new OpenAttempt(attempt.id(), attempt.attempt(), attempt.member(), -1)));
            }
        });
        handle.accept(new MemberListUpdate(MemberListKind.SNAPSHOT, 1, List.copyOf(harness.members)));
        for (int step = 0; step < 3_000; step++) {
            now[0] += 1_000 + random.nextInt(10_000);
            int draw = random.nextInt(100);
            if (draw < 50) {
                handle.accept(new RequestArrived(
                        "q" + step,
                        random.nextInt(10) == 0 ? 1 : 0,
                        "o" + (int) (60 * Math.pow(random.nextDouble(), 2)),
                        0,
                        4,
                        random.nextInt(4) == 0 ? 0 : 200 + random.nextInt(3_000),
                        3_000_000,
                        false));
            } else if (draw < 90 && !open.isEmpty()) {
                OpenAttempt attempt = open.remove(random.nextInt(open.size()));
                Outcome outcome = attempt.sentAt() < 0
                        ? Outcome.CANCELLED
                        : random.nextInt(8) > 0
                                ? Outcome.OK
                                : Outcome.values()[random.nextInt(Outcome.values().length)];
                FillResult fillResult = outcome == Outcome.OK
                        ? FillResult.values()[random.nextInt(5)]
                        : random.nextBoolean() ? FillResult.NONE : FillResult.SOURCE_FAILED;
                handle.accept(new AttemptEnded(
                        attempt.id(),
                        attempt.attempt(),
                        attempt.member(),
                        outcome,
                        Math.max(1, now[0] - Math.max(0, attempt.sentAt())),
                        outcome == Outcome.OK,
                        fillResult,
                        0,
                        Map.of()));
            } else if (draw < 98) {
                handle.accept(new TimerDue(0));
            } else if (draw < 99) {
                handle.accept(new Purged("o" + random.nextInt(60), -1, random.nextInt(300_000)));
            } else {
                int index = random.nextInt(harness.members.size() - 1);
                Member member = harness.members.get(index);
                boolean restart = random.nextBoolean();
                Member changed = new Member(
                        member.id(),
                        member.role(),
                        member.zone(),
                        member.cell(),
                        member.weight(),
                        restart ? now[0] : member.startedAt(),
                        restart || member.state() == State.DRAINING ? State.READY : State.DRAINING);
                harness.members.set(index, changed);
                handle.accept(new MemberListUpdate(MemberListKind.DELTA, step, List.of(changed)));
            }
        }
        return lines;
    }

    /** The action as text, without the fields that the recorded version did not have. */
    private static String text(Action action) {
        return action instanceof Fetch fetch
                ? String.join(
                        " ",
                        "Fetch",
                        fetch.id(),
                        Long.toString(fetch.member()),
                        Long.toString(fetch.source()),
                        Integer.toString(fetch.keepRank()),
                        Long.toString(fetch.maxAge()),
                        "" + fetch.join() + fetch.onlyIfCached() + fetch.bypassParent() + fetch.renew(),
                        Long.toString(fetch.timeout()))
                : action.toString();
    }
}
