package org.teaselwood.standins.keyvalue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/**
 * Keys, leases and watches with etcd's semantics. Deterministic and confined to one thread; the caller passes the time.
 *
 * <p>Every transaction that writes increments the revision by one, and so does the deletion of the keys of one expired
 * lease. Leases expire only in {@link #expireLeases}, which the owners of this class call before every operation.
 */
public final class KeyValueState {
    private static final byte[] NO_VALUE = {};
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    private final NavigableMap<String, StoredPair> entries = new TreeMap<>();
    private final NavigableMap<Long, Lease> leases = new TreeMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long revision = 1;
    private long nextLease = 1;

    private record StoredPair(KeyValue pair, long lease) {}

    private record Lease(long seconds, long expiry) {}

    /** Listener for changes of the watched keys; deleted keys have an empty value. */
    @FunctionalInterface
    public interface ChangeListener {
        /** Handles the changes of one revision. */
        void changed(List<KeyValue> changes, long revision);
    }

    /** A registered watch. Not a record, because two equal watches must remain distinct in the set. */
    private static final class Watch {
        private final KeyRange range;
        private final ChangeListener listener;

        Watch(KeyRange range, ChangeListener listener) {
            this.range = range;
            this.listener = listener;
        }
    }

    /** Returns the revision of the last write; a service without writes has revision 1. */
    public long revision() {
        return revision;
    }

    /** Returns the pairs of a range in key order. */
    public List<KeyValue> range(KeyRange range) {
        SortedMap<String, StoredPair> tail = entries.tailMap(range.from());
        return tail.values().stream()
                .map(StoredPair::pair)
                .takeWhile(pair -> range.contains(pair.key()))
                .toList();
    }

    /** Executes a transaction; its conditions are evaluated before any of its operations. */
    public TransactionResult transact(KeyValueTransaction transaction) {
        if (!transaction.conditions().stream().allMatch(this::isSatisfied)) {
            return new TransactionResult(false, revision);
        }
        List<KeyValue> changes = new ArrayList<>();
        transaction.operations().forEach(operation -> apply(operation, revision + 1, changes));
        commit(changes);
        return new TransactionResult(true, revision);
    }

    /** Grants a lease and returns its identifier. */
    public long grantLease(long seconds, long nowMilliseconds) {
        long lease = nextLease++;
        leases.put(lease, new Lease(seconds, nowMilliseconds + seconds * MILLISECONDS_PER_SECOND));
        return lease;
    }

    /** Renews a lease and returns its time to live in seconds, or empty if it has expired. */
    public Optional<Long> renewLease(long identifier, long nowMilliseconds) {
        Lease lease = leases.get(identifier);
        if (lease == null) {
            return Optional.empty();
        }
        long expiry = nowMilliseconds + lease.seconds() * MILLISECONDS_PER_SECOND;
        leases.put(identifier, new Lease(lease.seconds(), expiry));
        return Optional.of(lease.seconds());
    }

    /** Removes expired leases and deletes their keys. */
    public void expireLeases(long nowMilliseconds) {
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().expiry() <= nowMilliseconds)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::expireLease);
    }

    /** Registers a watch and returns a {@code Runnable} that removes it. */
    public Runnable watch(KeyRange range, ChangeListener listener) {
        Watch watch = new Watch(range, listener);
        watches.add(watch);
        return () -> watches.remove(watch);
    }

    private void expireLease(long identifier) {
        leases.remove(identifier);
        List<String> keys = entries.values().stream()
                .filter(stored -> stored.lease() == identifier)
                .map(stored -> stored.pair().key())
                .toList();
        List<KeyValue> changes = new ArrayList<>();
        keys.forEach(key -> apply(new KeyValueOperation.Delete(key), revision + 1, changes));
        commit(changes);
    }

    private boolean isSatisfied(KeyValueCondition condition) {
        StoredPair stored = entries.get(condition.key());
        return condition.revision() == (stored == null ? 0 : stored.pair().revision());
    }

    private void apply(KeyValueOperation operation, long nextRevision, List<KeyValue> changes) {
        switch (operation) {
            case KeyValueOperation.Put put -> {
                KeyValue pair = new KeyValue(put.key(), put.value(), nextRevision);
                entries.put(put.key(), new StoredPair(pair, put.lease()));
                changes.add(pair);
            }
            case KeyValueOperation.Delete delete -> {
                if (entries.remove(delete.key()) != null) {
                    changes.add(new KeyValue(delete.key(), NO_VALUE, nextRevision));
                }
            }
        }
    }

    private void commit(List<KeyValue> changes) {
        if (changes.isEmpty()) {
            return;
        }
        revision++;
        for (Watch watch : List.copyOf(watches)) {
            List<KeyValue> matching = changes.stream()
                    .filter(change -> watch.range.contains(change.key()))
                    .toList();
            if (!matching.isEmpty()) {
                watch.listener.changed(matching, revision);
            }
        }
    }
}
