package org.teaselwood.protocol;

import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscUnboundedArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Single thread that processes events from a bounded ring buffer. Any thread may offer an event; only this thread calls
 * the handler, so that the handler's state needs no locks.
 *
 * <p>A full ring buffer rejects the event instead of blocking, because the offering threads are event loops that serve
 * other connections. Events that nobody repeats, such as the outcome of a call, use a queue without a bound, which is
 * read first; the caller limits their number.
 *
 * <p>Invariant: the thread ends only when it is closed. A handler that fails with an exception handles the next event;
 * one that fails with an error discards its state first.
 *
 * @param <E> type of the events
 */
public final class DutyThread<E> implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(DutyThread.class);
    private static final long STOP_TIMEOUT_MILLISECONDS = 5_000;

    private static final int UNBOUNDED_CHUNK_EVENTS = 64;

    private final MpscArrayQueue<E> ringBuffer;
    private final MpscUnboundedArrayQueue<E> unboundedQueue = new MpscUnboundedArrayQueue<>(UNBOUNDED_CHUNK_EVENTS);
    private final EventHandler<E> handler;
    private final MonotonicClock clock;
    private final long tickMilliseconds;
    private final Thread thread;
    private volatile boolean stopped;

    /** Error after which the handler has not discarded its state yet, null if there is none. */
    private Error unhandledError;

    private int failedDiscards;

    /**
     * Handler of events and ticks, called only on the duty thread.
     *
     * @param <E> type of the events
     */
    public interface EventHandler<E> {
        /** Handles one event. */
        void handle(E event, long nowMilliseconds);

        /** Performs periodic work, once per tick interval. */
        void tick(long nowMilliseconds);

        /**
         * Discards the state of the handler after an error such as a stack overflow or a lack of memory, which may have
         * interrupted a change at any point. Called again if it fails.
         */
        default void discardState() {}
    }

    /**
     * Creates and starts a duty thread.
     *
     * @param capacity maximum number of queued events
     * @param tickMilliseconds interval between ticks
     */
    public DutyThread(String name, int capacity, long tickMilliseconds, MonotonicClock clock, EventHandler<E> handler) {
        this.ringBuffer = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.clock = clock;
        this.tickMilliseconds = tickMilliseconds;
        this.thread = Thread.ofPlatform().name(name).daemon(true).start(this::run);
    }

    /** Enqueues an event; returns false if the ring buffer is full or the thread was stopped. */
    public boolean offer(E event) {
        if (stopped || !ringBuffer.offer(event)) {
            return false;
        }
        LockSupport.unpark(thread);
        return true;
    }

    /** Enqueues an event also if the ring buffer is full; it is handled before the events in the ring buffer. */
    public void enqueue(E event) {
        unboundedQueue.offer(event);
        LockSupport.unpark(thread);
    }

    /** Returns the number of queued events. */
    public int queueSize() {
        return unboundedQueue.size() + ringBuffer.size();
    }

    /** Stops the thread after the event that is being handled; queued events are discarded. */
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
            if (unhandledError != null) {
                discardState();
                continue;
            }
            E unbounded = unboundedQueue.poll();
            E event = unbounded != null ? unbounded : ringBuffer.poll();
            if (event != null) {
                runAndLogException(() -> handler.handle(event, clock.nowMilliseconds()));
            }
            long now = clock.nowMilliseconds();
            if (now >= nextTick) {
                runAndLogException(() -> handler.tick(clock.nowMilliseconds()));
                nextTick = now + tickMilliseconds;
            } else if (event == null) {
                LockSupport.parkNanos((nextTick - now) * 1_000_000);
            }
        }
    }

    /** Logs an exception of the handler, so that one failed event does not stop the processing of the next. */
    private void runAndLogException(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            LOGGER.error("event handler failed", exception);
        } catch (Error error) {
            unhandledError = error;
        }
    }

    /**
     * Discards the state before the error is logged, because the log line needs memory too. A failed attempt is only
     * counted: anything that needs memory could fail again and end the thread.
     */
    private void discardState() {
        try {
            handler.discardState();
            LOGGER.error(
                    "event handler failed with an error; {} attempts to discard its state failed before",
                    failedDiscards,
                    unhandledError);
            unhandledError = null;
            failedDiscards = 0;
        } catch (RuntimeException | Error failure) {
            failedDiscards++;
            LockSupport.parkNanos(tickMilliseconds * 1_000_000);
        }
    }
}
