package pumicemoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicemoor.lab.ProxyStandIn.CallOutcome;
import pumicemoor.lab.Scenario.Proxies;

/**
 * Guards against calls that hang, are answered twice, or run a side effect twice when the program is reloaded, killed
 * or terminated during calls of proxies. Checked by the records of the proxies and the caches.
 */
class ProxiesTest {

    @TempDir
    Path folder;

    @Test
    void noCallHangsOrIsAnsweredTwiceAndNoSideEffectRunsTwice() throws Exception {
        Scenario scenario = new Scenario(
                "proxies",
                3,
                14,
                120,
                300,
                1,
                2,
                50,
                5,
                2_000,
                null,
                Map.of(),
                Map.of(),
                List.of(),
                new Proxies(2, 0.25, 250, 5, List.of(3.0), List.of(9.0), List.of(1.0)),
                null);
        ProxyRun.Result result = ProxyRun.play(scenario, folder, new PrintStream(OutputStream.nullOutputStream()));
        String table = result.markdown();
        assertTrue(result.callsPerMinute() >= 6_000, table);
        assertEquals(0, result.openAtEnd(), table);
        assertTrue(result.maxAnswersPerCall() <= 1, table);
        assertEquals(1, result.maxRunsOfOneEffect(), table);
        assertTrue(result.count(CallOutcome.SERVED) > 300, table);
        assertTrue(result.longestMillis() <= 2_000 + 2_500, table);
    }
}
