package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** Tests the limit on log lines a second and the count of suppressed lines. */
class RateLimitedLogTest {

    private final List<Object> suppressed = new ArrayList<>();

    /** A logger that records the number of suppressed lines that each line reports; 0 for none. */
    private final Logger logger = (Logger) Proxy.newProxyInstance(
            Logger.class.getClassLoader(), new Class<?>[] {Logger.class}, (proxy, method, arguments) -> {
                suppressed.add(arguments[2]);
                return null;
            });

    @Test
    void linesAboveTheRateAreSuppressedAndCounted() {
        RateLimitedLog log = new RateLimitedLog(logger, 3);
        for (int i = 0; i < 1_000; i++) {
            log.warn(5_000_000 + i, "no");
        }
        assertEquals(List.of(0L, 0L, 0L), suppressed);
        log.warn(6_000_000, "no");
        log.warn(6_000_001, "no");
        assertEquals(List.of(0L, 0L, 0L, 997L, 0L), suppressed);
    }
}
