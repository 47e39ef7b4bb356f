package org.teaselwood.entry.configuration;

import java.util.Optional;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.configuration.ConfigurationKeys;
import org.teaselwood.store.configuration.ConfigurationSnapshot;

/**
 * Reads the head, and all documents when the head is newer than the configuration in force. At most one read is under
 * way; news that come meanwhile cause one more. Confined to one thread.
 */
final class ConfigurationReader {
    /** Time between reads while a newer revision is known to exist. */
    private static final long BEHIND_MILLISECONDS = 500;

    private final ConfigurationCore core;
    private final PendingStoreCalls calls;
    private final long pollMilliseconds;
    private boolean reading;
    private boolean readAgain;
    private boolean down;
    private long lastStart;

    ConfigurationReader(ConfigurationCore core, PendingStoreCalls calls, long pollMilliseconds) {
        this.core = core;
        this.calls = calls;
        this.pollMilliseconds = pollMilliseconds;
    }

    /** Whether the last read failed. */
    boolean storeIsDown() {
        return down;
    }

    void read(long nowMilliseconds) {
        if (reading) {
            readAgain = true;
            return;
        }
        reading = true;
        lastStart = nowMilliseconds;
        calls.call(new StoreCall.Get(ConfigurationKeys.HEAD), nowMilliseconds, this::headRead);
    }

    void tick(long nowMilliseconds) {
        boolean catchingUp = core.isBehind() && !down;
        long interval = catchingUp ? Math.min(BEHIND_MILLISECONDS, pollMilliseconds) : pollMilliseconds;
        if (!reading && nowMilliseconds - lastStart >= interval) {
            read(nowMilliseconds);
        }
    }

    private void headRead(StoreReply reply, long nowMilliseconds) {
        if (!(reply instanceof StoreReply.Value(Optional<KeyValue> head))) {
            failed();
            return;
        }
        down = false;
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
            core.log("the configuration in the key-value service is not usable: " + exception.getMessage());
        }
        finished(nowMilliseconds);
    }

    /** A head that cannot be decoded counts as new: reading all documents reports the problem. */
    private static long revisionOf(Optional<KeyValue> head) {
        try {
            return head.map(ConfigurationSnapshot::decodeHeadRevision).orElse(0L);
        } catch (TeaselwoodException exception) {
            return Long.MAX_VALUE;
        }
    }

    private void failed() {
        down = true;
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
