package org.teaselwood.settings;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Logback configuration that writes one JSON object per line to standard output. Logback discovers it through
 * {@link java.util.ServiceLoader}.
 *
 * <p>An equivalent XML configuration file is not used, because its parser adds several megabytes to the agent's
 * resident set.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    /** Capacity of the queue of pending log events; enough for several seconds of peak load at one site. */
    private static final int QUEUE_CAPACITY_EVENTS = 2_048;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("json");
        appender.setTarget("System.out");
        appender.setEncoder(encoder);
        appender.start();
        // Netty logs a warning on machines without a visible hardware address, which this software does not use.
        context.getLogger("io.netty").setLevel(Level.ERROR);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(nonBlocking(context, appender));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Wraps an appender so that a slow reader of the output causes lost log events, not blocked threads. */
    private static AsyncAppender nonBlocking(LoggerContext context, ConsoleAppender<ILoggingEvent> appender) {
        AsyncAppender asyncAppender = new AsyncAppender();
        asyncAppender.setContext(context);
        asyncAppender.setName("ring");
        asyncAppender.setQueueSize(QUEUE_CAPACITY_EVENTS);
        asyncAppender.setDiscardingThreshold(0);
        asyncAppender.setNeverBlock(true);
        asyncAppender.addAppender(appender);
        asyncAppender.start();
        return asyncAppender;
    }
}
