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
import pumicemoor.lab.ProxyStandIn.End;
import pumicemoor.lab.Scenario.Proxies;

/** The program called by proxies, reloaded, killed and ended among calls; judged by proxies' and caches' records. */
class ProxiesTest {

    @TempDir
    Path folder;

    @Test
    void noCallHangsOrIsAnsweredTwiceAndNoEffectRunsTwice() throws Exception {
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
        String all = result.markdown();
        assertTrue(result.callsPerMinute() >= 6_000, all);
        assertEquals(0, result.stillOpen(), all);
        assertTrue(result.mostAnswers() <= 1, all);
        assertEquals(1, result.mostRunsOfAnEffect(), all);
        assertTrue(result.ended(End.SERVED) > 300, all);
        assertTrue(result.longestMillis() <= 2_000 + 2_500, all);
    }
}
