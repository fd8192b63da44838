package pumicemoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicemoor.node.NodeConfig;
import pumicemoor.node.NodeTestConfig;
import pumicemoor.node.ResourceLimits;

/** The warm-up runs synthetic requests through all stages before the router is ready, within its time. */
class WarmUpTest {

    private static final long NOW_MICROS = 1_764_576_000_000_000L;

    private static long run(int requests, long maxMicros, String... updates) throws Exception {
        NodeConfig config = NodeTestConfig.parse(NodeTestConfig.json("127.0.0.1:1", "", updates));
        return new WarmUp(config, ResourceLimits.of(config.settingsReader().settings(), config.resources()), NOW_MICROS)
                .run(requests, maxMicros, () -> {});
    }

    @Test
    void everyRequestIsAnswered() throws Exception {
        assertEquals(
                500,
                run(
                        500,
                        60_000_000,
                        NodeTestConfig.list(
                                1,
                                true,
                                NodeTestConfig.member("s-1", "127.0.0.1:11", "box", "active", 0),
                                NodeTestConfig.member("s-2", "127.0.0.1:12", "box", "active", 0),
                                NodeTestConfig.member("p-1", "127.0.0.1:13", "shield", "active", 0),
                                NodeTestConfig.member("o-1", "127.0.0.1:14", "store", "active", 0))));
    }

    @Test
    void warmUpEndsWithoutMembers() throws Exception {
        assertTrue(run(100, 60_000_000) <= 100);
    }

    @Test
    void warmUpStopsAtItsTimeLimit() throws Exception {
        assertEquals(0, run(100, 0));
    }
}
