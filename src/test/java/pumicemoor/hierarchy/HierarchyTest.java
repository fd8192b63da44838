package pumicemoor.hierarchy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicemoor.RouterApi.FillSources;
import pumicemoor.RouterApi.FillSourcesUpdate;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;
import pumicemoor.hierarchy.Hierarchy.Setup;
import pumicemoor.hierarchy.Hierarchy.Snapshot;
import pumicemoor.hierarchy.Hierarchy.Stage;
import pumicemoor.hierarchy.TopologyValidator.ViolationKind;

/** One router's hierarchy by news and time; members have the hash of their name as number. */
class HierarchyTest {

    private static final long SECOND = 1_000_000;
    private static final MigrationTiming TIMING = new MigrationTiming(2 * SECOND, 10 * SECOND, 3 * SECOND, 20 * SECOND);
    private static final long T0 = 1_000 * SECOND;

    private final List<LogEvent> log = new ArrayList<>();

    private Hierarchy at(UpdateSource news, String... lines) {
        return new Hierarchy(Shapes.shape(1, 0, lines), 0, T0, new Setup("d", news, TIMING, 5 * SECOND), log::add);
    }

    private static long id(String name) {
        return name.hashCode();
    }

    private static FillSources home(Hierarchy h, long now) {
        h.advance(now);
        return h.sources(HierarchyTest::id).lists().get(FillSourcesUpdate.LOCATION);
    }

    private static Set<Long> now(FillSources list) {
        return Set.copyOf(list.current().stream().map(s -> s.member()).toList());
    }

    private static TopologyUpdate piece(long number, long announced, int of, String line) {
        String unit = line.substring(0, line.indexOf(':'));
        String parents = line.substring(line.indexOf(':') + 1);
        return new TopologyUpdate(number, announced, 2, of, unit, Shapes.kind(unit), Shapes.parents(parents), parents.isEmpty());
    }

