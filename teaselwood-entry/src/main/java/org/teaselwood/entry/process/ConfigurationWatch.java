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
 * The one watch of an entry, on the configuration. While it is broken, the core is told every 2 s to read the head,
 * and the watch is opened again. Thread-safe.
 */
final class ConfigurationWatch implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationWatch.class);
    private static final String PREFIX = "/teaselwood/configuration/";
    private static final long REOPEN_MILLISECONDS = 2_000;

    private final Vertx vertx;
    private final KeyValueService service;
    private final EventSink sink;
    private final ProcessMetrics metrics;
    private AutoCloseable watch;
    private boolean closed;
    /** Whether the present outage was logged; one is enough. */
    private volatile boolean reported;
    /** Rises with every opening, so that a late report of an earlier watch is not taken for the present one. */
    private long generation;

    ConfigurationWatch(Vertx vertx, KeyValueService service, EventSink sink, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.service = service;
        this.sink = sink;
        this.metrics = metrics;
    }

    /** Opens the watch. */
    synchronized void open() {
        if (closed) {
            return;
        }
        generation++;
        long opened = generation;
        metrics.recordStoreCall("Watch", true);
        watch = service.watch(PREFIX, new KeyValueService.WatchListener() {
            @Override
            public void onOpened() {
                reported = false;
                tellCore();
            }

            @Override
            public void onChanged(List<KeyValue> changes, long revision) {
                tellCore();
            }

            @Override
            public void onFailure(Throwable cause) {
                brokenWatch(opened, cause);
            }
        });
    }

    @Override
    public synchronized void close() {
        closed = true;
        closeWatch();
    }

    private synchronized void brokenWatch(long opened, Throwable cause) {
        if (closed || opened != generation) {
            return;
        }
        LOGGER.atLevel(reported ? Level.DEBUG : Level.WARN)
                .log("the configuration watch is broken: {}", String.valueOf(cause));
        reported = true;
        generation++;
        closeWatch();
        vertx.setTimer(REOPEN_MILLISECONDS, ignored -> open());
    }

    private void tellCore() {
        sink.deliver(new EntryEvent.ConfigurationMayHaveChanged());
    }

    private void closeWatch() {
        if (watch == null) {
            return;
        }
        try {
            watch.close();
        } catch (Exception exception) {
            LOGGER.debug("the watch could not be closed", exception);
        }
        watch = null;
    }
}
