package pumicemoor.node;

import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Log lines about what others did wrong, so many a second at most: whoever sends bad input must not be able
 * to buy the router's CPU or its log with it. It owns the count of the lines left out, which is told with the
 * next one written; it must never be used for what the router itself decides, nor in place of a counter.
 */
public final class BoundedLog {

    private static final long SECOND = 1_000_000;

    private final Logger log;
    private final int perSecond;
    private long second;
    private int written;
    private long leftOut;

    public BoundedLog(Logger log, int perSecond) {
        this.log = log;
        this.perSecond = perSecond;
    }

    /** A line about what has changed here, not about what others did wrong; under the same bound. */
    public void info(long now, String text, Map<String, Object> figures) {
        if (room(now)) {
            tell(log.atInfo(), text, figures);
        }
    }

    /** Writes a line at this time (microseconds), or counts it as left out. */
    public void warn(long now, String text) {
        if (room(now)) {
            log.warn(form(), text, leftOut);
            leftOut = 0;
        }
    }

    /** The same with figures by name, which a log of lines for programs keeps apart. */
    public void warn(long now, String text, Map<String, Object> figures) {
        if (room(now)) {
            tell(log.atWarn(), text, figures);
        }
    }

    private boolean room(long now) {
        if (now / SECOND != second) {
            second = now / SECOND;
            written = 0;
        }
        boolean room = written < perSecond;
        written += room ? 1 : 0;
        leftOut += room ? 0 : 1;
        return room;
    }

    private String form() {
        return leftOut == 0 ? "{}" : "{} ({} such lines were left out before)";
    }

    private void tell(LoggingEventBuilder builder, String text, Map<String, Object> figures) {
        LoggingEventBuilder line = builder;
        for (Map.Entry<String, Object> figure : new TreeMap<>(figures).entrySet()) {
            line = line.addKeyValue(figure.getKey(), figure.getValue());
        }
        line.log(form(), text, leftOut);
        leftOut = 0;
    }
}
