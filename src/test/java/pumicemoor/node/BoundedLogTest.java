package pumicemoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** Log lines about what others did wrong. */
class BoundedLogTest {

    private final List<Object> left = new ArrayList<>();

    /** A logger that notes the number of lines left out that each line tells; 0 for none. */
    private final Logger logger = (Logger) Proxy.newProxyInstance(
            Logger.class.getClassLoader(), new Class<?>[] {Logger.class}, (proxy, method, arguments) -> {
                left.add(arguments[2]);
                return null;
            });

    @Test
    void linesPastTheRateAreLeftOutAndTheirNumberIsTold() {
        BoundedLog log = new BoundedLog(logger, 3);
        for (int i = 0; i < 1_000; i++) {
            log.warn(5_000_000 + i, "no");
        }
        assertEquals(List.of(0L, 0L, 0L), left);
        log.warn(6_000_000, "no");
        log.warn(6_000_001, "no");
        assertEquals(List.of(0L, 0L, 0L, 997L, 0L), left);
    }
}
