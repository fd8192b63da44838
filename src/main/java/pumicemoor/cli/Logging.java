package pumicemoor.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;
import pumicemoor.operator.OperatorConfig.LogFormat;

/**
 * Selects the logging backend: plain text with slf4j-simple, or JSON lines with Logback. Plain text must not load any
 * library that the platform does not have. {@link #configure} must be called before the first logger is created.
 */
final class Logging {

    private static final String PROVIDER = "slf4j.provider";

    private Logging() {}

    static void configure(LogFormat format) {
        // At lower levels SLF4J reports on standard error which provider it loads.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        if (format == LogFormat.TEXT) {
            System.setProperty(PROVIDER, "org.slf4j.simple.SimpleServiceProvider");
            return;
        }
        System.setProperty(PROVIDER, "ch.qos.logback.classic.spi.LogbackServiceProvider");
        JsonLogging.configure();
    }

    /** A separate class, so that text logging does not load the classes of Logback. */
    private static final class JsonLogging {
        static void configure() {
            LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
            context.reset();
            JsonEncoder encoder = new JsonEncoder();
            encoder.setContext(context);
            encoder.start();
            ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
            appender.setContext(context);
            appender.setTarget("System.err");
            appender.setEncoder(encoder);
            appender.start();
            ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
            root.setLevel(Level.INFO);
            root.addAppender(appender);
        }
    }
}
