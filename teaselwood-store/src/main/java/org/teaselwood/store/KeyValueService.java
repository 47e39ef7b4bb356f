package org.teaselwood.store;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service. Thread-safe. Every call may fail with STORE_UNAVAILABLE; a transaction that fails
 * so may have taken effect all the same and must be read back. A call that fails with STORE_REFUSED did nothing.
 */
public interface KeyValueService extends AutoCloseable {
    /** The value of a key. */
    Uni<Optional<KeyValue>> get(String key);

    /** All keys that begin with a prefix, ordered by key. */
    Uni<List<KeyValue>> list(String prefix);

    /** Carries out a transaction. */
    Uni<TransactionResult> transact(KeyValueTransaction transaction);

    /** Grants a lease of the given number of seconds. */
    Uni<Long> grantLease(long seconds);

    /** Renews a lease; fails with STORE_UNAVAILABLE also when it has lapsed. */
    Uni<Void> renewLease(long lease);

    /**
     * Watches the keys that begin with a prefix. The listener is told each time any of them changed; it reads what it
     * needs. The watch counts as one call.
     *
     * @return ends the watch when closed
     */
    AutoCloseable watch(String prefix, WatchListener listener);

    @Override
    void close();

    /** Told about a watch, on an event loop. */
    interface WatchListener {
        /** The service has confirmed the watch; changes before this may have been missed and have to be read. */
        void opened();

        /** Keys were written or deleted. Deleted ones have an empty value. */
        void changed(List<KeyValue> changes, long revision);

        /** The watch is broken; it has to be opened again. */
        void broken(Throwable cause);
    }
}
