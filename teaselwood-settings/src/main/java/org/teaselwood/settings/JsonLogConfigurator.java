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
 * Configures Logback: one JSON object a line on standard output. Logback finds it as a service.
 *
 * <p>An XML file would say the same, but its parser costs several megabytes of the agent's resident set.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    /** Lines that wait for the output; some seconds of the busiest minute of a site. */
    private static final int RING_LINES = 2_048;

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
        // Netty warns on machines that hide their hardware address, which nothing here needs.
        context.getLogger("io.netty").setLevel(Level.ERROR);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(withoutBlocking(context, appender));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** A reader of the output that is slow costs log lines, never the time of a thread that decides. */
    private static AsyncAppender withoutBlocking(LoggerContext context, ConsoleAppender<ILoggingEvent> appender) {
        AsyncAppender ring = new AsyncAppender();
        ring.setContext(context);
        ring.setName("ring");
        ring.setQueueSize(RING_LINES);
        ring.setDiscardingThreshold(0);
        ring.setNeverBlock(true);
        ring.addAppender(appender);
        ring.start();
        return ring;
    }
}
