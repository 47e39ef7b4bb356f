package org.teaselwood.entry.process;

import io.vertx.core.Vertx;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.MonotonicClock;

/**
 * Takes events of the event loops to the thread that owns the core. Thread-safe.
 *
 * <p>The ring refuses when it is full. A request is then refused to its caller, and a message costs its connection,
 * which the peer opens again with a full report. Events that nothing repeats, such as the reply of a store call or the
 * end of a connection, are offered again until they are taken.
 */
final class EventSink implements AutoCloseable {
    private static final int CAPACITY = 65_536;
    private static final long TICK_MILLISECONDS = 100;
    private static final long RETRY_MILLISECONDS = 20;

    private final Vertx vertx;
    private final ProcessMetrics metrics;
    private final DutyThread<EntryEvent> thread;
    private volatile CoreFactory.Core core = (event, now) -> {};
    private volatile boolean closed;

    EventSink(Vertx vertx, String name, MonotonicClock clock, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.metrics = metrics;
        this.thread = new DutyThread<>(name, CAPACITY, TICK_MILLISECONDS, clock, new DutyThread.EventHandler<>() {
            @Override
            public void handle(EntryEvent event, long nowMilliseconds) {
                core.handle(event, nowMilliseconds);
            }

            @Override
            public void tick(long nowMilliseconds) {
                core.handle(new EntryEvent.Tick(), nowMilliseconds);
            }
        });
        metrics.gauge("ring.depth", thread, DutyThread::queueSize);
    }

    /** Gives events to the core from now on; earlier ones are dropped. */
    void start(CoreFactory.Core target) {
        core = target;
    }

    /** Offers an event; false when the ring is full. */
    boolean offer(EntryEvent event) {
        if (thread.offer(event)) {
            return true;
        }
        metrics.increment("ring.rejections");
        return false;
    }

    /** Offers an event until it is taken or the process ends. */
    void deliver(EntryEvent event) {
        if (!closed && !offer(event)) {
            vertx.setTimer(RETRY_MILLISECONDS, ignored -> deliver(event));
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.close();
    }
}
