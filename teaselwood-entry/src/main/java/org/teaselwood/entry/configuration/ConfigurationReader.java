package org.teaselwood.entry.configuration;

import java.util.Optional;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.configuration.ConfigurationKeys;
import org.teaselwood.store.configuration.ConfigurationSnapshot;

/**
 * Reads the head, and all documents if the head is newer than the configuration in force. At most one read is in
 * progress; changes reported in the meantime cause one more. Confined to one thread.
 */
final class ConfigurationReader {
    /** Interval of reads while a newer revision is known to exist. */
    private static final long CATCH_UP_INTERVAL_MILLISECONDS = 500;

    private final ConfigurationCore core;
    private final PendingStoreCalls calls;
    private final long pollMilliseconds;
    private boolean reading;
    private boolean readAgain;
    private boolean storeUnavailable;
    private long lastReadStart;

    ConfigurationReader(ConfigurationCore core, PendingStoreCalls calls, long pollMilliseconds) {
        this.core = core;
        this.calls = calls;
        this.pollMilliseconds = pollMilliseconds;
    }

    /** Returns whether the last read failed. */
    boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    void read(long nowMilliseconds) {
        if (reading) {
            readAgain = true;
            return;
        }
        reading = true;
        lastReadStart = nowMilliseconds;
        calls.call(new StoreCall.Get(ConfigurationKeys.HEAD), nowMilliseconds, this::headRead);
    }

    void tick(long nowMilliseconds) {
        boolean catchingUp = core.isBehind() && !storeUnavailable;
        long interval = catchingUp ? Math.min(CATCH_UP_INTERVAL_MILLISECONDS, pollMilliseconds) : pollMilliseconds;
        if (!reading && nowMilliseconds - lastReadStart >= interval) {
            read(nowMilliseconds);
        }
    }

    private void headRead(StoreReply reply, long nowMilliseconds) {
        if (!(reply instanceof StoreReply.Value(Optional<KeyValue> head))) {
            failed();
            return;
        }
        storeUnavailable = false;
        if (core.isComplete() && revisionOf(head) <= core.current().revision()) {
            finished(nowMilliseconds);
            return;
        }
        calls.call(new StoreCall.ListPrefix(ConfigurationKeys.PREFIX), nowMilliseconds, this::documentsRead);
    }

    private void documentsRead(StoreReply reply, long nowMilliseconds) {
        if (!(reply instanceof StoreReply.Values values)) {
            failed();
            return;
        }
        try {
            core.apply(ConfigurationSnapshot.decode(values.values()));
        } catch (TeaselwoodException exception) {
            core.log("the configuration in the key-value service is invalid: " + exception.getMessage());
        }
        finished(nowMilliseconds);
    }

    /**
     * Returns the revision of the head. A head that cannot be decoded counts as newer, because reading all documents
     * then reports the error.
     */
    private static long revisionOf(Optional<KeyValue> head) {
        try {
            return head.map(ConfigurationSnapshot::decodeHeadRevision).orElse(0L);
        } catch (TeaselwoodException exception) {
            return Long.MAX_VALUE;
        }
    }

    private void failed() {
        storeUnavailable = true;
        reading = false;
        readAgain = false;
    }

    private void finished(long nowMilliseconds) {
        reading = false;
        if (readAgain) {
            readAgain = false;
            read(nowMilliseconds);
        }
    }
}
