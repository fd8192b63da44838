package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against wrong roles and figures in a measurement of three real processes. Of the costs, only lower bounds and
 * the subtraction are checked.
 */
class ProcessRunTest {

    @TempDir
    Path folder;

    private final PrintStream progress = new PrintStream(new ByteArrayOutputStream());

    private String run(String yaml) throws Exception {
        return ProcessRun.measureToMarkdown(
                Files.writeString(folder.resolve("run.yaml"), yaml), folder.resolve("out"), progress);
    }

    @Test
    void rolesAreReportedAndTheCostWithoutAFleetIsSubtracted() throws Exception {
        String table =
                run("{name: small, routers: [3], settle: 2, seconds: 2, period-ms: 100, lease-ms: 1000, guard-ms: 100,"
                        + " caches: 1, loss: 0}");
        assertTrue(table.contains("# 3 router processes") && table.contains("| grantor, calm, processes |"), table);
        JsonNode json =
                new ObjectMapper().readTree(folder.resolve("out/small-3.json").toFile());
        Set<String> roles = new TreeSet<>();
        for (JsonNode sample : json.get("samples")) {
            roles.add(sample.get("role").asText());
            JsonNode figures = sample.get("figures");
            boolean grantor = sample.get("role").asText().startsWith("grantor");
            assertEquals(grantor ? 1 : 2, figures.get("routers").asInt());
            assertEquals(3, figures.get("living known").asInt());
            for (String figure : new String[] {
                "bytes out/s", "packets out/s", "bytes in/s", "packets in/s", "bytes out/s by the router's count"
            }) {
                assertTrue(figures.get(figure).asDouble() > 0, figure + " in " + table);
            }
            assertEquals(
                    figures.get("cpu ms/s").asDouble(),
                    figures.get("cpu ms/s, whole process").asDouble()
                            - json.get("without").get("cpu ms/s").asDouble(),
                    1e-9);
            assertTrue(figures.get("heap bytes, whole process").asDouble() > 1e6, table);
            assertTrue(figures.get("resident KiB, whole process").asDouble() > 10_000, table);
        }
        assertEquals(Set.of("grantor, calm, processes", "member, calm, processes"), roles);
    }

    @Test
    void tooManyProcessesAreRejectedBeforeAnyStarts() {
        String message = assertThrows(IOException.class, () -> run("{routers: [3, 201]}"))
                .getMessage();
        assertTrue(
                message.endsWith("run.yaml: routers: 201 is not from 2 to 200, the range for separate processes"),
                message);
        assertTrue(assertThrows(IOException.class, () -> run("{sizes: [3]}"))
                .getMessage()
                .contains("sizes"));
    }
}
