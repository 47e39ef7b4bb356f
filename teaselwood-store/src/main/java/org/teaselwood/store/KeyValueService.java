package org.teaselwood.store;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's key-value service. Thread-safe. Every call may fail with STORE_UNAVAILABLE. The outcome of a
 * transaction that fails in this way is unknown: it may have been applied, and the caller must read the keys to find
 * out. A call that fails with STORE_REFUSED had no effect.
 */
public interface KeyValueService extends AutoCloseable {
    /** Returns the value of a key; empty if the key does not exist. */
    Uni<Optional<KeyValue>> get(String key);

    /** Returns all keys that begin with a prefix, with their values, ordered by key. */
    Uni<List<KeyValue>> list(String prefix);

    /** Executes a transaction. */
    Uni<TransactionResult> transact(KeyValueTransaction transaction);

    /** Grants a lease with the given time to live in seconds, and returns its identifier. */
    Uni<Long> grantLease(long seconds);

    /** Renews a lease; also fails with STORE_UNAVAILABLE if the lease has expired. */
    Uni<Void> renewLease(long lease);

    /**
     * Watches the keys that begin with a prefix. The listener is called each time any of them changes, and reads other
     * keys itself if it needs them. A watch is counted as one call.
     *
     * @return handle that ends the watch when it is closed
     */
    AutoCloseable watch(String prefix, WatchListener listener);

    @Override
    void close();

    /** Listener for the events of a watch; called on an event loop. */
    interface WatchListener {
        /**
         * Called when the service has confirmed the watch. Earlier changes may have been missed, so the listener must
         * read the current state.
         */
        void onOpened();

        /** Called when keys were written or deleted; a deleted key has an empty value. */
        void onChanged(List<KeyValue> changes, long revision);

        /** Called when the watch has failed; the caller must open a new one. */
        void onFailure(Throwable cause);
    }
}
