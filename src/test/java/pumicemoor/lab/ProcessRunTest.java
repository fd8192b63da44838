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

/** The run of real processes beside hollow routers, at the smallest size; how much anything costs is not judged here. */
class ProcessRunTest {

    @TempDir
    Path folder;

    private final PrintStream progress = new PrintStream(new ByteArrayOutputStream());

    private String run(String yaml) throws Exception {
        return ProcessRun.table(Files.writeString(folder.resolve("run.yaml"), yaml), folder.resolve("out"), progress);
    }

    @Test
    void rolesAreReadAndThePlainProcessTakenOff() throws Exception {
        String table =
                run("{name: small, routers: [3], settle: 2, seconds: 2, period-ms: 100, lease-ms: 1000, guard-ms: 100,"
                        + " caches: 1, loss: 0}");
        assertTrue(table.contains("# 3 router processes") && table.contains("| grantor, calm, processes |"), table);
        JsonNode read =
                new ObjectMapper().readTree(folder.resolve("out/small-3.json").toFile());
        Set<String> roles = new TreeSet<>();
        for (JsonNode sample : read.get("samples")) {
            roles.add(sample.get("role").asText());
            JsonNode f = sample.get("figures");
            boolean grantor = sample.get("role").asText().startsWith("grantor");
            assertEquals(grantor ? 1 : 2, f.get("routers").asInt());
            assertEquals(3, f.get("living known").asInt());
            for (String out : new String[] {
                "bytes out/s", "packets out/s", "bytes in/s", "packets in/s", "bytes out/s by the router's count"
            }) {
                assertTrue(f.get(out).asDouble() > 0, out + " in " + table);
            }
            assertEquals(
                    f.get("cpu ms/s").asDouble(),
                    f.get("cpu ms/s, whole process").asDouble()
                            - read.get("without").get("cpu ms/s").asDouble(),
                    1e-9);
            assertTrue(f.get("heap bytes, whole process").asDouble() > 1e6, table);
            assertTrue(f.get("resident KiB, whole process").asDouble() > 10_000, table);
        }
        assertEquals(Set.of("grantor, calm, processes", "member, calm, processes"), roles);
    }

    @Test
    void moreProcessesThanTheMachineIsLentAreRefusedBeforeAnyStarts() {
        String said = assertThrows(IOException.class, () -> run("{routers: [3, 201]}"))
                .getMessage();
        assertTrue(said.endsWith("run.yaml: routers: 201 is not from 2 to 200, as processes"), said);
        assertTrue(assertThrows(IOException.class, () -> run("{sizes: [3]}"))
                .getMessage()
                .contains("sizes"));
    }
}
