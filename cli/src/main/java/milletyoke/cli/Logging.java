package milletyoke.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Configures the log on standard error, as lines of text or of JSON. */
final class Logging {
    private static final String OWN_LOGGERS = "milletyoke";
    private static final String GRIZZLY_LOGGERS = "org.glassfish.grizzly";
    private static final String SIMPLE_LOGGER = "org.slf4j.simpleLogger.";
    private static final String TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg%n";

    /** The format of a log line; the constants are the values of the option {@code --log}. */
    enum Format {
        text,
        json
    }

    /** The least severe level shown; the constants are the values of {@code --log-level}. */
    enum Threshold {
        error,
        warn,
        info,
        debug
    }

    private Logging() {}

    /**
     * Configures slf4j-simple, whose lines start with the milliseconds since the process started.
     * It takes a third of Logback's start-up time, which matters for a restart on a fraction of a
     * core.
     */
    static void configureSimpleLogger() {
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty(SIMPLE_LOGGER + "showDateTime", "true");
        System.setProperty(SIMPLE_LOGGER + "showThreadName", "false");
        System.setProperty(SIMPLE_LOGGER + "showShortLogName", "true");
        System.setProperty(SIMPLE_LOGGER + "defaultLogLevel", "warn");
        String ownLevel = System.getenv().getOrDefault("MILLETYOKE_LOG", "info");
        System.setProperty(SIMPLE_LOGGER + "log." + OWN_LOGGERS, ownLevel);
        limitGrizzlyToSevere();
    }

    /** Configures Logback, for commands that are run through the command line parser. */
    static void configure(Format format, Threshold threshold) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(newAppender(context, format));
        root.setLevel(Level.WARN);
        context.getLogger(OWN_LOGGERS).setLevel(Level.toLevel(threshold.name()));
        limitGrizzlyToSevere();
    }

    private static ConsoleAppender<ILoggingEvent> newAppender(
            LoggerContext context, Format format) {
        Encoder<ILoggingEvent> encoder = newEncoder(format);
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    private static Encoder<ILoggingEvent> newEncoder(Format format) {
        if (format == Format.json) {
            return new LogstashEncoder();
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(TEXT_PATTERN);
        return encoder;
    }

    private static void limitGrizzlyToSevere() {
        java.util.logging.Logger.getLogger(GRIZZLY_LOGGERS)
                .setLevel(java.util.logging.Level.SEVERE);
    }
}