    @Test
    void aNewShapeActsAtTheLeadAndMovesByARisingShare() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:o", "h2:o");
        assertEquals(List.of(), h.take(T0, Shapes.shape(2, T0, "d:h2", "h1:o", "h2:o"), Set.of("h1", "h2", "o")));
        assertEquals(Set.of(id("h1")), now(home(h, T0 + 2 * SECOND - 1)));
        FillSources moving = home(h, T0 + 2 * SECOND);
        assertEquals(Set.of(id("h2")), now(moving));
        assertEquals(id("h1"), moving.previous().get(0).member());
        assertEquals(T0 + 2 * SECOND, moving.current().get(0).rampStart());
        assertEquals(T0 + 12 * SECOND, moving.current().get(0).rampEnd());
        assertEquals(
                List.of(id("h1")),
                h.sources(HierarchyTest::id).lists().get(id("h2")).seeds());
        h.advance(T0 + 7 * SECOND);
        assertEquals(0.5, h.snapshot().shareMoved(), 0.001);
        assertEquals(Stage.MOVING, h.snapshot().stage());
        assertEquals(List.of(), home(h, T0 + 12 * SECOND).previous());
        assertEquals(
                id("h1"), home(h, T0 + 13 * SECOND).earlier().get(0).member(), "it is remembered for what it held");
        h.advance(T0 + 60 * SECOND);
        assertEquals(Stage.AS_WANTED, h.snapshot().stage());
        assertEquals(
                List.of(), h.sources(HierarchyTest::id).lists().get(id("h2")).seeds());
    }

    @Test
    void whatWouldCloseALoopIsHeldUntilTheOtherSideHasMoved() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:h2", "h2:o");
        h.take(T0, Shapes.shape(2, T0, "d:h1", "h1:o", "h2:h1"), Set.of());
        h.advance(T0 + 3 * SECOND);
        assertEquals(Stage.HELD, h.snapshot().stage());
        assertEquals(1, h.snapshot().linksHeld());
        assertTrue(
                log.stream()
                        .anyMatch(l -> l.text().contains("would close a loop")
                                && "h2".equals(l.fields().get("unit"))
                                && "h1".equals(l.fields().get("parent"))),
                log.toString());
        assertTrue(h.timeline().linksInUse().contains(new Topology.Link("h2", "o")), "service goes on the old way");
        h.advance(T0 + 14 * SECOND);
        assertFalse(h.timeline().linksInUse().contains(new Topology.Link("h2", "h1")), "others may still follow h1 <- h2");
        h.advance(T0 + 15 * SECOND);
        assertTrue(h.timeline().linksInUse().contains(new Topology.Link("h2", "h1")));
        assertEquals(1, h.snapshot().loopsHeld());
    }

    @Test
    void rolledBackInTheMiddleItReturnsByTheShareThatHadMoved() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:o", "h2:o");
        h.take(T0, Shapes.shape(2, T0, "d:h2", "h1:o", "h2:o"), Set.of());
        h.take(T0 + 5 * SECOND, Shapes.shape(3, T0 + 5 * SECOND, "d:h1", "h1:o", "h2:o"), Set.of());
        // the roll-back acts at 7 s, with half moved; seeds must turn round first, which takes the gap
        FillSources back = home(h, T0 + 10 * SECOND);
        assertEquals(Set.of(id("h1")), now(back));
        assertTrue(back.reverting());
        assertEquals(0.2, back.current().get(0).share(), 0.001);
        assertEquals(T0 + 18 * SECOND, back.current().get(0).rampEnd());
        assertEquals(1, h.snapshot().movesBack());
        assertFalse(home(h, T0 + 60 * SECOND).reverting());
    }

    @Test
    void anotherShapeInTheMiddleOfAMoveWaitsForItsEnd() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:o", "h2:o", "h3:o");
        h.take(T0, Shapes.shape(2, T0, "d:h2", "h1:o", "h2:o", "h3:o"), Set.of());
        h.take(T0 + 4 * SECOND, Shapes.shape(3, T0 + 4 * SECOND, "d:h3", "h1:o", "h2:o", "h3:o"), Set.of());
        assertEquals(Set.of(id("h2")), now(home(h, T0 + 11 * SECOND)));
        FillSources next = home(h, T0 + 12 * SECOND);
        assertEquals(Set.of(id("h3")), now(next));
        assertEquals(id("h2"), next.previous().get(0).member());
    }

    @Test
    void aHubThatIsRemovedStaysUntilNobodyFillsThroughIt() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:o");
        h.take(T0, Shapes.shape(2, T0, "d:o"), Set.of()); // the only one
        h.advance(T0 + 8 * SECOND);
        assertTrue(h.timeline().linksInUse().contains(new Topology.Link("h1", "o")));
        assertEquals(Set.of(id("o")), now(home(h, T0 + 8 * SECOND)));
        h.advance(T0 + 100 * SECOND);
        assertEquals(Set.of(new Topology.Link("d", "o")), h.timeline().linksInUse());
        assertEquals(Stage.AS_WANTED, h.snapshot().stage());
    }

    @Test
    void aHubThatStartsColdInTheMiddleTakesItsShareFromNothingAgain() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:o", "h2:o");
        h.take(T0, Shapes.shape(2, T0, "d:h2", "h1:o", "h2:o"), Set.of());
        h.advance(T0 + 6 * SECOND);
        h.members(Map.of("h1", 0L, "h2", T0 + 6 * SECOND));
        assertTrue(h.changed());
        var source = home(h, T0 + 6 * SECOND).current().get(0);
        assertEquals(T0 + 6 * SECOND, source.rampStart());
        assertEquals(T0 + 16 * SECOND, source.rampEnd());
        assertEquals(0, source.share());
    }

    @Test
    void piecesOfAWholeShapeActTogetherOrNotAtAll() {
        Hierarchy h = at(UpdateSource.FEED, "d:h1", "h1:o", "h2:o");
        h.take(T0, piece(1, T0, 2, "d:h2"));
        h.certain(T0 + 3 * SECOND, T0 + 3 * SECOND, 1);
        assertEquals(Set.of(id("h1")), now(home(h, T0 + 3 * SECOND)));
        assertEquals(Stage.WAITING_FOR_NEWS, h.snapshot().stage());
        h.take(T0 + 3 * SECOND, piece(2, T0 + 3 * SECOND, 2, "h2:h1"));
        h.certain(T0 + 6 * SECOND, T0 + 6 * SECOND, 2);
        assertEquals(Set.of(id("h2")), now(home(h, T0 + 6 * SECOND)));
        h.take(T0 + 6 * SECOND, piece(3, T0 + 6 * SECOND, 2, "h1:h2"));
        h.take(T0 + 6 * SECOND, piece(4, T0 + 6 * SECOND, 2, "d:h1"));
        assertEquals(1, h.snapshot().shapesRefused());
        assertTrue(
                h.snapshot().lastRefusal().contains("a loop: h1 <- h2 <- h1"),
                h.snapshot().lastRefusal());
        assertEquals(Map.of("h1", 1.0), h.wanted().get("h2").parents(), "nothing of it was taken");
    }

    @Test
    void piecesTwiceAndOutOfOrderAreTakenOnceAndInOrder() {
        Hierarchy h = at(UpdateSource.FEED, "d:h1", "h1:o", "h2:o");
        h.take(T0, piece(2, T0, 0, "d:h1,h2"));
        h.take(T0, piece(2, T0, 0, "d:h1,h2"));
        assertEquals(Stage.WAITING_FOR_NEWS, h.snapshot().stage());
        h.take(T0, piece(1, T0, 0, "d:h2"));
        h.take(T0, piece(1, T0, 0, "d:h2"));
        assertEquals(Map.of("h1", 1.0, "h2", 1.0), h.wanted().get("d").parents());
        Snapshot s = h.snapshot();
        assertEquals(2, s.piecesTwice());
        assertEquals(1, s.piecesEarly());
    }

    @Test
    void withoutCertainNewsNothingMovesAndAfterTheGapNothingIsSaid() {
        Hierarchy h = at(UpdateSource.FEED, "d:h1", "h1:o", "h2:o");
        h.take(T0, piece(1, T0, 0, "d:h2"));
        assertEquals(Set.of(id("h1")), now(home(h, T0 + SECOND)));
        assertEquals(T0 + 2 * SECOND, h.nextDue(), "it wants to be called when the piece acts");
        h.advance(T0 + 3 * SECOND);
        assertFalse(h.sources(HierarchyTest::id).lists().isEmpty(), "half a gap past the lead it still holds");
        h.advance(T0 + 4 * SECOND);
        assertTrue(h.sources(HierarchyTest::id).lists().isEmpty(), "the ordinary path decides");
        assertEquals(Stage.TOO_OLD, h.snapshot().stage());
        h.certain(T0 + 9 * SECOND, T0 + 9 * SECOND, 1);
        assertEquals(Set.of(id("h2")), now(home(h, T0 + 9 * SECOND)));
        h.certain(T0 + 20 * SECOND, T0 + 20 * SECOND, 2);
        h.advance(T0 + 20 * SECOND);
        assertEquals(Stage.TOO_OLD, h.snapshot().stage(), "a piece is missing, so nothing after it is certain");
    }

    @ParameterizedTest
    @CsvSource({"h1:d", "h1:h1", "d:", "h9:", "o:h1"})
    void aPieceThatCannotBeIsRefusedByItself(String line) {
        Hierarchy h = at(UpdateSource.FEED, "d:h1", "h1:o");
        TopologyUpdate bad = piece(1, T0, 0, line);
        h.take(T0, line.equals("d:") ? new TopologyUpdate(1, T0, 2, 0, "d", Topology.Kind.DEPOT, Map.of(), false) : bad);
        assertEquals(1, h.snapshot().piecesRefused());
        h.take(T0, piece(2, T0, 0, "d:o"));
        assertEquals(Map.of("o", 1.0), h.wanted().get("d").parents());
    }

    @Test
    void aWholeShapeThatIsRefusedLeavesAllAsItWas() {
        Hierarchy h = at(UpdateSource.FILE, "d:h1", "h1:o");
        assertEquals(
                ViolationKind.LOOP,
                h.take(T0, Shapes.shape(2, T0, "d:h1", "h1:h2", "h2:h1"), Set.of())
                        .get(0)
                        .trouble());
        assertEquals(
                ViolationKind.UNKNOWN_MEMBER,
                h.take(T0, Shapes.shape(2, T0, "d:h1", "h1:o"), Set.of("o"))
                        .get(0)
                        .trouble());
        assertFalse(h.take(T0, Shapes.shape(1, T0, "d:o", "h1:o"), Set.of()).isEmpty(), "the version must rise");
        assertEquals(3, h.snapshot().shapesRefused());
        assertEquals(1, h.snapshot().version());
        h.advance(T0 + 100 * SECOND);
        assertEquals(0, h.snapshot().moves());
    }

    @Test
    void whoStartsInTheMiddleFollowsTheChangeIfItIsToldWhatWasBeforeElseNothing() {
        Topology before = Shapes.shape(1, 0, "d:h1", "h1:o", "h2:o");
        Topology shape = Shapes.shape(2, T0, "d:h2", "h1:o", "h2:o");
        Setup setup = new Setup("d", UpdateSource.FILE, TIMING, 0);
        Hierarchy told = Hierarchy.start(shape, Optional.of(before), 0, T0 + 7 * SECOND, setup, log::add);
        assertEquals(0.5, told.snapshot().shareMoved(), 0.001);
        Hierarchy untold = Hierarchy.start(shape, Optional.empty(), 0, T0 + 7 * SECOND, setup, log::add);
        untold.advance(T0 + 7 * SECOND);
        assertTrue(untold.sources(HierarchyTest::id).lists().isEmpty());
        long over = T0 + TIMING.lead() + 3 * (TIMING.move() + TIMING.gap());
        assertEquals(over, untold.nextDue());
        assertFalse(home(untold, over) == null);
    }

    @Test
    void aPlanShowsTheStepsThatTheTimelineWillTake() {
        Topology old = Shapes.shape(1, 0, "d:h1", "h1:h2", "h2:o");
        MigrationPlan plan = MigrationPlan.between(old, Shapes.shape(2, 0, "d:h1", "h1:o", "h2:h1"), TIMING);
        assertTrue(plan.usable());
        assertEquals(List.of("h1 <- o"), plan.steps().get(0).begin());
        assertEquals(List.of("h2 <- h1"), plan.steps().get(0).held());
        MigrationPlan.Step second = plan.steps().stream()
                .filter(s -> s.begin().contains("h2 <- h1"))
                .findFirst()
                .orElseThrow();
        assertEquals(TIMING.lead() + TIMING.move() + TIMING.gap(), second.after());
        assertFalse(MigrationPlan.between(old, Shapes.shape(2, 0, "d:h1", "h1:h2", "h2:h1"), TIMING)
                .usable());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "d:|ORPHAN",
                "d:hx|UNKNOWN_UNIT",
                "d:h1;h1:h2;h2:h1|LOOP",
                "h1:d;d:h1|DOWNWARD",
                "d:c1;c1:o|DOWNWARD",
                "c1:c2;c2:c1|LOOP",
                "h1:c1;c1:o|DOWNWARD"
            })
    void troublesAreFound(String lines, ViolationKind trouble) {
        assertEquals(
                trouble,
                TopologyValidator.problems(Shapes.shape(1, 0, lines.split(";")), Set.of())
                        .get(0)
                        .trouble());
    }
}
