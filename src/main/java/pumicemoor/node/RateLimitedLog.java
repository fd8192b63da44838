package pumicemoor.node;

import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * A logger that writes a limited number of lines a second, so that a peer that sends bad input can neither exhaust the
 * router's CPU nor flood its log. It counts the suppressed lines and reports their number with the next line written.
 * It must never be used for the router's own decisions, nor in place of a counter.
 */
public final class RateLimitedLog {

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Logger log;
    private final int perSecond;
    private long currentSecond;
    private int writtenThisSecond;
    private long suppressed;

    public RateLimitedLog(Logger log, int perSecond) {
        this.log = log;
        this.perSecond = perSecond;
    }

    /** Logs a change at the given time (microseconds), under the same limit; fields become key-value pairs. */
    public void info(long now, String text, Map<String, Object> fields) {
        if (tryAcquire(now)) {
            write(log.atInfo(), text, fields);
        }
    }

    /** Logs a warning at the given time (microseconds), or counts it as suppressed. */
    public void warn(long now, String text) {
        if (tryAcquire(now)) {
            log.warn(format(), text, suppressed);
            suppressed = 0;
        }
    }

    /** Logs a warning with fields, which become key-value pairs so that programs can read them. */
    public void warn(long now, String text, Map<String, Object> fields) {
        if (tryAcquire(now)) {
            write(log.atWarn(), text, fields);
        }
    }

    private boolean tryAcquire(long now) {
        if (now / MICROS_PER_SECOND != currentSecond) {
            currentSecond = now / MICROS_PER_SECOND;
            writtenThisSecond = 0;
        }
        boolean permitted = writtenThisSecond < perSecond;
        writtenThisSecond += permitted ? 1 : 0;
        suppressed += permitted ? 0 : 1;
        return permitted;
    }

    private String format() {
        return suppressed == 0 ? "{}" : "{} ({} lines were suppressed before this one)";
    }

    private void write(LoggingEventBuilder builder, String text, Map<String, Object> fields) {
        LoggingEventBuilder event = builder;
        for (Map.Entry<String, Object> field : new TreeMap<>(fields).entrySet()) {
            event = event.addKeyValue(field.getKey(), field.getValue());
        }
        event.log(format(), text, suppressed);
        suppressed = 0;
    }
}
