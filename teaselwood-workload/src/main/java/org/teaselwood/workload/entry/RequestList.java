package org.teaselwood.workload.entry;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.teaselwood.store.KeyValue;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Reads the list of all requests when their watch may have missed some. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariants: one list is read at a time, and one that is read since the last opening of the watch is passed on; the
 * result contains no job that was removed while the list was read. The store may have evaluated the list before the
 * removal, and the placer, which no longer knows such a job, would run it again.
 */
final class RequestList {
    private static final long RETRY_DELAY_MILLISECONDS = 200;

    private final Runnable reader;
    private final Set<String> removedMeanwhile = new HashSet<>();
    private boolean required;
    private boolean reading;

    /** Time of the next attempt after a failure, in milliseconds. */
    private long retryAt;

    /**
     * Creates a list that is not required.
     *
     * @param reader starts reading; exactly one of {@link #completed} or {@link #failed} is called afterwards, unless
     *     {@link #reset} is called before
     */
    RequestList(Runnable reader) {
        this.reader = reader;
    }

    /** Forgets a list that is being read or required, because the term has changed. */
    void reset() {
        required = false;
        reading = false;
        retryAt = 0;
        removedMeanwhile.clear();
    }

    /** Requires a list that is read from now on. */
    void require() {
        required = true;
    }

    /** Starts to read the list if it is required and no other is being read. */
    void readIfRequired(long now) {
        if (required && !reading && now >= retryAt) {
            required = false;
            reading = true;
            reader.run();
        }
    }

    /** Records that jobs were removed from the store. */
    void jobsRemoved(Collection<String> jobs) {
        if (reading) {
            removedMeanwhile.addAll(jobs);
        }
    }

    /** Records that the list was read, and returns the requests that are to be passed on. */
    List<KeyValue> completed(List<KeyValue> requests) {
        List<KeyValue> current = requests.stream()
                .filter(item -> !removedMeanwhile.contains(WorkloadKeys.jobOf(item.key())))
                .toList();
        reading = false;
        removedMeanwhile.clear();
        return current;
    }

    /** Records that the list could not be read; it is read again after a delay. */
    void failed(long now) {
        reading = false;
        required = true;
        retryAt = now + RETRY_DELAY_MILLISECONDS;
        removedMeanwhile.clear();
    }
}
