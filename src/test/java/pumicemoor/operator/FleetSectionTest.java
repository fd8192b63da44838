package pumicemoor.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicemoor.RouterApi;
import pumicemoor.RouterApi.LimitMeasure;
import pumicemoor.fleet.FleetSetup;
import pumicemoor.fleet.FleetSetup.Scope;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.node.NodeTestConfig;

/** Tests reading and validation of the section 'fleet' of an operator's file. */
class FleetSectionTest {

    private static final String VALID =
            """
            fleet:
              cluster: west
              listen: 127.0.0.1:7946
              seeds: [127.0.0.1:7947]
              size: 8
              lease-ms: 5000
              guard-ms: 500
              limits:
                - {name: boxes, members: each-cache, per-second: 100}
                - {name: one, members: box-7, in-flight: 16}
              verdicts: {most-out: 0.2, witnesses: 2}
              drains: {drain-ms: 4000}
            """;

    @Test
    void absentKeysOfAValidSectionGetTheirDefaults() throws Exception {
        FleetSection section = OperatorFile.parse("f", VALID).fleet().orElseThrow();
        assertEquals("127.0.0.1:7946", section.advertise());
        assertEquals(200_000, section.periodMicros());
        assertEquals(5_000_000, section.leaseTimes().leaseMicros());
        assertEquals(Scope.EACH_CACHE, section.limits().get(0).scope());
        assertEquals(Scope.MEMBER, section.limits().get(1).scope());
        assertEquals(LimitMeasure.IN_FLIGHT, section.limits().get(1).measure());
        assertEquals(5_000_000, section.ejectionRules().orElseThrow().ejectionMicros());
        assertEquals(4_000_000, section.drainTimes().orElseThrow().drainMicros());
        assertEquals(60_000_000, section.drainTimes().orElseThrow().goneMicros());
        assertTrue(OperatorFile.parse("f", VALID.replace("  drains: {drain-ms: 4000}\n", ""))
                .fleet()
                .orElseThrow()
                .drainTimes()
                .isEmpty());
        assertTrue(OperatorFile.parse("f", "").fleet().isEmpty());
    }

    /** Each row: a text of the valid section, its replacement, the line that the error names, words of the error. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "cluster: west|cluster: 'w st'|2|fleet.cluster",
                "listen: 127.0.0.1:7946|listen: nowhere|3|fleet.listen: 'nowhere' is not an address",
                "listen: 127.0.0.1:7946|listen: 127.0.0.999:7946|3|fleet.listen",
                "127.0.0.1:7947|127.0.0.1:0|4|fleet.seeds",
                "size: 8|size: 0|5|fleet.size",
                "size: 8|sise: 8|5|unknown key",
                "lease-ms: 5000|lease-ms: 10|6|fleet.lease-ms: 10 is out of range",
                "guard-ms: 500|guard-ms: 2600|7|fleet.guard-ms: it is over half of lease-ms",
                "per-second: 100|per-second: 0|8|out of range",
                "per-second: 100|per-second: 100, in-flight: 9|8|needs one of",
                "in-flight: 16|in-flight: 7|8|whole parts among 8 routers",
                "members: each-cache|members: across-zones|8|across-zones and kb-per-second go together",
                "name: one|name: boxes|8|two limits have the name 'boxes'",
                "most-out: 0.2|most-out: 1.2|11|fleet.verdicts.most-out",
                "drain-ms: 4000|drain-ms: 5|12|fleet.drains.drain-ms: 5 is out of range",
                "drain-ms: 4000|least-ms: 20000|12|fleet.drains.least-ms: it is over drain-ms",
                "drain-ms: 4000|gone-ms: 9000|12|fleet.drains.gone-ms: it is less than the sum of lease-ms",
                "drain-ms: 4000|gone-ms: 700000|12|fleet.drains.gone-ms: it is over remember-ms",
                "drain-ms: 4000|drain: 4000|12|unknown key",
            })
    void errorNamesItsLineAndKey(String from, String to, int line, String words) {
        assertTrue(VALID.contains(from));
        OperatorException e =
                assertThrows(OperatorException.class, () -> OperatorFile.parse("f", VALID.replace(from, to)));
        assertTrue(
                e.getMessage().startsWith("f:" + line + ":") && e.getMessage().contains(words), e.getMessage());
    }

    private static final String VALID_WITH_CELLS = VALID.replace("size: 8", "size: 18000")
            .replace("in-flight: 16", "in-flight: 18000")
            .replace("drains: {drain-ms: 4000}", "cells: {root: zone-a, most: 64, delegates: 3}");

    @Test
    void absentKeysOfCellsGetTheirDefaults() throws Exception {
        FleetSection section = OperatorFile.parse("f", VALID_WITH_CELLS).fleet().orElseThrow();
        assertEquals(18_000, section.size());
        assertEquals(new CellSetup("zone-a", 64, 3), section.cellSetup().orElseThrow());
        assertEquals(
                new CellSetup("site_7", 96, 2),
                OperatorFile.parse(
                                "f",
                                VALID_WITH_CELLS.replace("{root: zone-a, most: 64, delegates: 3}", "{root: site_7}"))
                        .fleet()
                        .orElseThrow()
                        .cellSetup()
                        .orElseThrow());
        assertEquals(
                100_000,
                OperatorFile.parse("f", VALID_WITH_CELLS.replace("18000", "100000"))
                        .fleet()
                        .orElseThrow()
                        .size());
        assertTrue(
                OperatorFile.parse("f", VALID).fleet().orElseThrow().cellSetup().isEmpty(),
                "cells are off if the section is absent");
    }

    /** The fleet setup of a router includes the cells of the section, and no cells if the section has none. */
    @Test
    void fleetSetupIncludesTheCells() throws Exception {
        RouterApi.Rules rules = NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:0", "127.0.0.1:1"))
                .settingsReader()
                .settings()
                .rules();
        FleetSetup setup =
                OperatorFile.parse("f", VALID_WITH_CELLS).fleet().orElseThrow().setup("r", rules);
        assertEquals("zone-a", setup.cells().orElseThrow().root());
        assertEquals(18_000, setup.size());
        assertTrue(OperatorFile.parse("f", VALID)
                .fleet()
                .orElseThrow()
                .setup("r", rules)
                .cells()
                .isEmpty());
    }

