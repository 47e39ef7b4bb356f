package org.teaselwood.protocol;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a duty thread that ends, so that its process lives on without doing its work. */
final class DutyThreadTest {
    private static final long TICK_MILLISECONDS = 5;
    private static final long TIMEOUT_MILLISECONDS = 2_000;

    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private volatile Error errorOfDiscard;

    private final DutyThread<Runnable> thread = new DutyThread<>(
            "duty", 16, TICK_MILLISECONDS, MonotonicClock.system(), new DutyThread.EventHandler<Runnable>() {
                @Override
                public void handle(Runnable event, long nowMilliseconds) {
                    event.run();
                }

                @Override
                public void tick(long nowMilliseconds) {}

                @Override
                public void discardState() {
                    Error error = errorOfDiscard;
                    errorOfDiscard = null;
                    if (error != null) {
                        throw error;
                    }
                    calls.add("discarded");
                }
            });

    @AfterEach
    void close() {
        thread.close();
    }

    @Test
    void an_error_discards_the_state_before_the_next_event_is_handled() throws Exception {
        thread.offer(() -> {
            throw new StackOverflowError("test");
        });
        thread.offer(() -> calls.add("handled"));
        assertThat(nextCall()).isEqualTo("discarded");
        assertThat(nextCall()).isEqualTo("handled");
    }

    /** The virtual machine may throw the same object each time, because it has no memory for another. */
    @Test
    void an_error_while_the_state_is_discarded_does_not_end_the_thread() throws Exception {
        OutOfMemoryError error = new OutOfMemoryError("test");
        errorOfDiscard = error;
        thread.offer(() -> {
            throw error;
        });
        thread.offer(() -> calls.add("handled"));
        assertThat(nextCall()).isEqualTo("discarded");
        assertThat(nextCall()).isEqualTo("handled");
    }

    @Test
    void an_exception_keeps_the_state() throws Exception {
        thread.offer(() -> {
            throw new IllegalStateException("test");
        });
        thread.offer(() -> calls.add("handled"));
        assertThat(nextCall()).isEqualTo("handled");
    }

    private String nextCall() throws InterruptedException {
        return calls.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
}
