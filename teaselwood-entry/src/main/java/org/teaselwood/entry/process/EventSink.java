package org.teaselwood.entry.process;

import io.vertx.core.Vertx;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.MonotonicClock;

/**
 * Passes events from the event loops to the thread that owns the core. Thread-safe.
 *
 * <p>The ring buffer rejects events if it is full. A rejected request is refused to its caller. A rejected message
 * closes its connection; the peer reconnects and sends a full report. Events that no peer sends again, such as the
 * reply to a store call or the end of a connection, are offered again until the ring buffer accepts them.
 */
final class EventSink implements AutoCloseable {
    private static final int RING_BUFFER_CAPACITY = 65_536;
    private static final long TICK_INTERVAL_MILLISECONDS = 100;
    private static final long RETRY_DELAY_MILLISECONDS = 20;

    private final Vertx vertx;
    private final ProcessMetrics metrics;
    private final DutyThread<EntryEvent> thread;
    private volatile CoreFactory.Core core = (event, now) -> {};
    private volatile boolean closed;

    EventSink(Vertx vertx, String name, MonotonicClock clock, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.metrics = metrics;
        this.thread = new DutyThread<>(
                name, RING_BUFFER_CAPACITY, TICK_INTERVAL_MILLISECONDS, clock, new DutyThread.EventHandler<>() {
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

    /** Starts to pass events to the core; events that were handled earlier are dropped. */
    void start(CoreFactory.Core target) {
        core = target;
    }

    /** Offers an event; returns false if the ring buffer is full. */
    boolean offer(EntryEvent event) {
        if (thread.offer(event)) {
            return true;
        }
        metrics.increment("ring.rejections");
        return false;
    }

    /** Offers an event repeatedly until the ring buffer accepts it or this sink is closed. */
    void deliver(EntryEvent event) {
        if (!closed && !offer(event)) {
            vertx.setTimer(RETRY_DELAY_MILLISECONDS, ignored -> deliver(event));
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.close();
    }
}