    /** Each row: a text of the section with cells, its replacement, the error's line number, words of the error. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "size: 18000|size: 100001|5|fleet.size: it is missing or out of range: 1 to 100000 routers",
                "size: 18000|size: 0|5|fleet.size",
                "in-flight: 18000|in-flight: 17999|8|whole parts among 18000 routers",
                "root: zone-a, ||12|fleet.cells.root: it is missing",
                "root: zone-a|root: zone.a|12|fleet.cells.root",
                "root: zone-a|root: ''|12|fleet.cells.root",
                "root: zone-a|root: abcdefghijklmnopqrstuvwxy|12|fleet.cells.root",
                "root: zone-a|root: 7|12|wrong type",
                "most: 64|most: 3|12|fleet.cells.most: 3 is out of range: 4 to 512",
                "most: 64|most: 513|12|fleet.cells.most: 513 is out of range",
                "most: 64|most: 6.5|12|a whole number",
                "delegates: 3|delegates: 0|12|fleet.cells.delegates: 0 is out of range: 1 to 5",
                "delegates: 3|delegates: 6|12|fleet.cells.delegates: 6 is out of range",
                "delegates: 3|delegate: 3|12|unknown key; known here: delegates, most, root",
            })
    void errorInCellsNamesItsLineAndKey(String from, String to, int line, String words) {
        assertTrue(VALID_WITH_CELLS.contains(from));
        OperatorException e = assertThrows(
                OperatorException.class,
                () -> OperatorFile.parse("f", VALID_WITH_CELLS.replace(from, to == null ? "" : to)));
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
        assertTrue(
                e.getMessage().startsWith("f:" + line + ":") && e.getMessage().contains(words), e.getMessage());
    }

    @Test
    void flatFleetIsBoundedTo2000Routers() throws Exception {
        String flat = VALID_WITH_CELLS.replace("  cells: {root: zone-a, most: 64, delegates: 3}\n", "");
        assertEquals(
                2_000,
                OperatorFile.parse("f", flat.replace("18000", "2000"))
                        .fleet()
                        .orElseThrow()
                        .size());
        assertEquals(
                "f:5: fleet.size: it is missing or out of range: 1 to 2000 routers, to 100000 with fleet.cells",
                assertThrows(OperatorException.class, () -> OperatorFile.parse("f", flat))
                        .getMessage());
    }

    @Test
    void drainsWithCellsAreRefusedWithALineAndAKey() {
        assertEquals(
                "f:13: fleet.drains: cannot be combined with fleet.cells: drains are not supported with cells yet",
                assertThrows(
                                OperatorException.class,
                                () -> OperatorFile.parse("f", VALID_WITH_CELLS + "  drains: {}\n"))
                        .getMessage());
    }
}
