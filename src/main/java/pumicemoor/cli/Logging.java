package pumicemoor.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;
import pumicemoor.operator.OperatorConfig.LogFormat;

/**
 * Chooses the form of the log before its first line. Plain text loads nothing that the platform does not have;
 * lines for programs are JSON, each with its figures by name. It must be asked before any logger is made.
 */
final class Logging {

    private static final String PROVIDER = "slf4j.provider";

    private Logging() {}

    static void choose(LogFormat format) {
        System.setProperty("slf4j.internal.verbosity", "WARN"); // it tells on standard error what it loads
        if (format == LogFormat.TEXT) {
            System.setProperty(PROVIDER, "org.slf4j.simple.SimpleServiceProvider");
            return;
        }
        System.setProperty(PROVIDER, "ch.qos.logback.classic.spi.LogbackServiceProvider");
        Json.begin();
    }

    /** A class of its own, so that text needs nothing of the other library. */
    private static final class Json {
        static void begin() {
            LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
            context.reset();
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.start();
            ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
            out.setContext(context);
            out.setTarget("System.err");
            out.setEncoder(encoder);
            out.start();
            ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
            root.setLevel(Level.INFO);
            root.addAppender(out);
        }
    }
}
