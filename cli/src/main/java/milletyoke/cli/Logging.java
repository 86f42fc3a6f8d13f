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

/** How the program tells of itself on standard error: lines of text, or of JSON. */
final class Logging {
    enum Form {
        text,
        json
    }

    enum Depth {
        error,
        warn,
        info,
        debug
    }

    private Logging() {}

    /**
     * Lines of text by the plainest library there is, each behind its milliseconds since the start.
     * Guards the seconds after a restart on part of a core: the other library takes a third of the
     * time to start.
     */
    static void beginPlain() {
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "warn");
        String least = System.getenv().getOrDefault("MILLETYOKE_LOG", "info");
        System.setProperty("org.slf4j.simpleLogger.log.milletyoke", least);
        java.util.logging.Logger.getLogger("org.glassfish.grizzly")
                .setLevel(java.util.logging.Level.SEVERE);
    }

    static void begin(Form form, Depth depth) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder;
        if (form == Form.json) {
            encoder = new LogstashEncoder();
        } else {
            PatternLayoutEncoder pattern = new PatternLayoutEncoder();
            pattern.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg%n");
            encoder = pattern;
        }
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
        out.setContext(context);
        out.setTarget("System.err");
        out.setEncoder(encoder);
        out.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(out);
        root.setLevel(Level.WARN);
        context.getLogger("milletyoke").setLevel(Level.toLevel(depth.name()));
        java.util.logging.Logger.getLogger("org.glassfish.grizzly")
                .setLevel(java.util.logging.Level.SEVERE);
    }
}
