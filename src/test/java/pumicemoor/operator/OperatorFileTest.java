package pumicemoor.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicemoor.fleet.cells.CellSetup;
import pumicemoor.hierarchy.Hierarchy.UpdateSource;

/** Tests reading and validation of an operator's file, mostly by its section 'hierarchy'. */
class OperatorFileTest {

    private static final String VALID =
            """
            hierarchy:
              news: file
              lead-ms: 4000
              shape:
                version: 3
                announced: 2026-12-01T16:00:00Z
                origin: origin-1
                hubs:
                  hub-a: {fill-from: {origin-1: 1}}
                  hub-b: {fill-from: {hub-a: 2}}
                depots:
                  west: {fill-from: {hub-a: 1, hub-b: 0.5}}
            """;

    @Test
    void absentKeysOfAValidFileGetTheirDefaults() throws Exception {
        HierarchySection section = OperatorFile.parse("f", VALID).hierarchy().orElseThrow();
        assertEquals(UpdateSource.FILE, section.updateSource());
        assertEquals(4_000_000, section.timing().leadMicros());
        assertEquals(60_000_000, section.timing().moveMicros());
        assertEquals(4, section.topology().units().size());
        assertEquals(0.5, section.topology().units().get("west").parents().get("hub-b"));
        assertEquals(1_796_140_800_000_000L, section.topology().announcedMicros());
        assertEquals(OperatorConfig.NONE, OperatorFile.parse("f", ""));
    }

    @Test
    void shippedExampleIsValid() throws Exception {
        assertTrue(OperatorFile.read(Path.of("deploy/operator.example.yaml"))
                .hierarchy()
                .isPresent());
    }

    /**
     * The shipped example has its fleet commented out, with drains and cells, which exclude each other. Uncommented and
     * without drains, its cells must be valid.
     */
    @Test
    void cellsOfTheShippedExampleAreValid() throws Exception {
        String example = Files.readString(Path.of("deploy/operator.example.yaml"));
        String fleet = example.substring(example.indexOf("# fleet:")).replaceAll("(?m)^# ", "");
        String cells = fleet.substring(0, fleet.indexOf("  drains:")) + fleet.substring(fleet.indexOf("  cells:"));
        assertEquals(
                new CellSetup("zone-a", 96, 2),
                OperatorFile.parse("f", cells).fleet().orElseThrow().cellSetup().orElseThrow());
        assertTrue(assertThrows(OperatorException.class, () -> OperatorFile.parse("f", fleet))
                .getMessage()
                .contains("fleet.drains: cannot be combined with fleet.cells"));
    }

    /** Each row: a text of the valid file, its replacement, the line that the error names, words of the error. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "news: file|knews: file|2|unknown key",
                "news: file|news: letter|2|neither file nor feed",
                "lead-ms: 4000|lead-ms: soon|3|a whole number",
                "lead-ms: 4000|lead-ms: -1|3|out of range",
                "lead-ms: 4000|lead-ms: 4.5|3|a whole number",
                "lead-ms: 4000|'lead-ms: 4000\n  lead-ms: 5'|4|",
                "lead-ms: 4000|last-piece: 4|3|news: feed only",
                "version: 3|version: 0|5|under 1",
                "2026-12-01T16:00:00Z|yesterday|6|not a time",
                "{origin-1: 1}|{hub-b: 1}|9|a loop",
                "{origin-1: 1}|{origin-1: 0}|9|weight",
                "{origin-1: 1}|{origin-1: }|9|without a weight",
                "{hub-a: 2}|{hub-x: 2}|10|hub-x",
                "{hub-a: 2}|{west: 2}|10|not above",
                "{hub-a: 2}|{}|10|fills from nobody",
                "hub-a: 1, hub-b: 0.5|origin-1: 1|12|past the hubs",
                "west:|hub-a:|12|another unit",
                "hierarchy:|'log: {format: xml}\nhierarchy:'|1|neither text nor json",
                "hierarchy:|'hierarchy: ['|1|not YAML"
            })
    void errorNamesFileLineAndKeyInOneLine(String from, String to, int line, String words) {
        String text = VALID.replace(from, to);
        OperatorException e = assertThrows(OperatorException.class, () -> OperatorFile.parse("f.yaml", text), text);
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
        assertTrue(
                e.getMessage().startsWith("f.yaml:" + line + ": ") || words != null && words.equals("not YAML"),
                e.getMessage());
        assertTrue(words == null || e.getMessage().contains(words), e.getMessage());
    }

    @Test
    void missingFileIsNamedInTheError() {
        OperatorException e = assertThrows(OperatorException.class, () -> OperatorFile.read(Path.of("nowhere.yaml")));
        assertEquals("nowhere.yaml: there is no such file", e.getMessage());
    }

    @Test
    void previousTopologyMustHaveALowerVersion() {
        String text = VALID + "  before:\n    version: 3\n    origin: origin-1\n    depots:\n"
                + "      west: {fill-from: {origin-1: 1}}\n";
        assertTrue(assertThrows(OperatorException.class, () -> OperatorFile.parse("f", text))
                .getMessage()
                .contains("hierarchy.before.version"));
    }
}
