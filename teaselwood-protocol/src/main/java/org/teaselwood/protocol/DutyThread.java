package org.teaselwood.protocol;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that owns one core and takes its events from a bounded ring. Any thread may offer; only the duty thread
 * calls the handler.
 *
 * <p>The ring refuses when it is full and never blocks, because the offering threads are event loops that serve other
 * connections.
 *
 * @param <E> type of the events
 */
public final class DutyThread<E> implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(DutyThread.class);
    private static final long STOP_TIMEOUT_MILLISECONDS = 5_000;

    private final MpscArrayQueue<E> ring;
    private final Handler<E> handler;
    private final MonotonicClock clock;
    private final long tickMilliseconds;
    private final Thread thread;
    private volatile boolean stopped;

    /**
     * Handles events on the duty thread.
     *
     * @param <E> type of the events
     */
    public interface Handler<E> {
        /** Handles one event. */
        void handle(E event, long nowMilliseconds);

        /** Called when a tick is due. */
        void tick(long nowMilliseconds);
    }

    /**
     * A duty thread that is started at once.
     *
     * @param capacity most events that wait
     * @param tickMilliseconds time between ticks
     */
    public DutyThread(String name, int capacity, long tickMilliseconds, MonotonicClock clock, Handler<E> handler) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.clock = clock;
        this.tickMilliseconds = tickMilliseconds;
        this.thread = Thread.ofPlatform().name(name).daemon(true).start(this::run);
    }

    /** Adds an event; false when the ring is full or the thread was stopped. */
    public boolean offer(E event) {
        if (stopped || !ring.offer(event)) {
            return false;
        }
        LockSupport.unpark(thread);
        return true;
    }

    /** Events that wait now. */
    public int depth() {
        return ring.size();
    }

    /** Stops after the event being handled; waiting events are dropped. */
    @Override
    public void close() {
        stopped = true;
        LockSupport.unpark(thread);
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join(STOP_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long nextTick = clock.nowMilliseconds() + tickMilliseconds;
        while (!stopped) {
            E event = ring.poll();
            if (event != null) {
                guarded(() -> handler.handle(event, clock.nowMilliseconds()));
            }
            long now = clock.nowMilliseconds();
            if (now >= nextTick) {
                guarded(() -> handler.tick(clock.nowMilliseconds()));
                nextTick = now + tickMilliseconds;
            } else if (event == null) {
                LockSupport.parkNanos((nextTick - now) * 1_000_000);
            }
        }
    }

    /** A fault in one event must not stop the process; it is logged and the next event is handled. */
    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            LOGGER.error("event could not be handled", exception);
        }
    }
}
