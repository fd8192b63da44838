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
import pumicemoor.hierarchy.Hierarchy.Setup;
import pumicemoor.hierarchy.Hierarchy.Snapshot;
import pumicemoor.hierarchy.Hierarchy.Stage;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;
import pumicemoor.hierarchy.TopologyValidator.ViolationKind;

/** The hierarchy of one router, driven by updates and time. The id of a member is the hash of its name. */
class HierarchyTest {

    private static final long SECOND_MICROS = 1_000_000;
    private static final MigrationTiming TIMING =
            new MigrationTiming(2 * SECOND_MICROS, 10 * SECOND_MICROS, 3 * SECOND_MICROS, 20 * SECOND_MICROS);
    private static final long START_MICROS = 1_000 * SECOND_MICROS;

    private final List<LogEvent> log = new ArrayList<>();

    private Hierarchy hierarchy(UpdateSource source, String... lines) {
        return new Hierarchy(
                Topologies.topology(1, 0, lines),
                0,
                START_MICROS,
                new Setup("d", source, TIMING, 5 * SECOND_MICROS),
                log::add);
    }

    private static long id(String name) {
        return name.hashCode();
    }

    private static FillSources localSources(Hierarchy hierarchy, long now) {
        hierarchy.advance(now);
        return hierarchy.sources(HierarchyTest::id).sourcesByMember().get(FillSourcesUpdate.LOCATION);
    }

    private static Set<Long> currentMembers(FillSources sources) {
        return Set.copyOf(sources.current().stream().map(s -> s.member()).toList());
    }

    private static TopologyUpdate update(long number, long announced, int pieces, String line) {
        String unit = line.substring(0, line.indexOf(':'));
        String parents = line.substring(line.indexOf(':') + 1);
        return new TopologyUpdate(
                number,
                announced,
                2,
                pieces,
                unit,
                Topologies.kind(unit),
                Topologies.parents(parents),
                parents.isEmpty());
    }

