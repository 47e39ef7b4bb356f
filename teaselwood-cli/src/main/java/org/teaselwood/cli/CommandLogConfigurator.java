package org.teaselwood.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;

/**
 * Logback configuration that writes one JSON object per line to standard error. Logback loads it as a service; its rank
 * is higher than that of the agent's configurator, which is also on the class path.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class CommandLogConfigurator extends ContextAwareBase implements Configurator {
    /** System property for the log level; INFO if it is not set. */
    static final String LEVEL_PROPERTY = "teaselwood.log.level";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.setVersion("1");
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
