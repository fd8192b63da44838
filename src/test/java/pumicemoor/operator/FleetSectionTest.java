package pumicemoor.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicemoor.RouterApi.Measure;
import pumicemoor.fleet.FleetSetup.Scope;

class FleetSectionTest {

    private static final String GOOD = """
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
    void aGoodSectionIsReadWithItsDefaults() throws Exception {
        FleetSection f = OperatorFile.parse("f", GOOD).fleet().orElseThrow();
        assertEquals("127.0.0.1:7946", f.advertise());
        assertEquals(200_000, f.period());
        assertEquals(5_000_000, f.times().lease());
        assertEquals(Scope.EACH_CACHE, f.limits().get(0).scope());
        assertEquals(Scope.MEMBER, f.limits().get(1).scope());
        assertEquals(Measure.IN_FLIGHT, f.limits().get(1).measure());
        assertEquals(5_000_000, f.verdicts().orElseThrow().hold());
        assertEquals(4_000_000, f.drains().orElseThrow().drain());
        assertEquals(60_000_000, f.drains().orElseThrow().gone());
        assertTrue(OperatorFile.parse("f", GOOD.replace("  drains: {drain-ms: 4000}\n", "")).fleet().orElseThrow().drains().isEmpty());
        assertTrue(OperatorFile.parse("f", "").fleet().isEmpty());
    }

    /** What is changed in the good section, and the line and words of the error. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "cluster: west|cluster: 'w st'|2|fleet.cluster",
        "listen: 127.0.0.1:7946|listen: nowhere|3|fleet.listen: 'nowhere' is no address",
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
        "drain-ms: 4000|gone-ms: 9000|12|fleet.drains.gone-ms: it is under lease-ms",
        "drain-ms: 4000|gone-ms: 700000|12|fleet.drains.gone-ms: it is over remember-ms",
        "drain-ms: 4000|drain: 4000|12|unknown key",
    })
    void anErrorNamesItsLineAndKey(String from, String to, int line, String words) {
        assertTrue(GOOD.contains(from));
        OperatorException e = assertThrows(OperatorException.class, () -> OperatorFile.parse("f", GOOD.replace(from, to)));
        assertTrue(e.getMessage().startsWith("f:" + line + ":") && e.getMessage().contains(words), e.getMessage());
    }
}