    @Test
    void aNewTopologyTakesEffectAfterTheLeadAndMovesObjectsByARisingShare() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:o", "h2:o");
        assertEquals(
                List.of(),
                hierarchy.accept(
                        START_MICROS,
                        Topologies.topology(2, START_MICROS, "d:h2", "h1:o", "h2:o"),
                        Set.of("h1", "h2", "o")));
        assertEquals(Set.of(id("h1")), currentMembers(localSources(hierarchy, START_MICROS + 2 * SECOND_MICROS - 1)));
        FillSources moving = localSources(hierarchy, START_MICROS + 2 * SECOND_MICROS);
        assertEquals(Set.of(id("h2")), currentMembers(moving));
        assertEquals(id("h1"), moving.previous().get(0).member());
        assertEquals(START_MICROS + 2 * SECOND_MICROS, moving.current().get(0).rampStart());
        assertEquals(START_MICROS + 12 * SECOND_MICROS, moving.current().get(0).rampEnd());
        assertEquals(
                List.of(id("h1")),
                hierarchy
                        .sources(HierarchyTest::id)
                        .sourcesByMember()
                        .get(id("h2"))
                        .seeds());
        hierarchy.advance(START_MICROS + 7 * SECOND_MICROS);
        assertEquals(0.5, hierarchy.snapshot().shareMoved(), 0.001);
        assertEquals(Stage.MOVING, hierarchy.snapshot().stage());
        assertEquals(
                List.of(),
                localSources(hierarchy, START_MICROS + 12 * SECOND_MICROS).previous());
        assertEquals(
                id("h1"),
                localSources(hierarchy, START_MICROS + 13 * SECOND_MICROS)
                        .earlier()
                        .get(0)
                        .member(),
                "the previous parent is remembered for the objects it holds");
        hierarchy.advance(START_MICROS + 60 * SECOND_MICROS);
        assertEquals(Stage.AS_WANTED, hierarchy.snapshot().stage());
        assertEquals(
                List.of(),
                hierarchy
                        .sources(HierarchyTest::id)
                        .sourcesByMember()
                        .get(id("h2"))
                        .seeds());
    }

    @Test
    void aLinkThatWouldCloseALoopIsBlockedUntilTheOppositeLinkIsGone() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:h2", "h2:o");
        hierarchy.accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:h1", "h1:o", "h2:h1"), Set.of());
        hierarchy.advance(START_MICROS + 3 * SECOND_MICROS);
        assertEquals(Stage.HELD, hierarchy.snapshot().stage());
        assertEquals(1, hierarchy.snapshot().linksHeld());
        assertTrue(
                log.stream()
                        .anyMatch(l -> l.text().contains("would close a loop")
                                && "h2".equals(l.fields().get("unit"))
                                && "h1".equals(l.fields().get("parent"))),
                log.toString());
        assertTrue(
                hierarchy.timeline().linksInUse().contains(new Topology.Link("h2", "o")),
                "fills continue over the old link");
        hierarchy.advance(START_MICROS + 14 * SECOND_MICROS);
        assertFalse(
                hierarchy.timeline().linksInUse().contains(new Topology.Link("h2", "h1")),
                "other routers may still use h1 <- h2");
        hierarchy.advance(START_MICROS + 15 * SECOND_MICROS);
        assertTrue(hierarchy.timeline().linksInUse().contains(new Topology.Link("h2", "h1")));
        assertEquals(1, hierarchy.snapshot().loopsHeld());
    }

    @Test
    void aRollbackDuringAMigrationReturnsTheShareThatHadMoved() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:o", "h2:o");
        hierarchy.accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:h2", "h1:o", "h2:o"), Set.of());
        hierarchy.accept(
                START_MICROS + 5 * SECOND_MICROS,
                Topologies.topology(3, START_MICROS + 5 * SECOND_MICROS, "d:h1", "h1:o", "h2:o"),
                Set.of());
        // the rollback takes effect at 7 s, with half moved; seed links must reverse first, which takes the gap
        FillSources back = localSources(hierarchy, START_MICROS + 10 * SECOND_MICROS);
        assertEquals(Set.of(id("h1")), currentMembers(back));
        assertTrue(back.reverting());
        assertEquals(0.2, back.current().get(0).initialShare(), 0.001);
        assertEquals(START_MICROS + 18 * SECOND_MICROS, back.current().get(0).rampEnd());
        assertEquals(1, hierarchy.snapshot().movesBack());
        assertFalse(localSources(hierarchy, START_MICROS + 60 * SECOND_MICROS).reverting());
    }

    @Test
    void anotherTopologyDuringAMigrationWaitsForItsEnd() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:o", "h2:o", "h3:o");
        hierarchy.accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:h2", "h1:o", "h2:o", "h3:o"), Set.of());
        hierarchy.accept(
                START_MICROS + 4 * SECOND_MICROS,
                Topologies.topology(3, START_MICROS + 4 * SECOND_MICROS, "d:h3", "h1:o", "h2:o", "h3:o"),
                Set.of());
        assertEquals(Set.of(id("h2")), currentMembers(localSources(hierarchy, START_MICROS + 11 * SECOND_MICROS)));
        FillSources next = localSources(hierarchy, START_MICROS + 12 * SECOND_MICROS);
        assertEquals(Set.of(id("h3")), currentMembers(next));
        assertEquals(id("h2"), next.previous().get(0).member());
    }

    @Test
    void aRemovedHubStaysUntilNoUnitFillsThroughIt() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:o");
        // nothing else filled from h1
        hierarchy.accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:o"), Set.of());
        hierarchy.advance(START_MICROS + 8 * SECOND_MICROS);
        assertTrue(hierarchy.timeline().linksInUse().contains(new Topology.Link("h1", "o")));
        assertEquals(Set.of(id("o")), currentMembers(localSources(hierarchy, START_MICROS + 8 * SECOND_MICROS)));
        hierarchy.advance(START_MICROS + 100 * SECOND_MICROS);
        assertEquals(Set.of(new Topology.Link("d", "o")), hierarchy.timeline().linksInUse());
        assertEquals(Stage.AS_WANTED, hierarchy.snapshot().stage());
    }

    @Test
    void aHubThatRestartsDuringAMigrationRampsUpFromZero() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:o", "h2:o");
        hierarchy.accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:h2", "h1:o", "h2:o"), Set.of());
        hierarchy.advance(START_MICROS + 6 * SECOND_MICROS);
        hierarchy.updateStartTimes(Map.of("h1", 0L, "h2", START_MICROS + 6 * SECOND_MICROS));
        assertTrue(hierarchy.changed());
        var source = localSources(hierarchy, START_MICROS + 6 * SECOND_MICROS)
                .current()
                .get(0);
        assertEquals(START_MICROS + 6 * SECOND_MICROS, source.rampStart());
        assertEquals(START_MICROS + 16 * SECOND_MICROS, source.rampEnd());
        assertEquals(0, source.initialShare());
    }

    @Test
    void updatesOfAWholeTopologyAreAppliedTogetherOrNotAtAll() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FEED, "d:h1", "h1:o", "h2:o");
        hierarchy.accept(START_MICROS, update(1, START_MICROS, 2, "d:h2"));
        hierarchy.confirmUpdates(START_MICROS + 3 * SECOND_MICROS, START_MICROS + 3 * SECOND_MICROS, 1);
        assertEquals(Set.of(id("h1")), currentMembers(localSources(hierarchy, START_MICROS + 3 * SECOND_MICROS)));
        assertEquals(Stage.WAITING_FOR_NEWS, hierarchy.snapshot().stage());
        hierarchy.accept(START_MICROS + 3 * SECOND_MICROS, update(2, START_MICROS + 3 * SECOND_MICROS, 2, "h2:h1"));
        hierarchy.confirmUpdates(START_MICROS + 6 * SECOND_MICROS, START_MICROS + 6 * SECOND_MICROS, 2);
        assertEquals(Set.of(id("h2")), currentMembers(localSources(hierarchy, START_MICROS + 6 * SECOND_MICROS)));
        hierarchy.accept(START_MICROS + 6 * SECOND_MICROS, update(3, START_MICROS + 6 * SECOND_MICROS, 2, "h1:h2"));
        hierarchy.accept(START_MICROS + 6 * SECOND_MICROS, update(4, START_MICROS + 6 * SECOND_MICROS, 2, "d:h1"));
        assertEquals(1, hierarchy.snapshot().shapesRefused());
        assertTrue(
                hierarchy.snapshot().lastRefusal().contains("a loop: h1 <- h2 <- h1"),
                hierarchy.snapshot().lastRefusal());
        assertEquals(
                Map.of("h1", 1.0),
                hierarchy.targetUnits().get("h2").parents(),
                "no update of the refused topology is applied");
    }

    @Test
    void duplicateAndOutOfOrderUpdatesAreAppliedOnceAndInOrder() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FEED, "d:h1", "h1:o", "h2:o");
        hierarchy.accept(START_MICROS, update(2, START_MICROS, 0, "d:h1,h2"));
        hierarchy.accept(START_MICROS, update(2, START_MICROS, 0, "d:h1,h2"));
        assertEquals(Stage.WAITING_FOR_NEWS, hierarchy.snapshot().stage());
        hierarchy.accept(START_MICROS, update(1, START_MICROS, 0, "d:h2"));
        hierarchy.accept(START_MICROS, update(1, START_MICROS, 0, "d:h2"));
        assertEquals(
                Map.of("h1", 1.0, "h2", 1.0), hierarchy.targetUnits().get("d").parents());
        Snapshot snapshot = hierarchy.snapshot();
        assertEquals(2, snapshot.piecesTwice());
        assertEquals(1, snapshot.piecesEarly());
    }

    @Test
    void withoutConfirmationNothingMovesAndAfterTheGapNoSourcesAreGiven() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FEED, "d:h1", "h1:o", "h2:o");
        hierarchy.accept(START_MICROS, update(1, START_MICROS, 0, "d:h2"));
        assertEquals(Set.of(id("h1")), currentMembers(localSources(hierarchy, START_MICROS + SECOND_MICROS)));
        assertEquals(
                START_MICROS + 2 * SECOND_MICROS,
                hierarchy.nextDue(),
                "the next call is due when the update takes effect");
        hierarchy.advance(START_MICROS + 3 * SECOND_MICROS);
        assertFalse(
                hierarchy.sources(HierarchyTest::id).sourcesByMember().isEmpty(),
                "the sources stay valid until half a gap after the lead");
        hierarchy.advance(START_MICROS + 4 * SECOND_MICROS);
        assertTrue(hierarchy.sources(HierarchyTest::id).sourcesByMember().isEmpty(), "the ordinary path decides");
        assertEquals(Stage.TOO_OLD, hierarchy.snapshot().stage());
        hierarchy.confirmUpdates(START_MICROS + 9 * SECOND_MICROS, START_MICROS + 9 * SECOND_MICROS, 1);
        assertEquals(Set.of(id("h2")), currentMembers(localSources(hierarchy, START_MICROS + 9 * SECOND_MICROS)));
        hierarchy.confirmUpdates(START_MICROS + 20 * SECOND_MICROS, START_MICROS + 20 * SECOND_MICROS, 2);
        hierarchy.advance(START_MICROS + 20 * SECOND_MICROS);
        assertEquals(
                Stage.TOO_OLD, hierarchy.snapshot().stage(), "an update is missing, so nothing after it is confirmed");
    }

    @ParameterizedTest
    @CsvSource({"h1:d", "h1:h1", "d:", "h9:", "o:h1"})
    void anInvalidIndependentUpdateIsRefusedAlone(String line) {
        Hierarchy hierarchy = hierarchy(UpdateSource.FEED, "d:h1", "h1:o");
        TopologyUpdate invalid = update(1, START_MICROS, 0, line);
        hierarchy.accept(
                START_MICROS,
                line.equals("d:")
                        ? new TopologyUpdate(1, START_MICROS, 2, 0, "d", Topology.Kind.DEPOT, Map.of(), false)
                        : invalid);
        assertEquals(1, hierarchy.snapshot().piecesRefused());
        hierarchy.accept(START_MICROS, update(2, START_MICROS, 0, "d:o"));
        assertEquals(Map.of("o", 1.0), hierarchy.targetUnits().get("d").parents());
    }

    @Test
    void aRefusedTopologyChangesNothing() {
        Hierarchy hierarchy = hierarchy(UpdateSource.FILE, "d:h1", "h1:o");
        assertEquals(
                ViolationKind.LOOP,
                hierarchy
                        .accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:h1", "h1:h2", "h2:h1"), Set.of())
                        .get(0)
                        .kind());
        assertEquals(
                ViolationKind.UNKNOWN_MEMBER,
                hierarchy
                        .accept(START_MICROS, Topologies.topology(2, START_MICROS, "d:h1", "h1:o"), Set.of("o"))
                        .get(0)
                        .kind());
        assertFalse(
                hierarchy
                        .accept(START_MICROS, Topologies.topology(1, START_MICROS, "d:o", "h1:o"), Set.of())
                        .isEmpty(),
                "the version must rise");
        assertEquals(3, hierarchy.snapshot().shapesRefused());
        assertEquals(1, hierarchy.snapshot().version());
        hierarchy.advance(START_MICROS + 100 * SECOND_MICROS);
        assertEquals(0, hierarchy.snapshot().moves());
    }

    @Test
    void aRouterStartedDuringAChangeFollowsItOnlyIfItKnowsThePreviousTopology() {
        Topology before = Topologies.topology(1, 0, "d:h1", "h1:o", "h2:o");
        Topology topology = Topologies.topology(2, START_MICROS, "d:h2", "h1:o", "h2:o");
        Setup setup = new Setup("d", UpdateSource.FILE, TIMING, 0);
        Hierarchy withPrevious =
                Hierarchy.start(topology, Optional.of(before), 0, START_MICROS + 7 * SECOND_MICROS, setup, log::add);
        assertEquals(0.5, withPrevious.snapshot().shareMoved(), 0.001);
        Hierarchy withoutPrevious =
                Hierarchy.start(topology, Optional.empty(), 0, START_MICROS + 7 * SECOND_MICROS, setup, log::add);
        withoutPrevious.advance(START_MICROS + 7 * SECOND_MICROS);
        assertTrue(withoutPrevious.sources(HierarchyTest::id).sourcesByMember().isEmpty());
        long changeOver = START_MICROS + TIMING.leadMicros() + 3 * (TIMING.moveMicros() + TIMING.gapMicros());
        assertEquals(changeOver, withoutPrevious.nextDue());
        assertFalse(localSources(withoutPrevious, changeOver) == null);
    }

    @Test
    void aMigrationPlanShowsTheStepsOfTheTimeline() {
        Topology old = Topologies.topology(1, 0, "d:h1", "h1:h2", "h2:o");
        MigrationPlan plan = MigrationPlan.between(old, Topologies.topology(2, 0, "d:h1", "h1:o", "h2:h1"), TIMING);
        assertTrue(plan.usable());
        assertEquals(List.of("h1 <- o"), plan.steps().get(0).begin());
        assertEquals(List.of("h2 <- h1"), plan.steps().get(0).blocked());
        MigrationPlan.Step second = plan.steps().stream()
                .filter(s -> s.begin().contains("h2 <- h1"))
                .findFirst()
                .orElseThrow();
        assertEquals(TIMING.leadMicros() + TIMING.moveMicros() + TIMING.gapMicros(), second.afterMicros());
        assertFalse(MigrationPlan.between(old, Topologies.topology(2, 0, "d:h1", "h1:h2", "h2:h1"), TIMING)
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
    void violationsAreReported(String lines, ViolationKind expected) {
        assertEquals(
                expected,
                TopologyValidator.findViolations(Topologies.topology(1, 0, lines.split(";")), Set.of())
                        .get(0)
                        .kind());
    }
}
