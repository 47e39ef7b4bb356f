package org.teaselwood.entry.process;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.teaselwood.entry.core.EntryEffects;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.Message;

/** Performs the effects of the core. Called only on the thread of the core; no method blocks. */
final class ProcessEffects implements EntryEffects {
    private static final Logger LOGGER = LoggerFactory.getLogger("org.teaselwood.entry.core");

    private final EntryLinks links;
    private final RequestGateway gateway;
    private final StoreCaller store;
    private final ProcessMetrics metrics;
    private final Runnable onDrained;

    ProcessEffects(
            EntryLinks links, RequestGateway gateway, StoreCaller store, ProcessMetrics metrics, Runnable onDrained) {
        this.links = links;
        this.gateway = gateway;
        this.store = store;
        this.metrics = metrics;
        this.onDrained = onDrained;
    }

    @Override
    public void send(long link, Message message) {
        links.send(link, message);
    }

    @Override
    public void closeConnection(long link) {
        links.close(link);
    }

    @Override
    public void connect(EntryAddress address) {
        links.connect(address);
    }

    @Override
    public void callStore(long token, StoreCall call) {
        store.call(token, call);
    }

    @Override
    public void reply(long token, FrontReply reply) {
        gateway.reply(token, reply);
    }

    @Override
    public void readinessChanged(boolean ready, String reason) {
        gateway.readinessChanged(ready, reason);
    }

    @Override
    public void drained() {
        onDrained.run();
    }

    @Override
    public void recordDuration(String metric, String team, long milliseconds) {
        metrics.recordDuration(metric, team, milliseconds);
    }

    @Override
    public void log(String message, String job, String team) {
        LoggingEventBuilder event = LOGGER.atInfo();
        if (!job.isEmpty()) {
            event = event.addKeyValue("job", job);
        }
        if (!team.isEmpty()) {
            event = event.addKeyValue("team", team);
        }
        event.log(message);
    }
}
