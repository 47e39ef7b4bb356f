package org.teaselwood.entry.process;

import io.vertx.core.Vertx;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;

/**
 * Watch of an entry on the configuration keys; it is the only watch of an entry. A broken watch is opened again after
 * 2 s. Whenever the watch is opened or reports a change, the core is notified and reads the configuration head, so that
 * changes made during an outage are found. Thread-safe.
 */
final class ConfigurationWatch implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationWatch.class);
    private static final String PREFIX = "/teaselwood/configuration/";
    private static final long REOPEN_DELAY_MILLISECONDS = 2_000;

    private final Vertx vertx;
    private final KeyValueService service;
    private final EventSink sink;
    private final ProcessMetrics metrics;
    private AutoCloseable watch;
    private boolean closed;
    /** Whether a warning was logged for the current outage; further failures are logged at debug level. */
    private volatile boolean outageLogged;
    /** Incremented whenever the watch is opened or breaks, so that late failures of an earlier watch are ignored. */
    private long generation;

    ConfigurationWatch(Vertx vertx, KeyValueService service, EventSink sink, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.service = service;
        this.sink = sink;
        this.metrics = metrics;
    }

    /** Opens the watch unless this object is closed. */
    synchronized void open() {
        if (closed) {
            return;
        }
        generation++;
        long watchGeneration = generation;
        metrics.recordStoreCall("Watch", true);
        watch = service.watch(PREFIX, new KeyValueService.WatchListener() {
            @Override
            public void onOpened() {
                outageLogged = false;
                notifyCore();
            }

            @Override
            public void onChanged(List<KeyValue> changes, long revision) {
                notifyCore();
            }

            @Override
            public void onFailure(Throwable cause) {
                reopenLater(watchGeneration, cause);
            }
        });
    }

    @Override
    public synchronized void close() {
        closed = true;
        closeWatch();
    }

    private synchronized void reopenLater(long watchGeneration, Throwable cause) {
        if (closed || watchGeneration != generation) {
            return;
        }
        LOGGER.atLevel(outageLogged ? Level.DEBUG : Level.WARN)
                .log("the configuration watch failed; reopening it: {}", String.valueOf(cause));
        outageLogged = true;
        generation++;
        closeWatch();
        vertx.setTimer(REOPEN_DELAY_MILLISECONDS, ignored -> open());
    }

    private void notifyCore() {
        sink.deliver(new EntryEvent.ConfigurationMayHaveChanged());
    }

    private void closeWatch() {
        if (watch == null) {
            return;
        }
        try {
            watch.close();
        } catch (Exception exception) {
            LOGGER.debug("closing the configuration watch failed", exception);
        }
        watch = null;
    }
}
