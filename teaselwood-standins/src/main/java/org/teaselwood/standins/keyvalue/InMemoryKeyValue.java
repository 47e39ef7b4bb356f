package org.teaselwood.standins.keyvalue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;
import org.teaselwood.store.etcd.CallCounter;
import org.teaselwood.store.etcd.CallKind;

/**
 * In-memory key-value service for fuzzing in virtual time. Deterministic and confined to one thread.
 *
 * <p>Calls return immediately; the caller simulates latency by making a call later or by delivering its result later.
 * Faults throw STORE_UNAVAILABLE, either before the call is executed or, if the response is lost, after it. Watches are
 * notified during the call that makes the change, and are not notified while the service is down.
 */
public final class InMemoryKeyValue {
    private final KeyValueState state = new KeyValueState();
    private final CallCounter calls = new CallCounter();
    private KeyValueFaults faults = KeyValueFaults.NONE;

    /** Replaces the active faults. The delay is ignored; the caller simulates it. */
    public void setFaults(KeyValueFaults newFaults) {
        this.faults = newFaults;
    }

    /** Returns the value of a key, if it exists. */
    public Optional<KeyValue> get(String key, long nowMilliseconds) {
        return call(CallKind.RANGE, nowMilliseconds, () -> state.range(KeyRange.ofKey(key))).stream()
                .findFirst();
    }

    /** Returns all pairs whose keys begin with a prefix, in key order. */
    public List<KeyValue> list(String prefix, long nowMilliseconds) {
        return call(CallKind.RANGE, nowMilliseconds, () -> state.range(KeyRange.ofPrefix(prefix)));
    }

    /** Executes a transaction. */
    public TransactionResult transact(KeyValueTransaction transaction, long nowMilliseconds) {
        return call(CallKind.TRANSACTION, nowMilliseconds, () -> state.transact(transaction));
    }

    /** Grants a lease with the given time to live in seconds and returns its identifier. */
    public long grantLease(long seconds, long nowMilliseconds) {
        return call(CallKind.LEASE_GRANT, nowMilliseconds, () -> state.grantLease(seconds, nowMilliseconds));
    }

    /** Renews a lease; also throws STORE_UNAVAILABLE if it has expired. */
    public void renewLease(long lease, long nowMilliseconds) {
        call(CallKind.LEASE_KEEP_ALIVE, nowMilliseconds, () -> state.renewLease(lease, nowMilliseconds))
                .orElseThrow(() -> unavailable("lease " + lease + " has expired"));
    }

    /** Watches the keys that begin with a prefix until the returned {@code Runnable} is run. */
    public Runnable watch(String prefix, KeyValueState.ChangeListener listener) {
        calls.add(CallKind.WATCH);
        return state.watch(KeyRange.ofPrefix(prefix), (changes, revision) -> {
            if (!faults.down()) {
                listener.changed(changes, revision);
            }
        });
    }

    /** Expires the leases that were not renewed in time. */
    public void advanceTo(long nowMilliseconds) {
        state.expireLeases(nowMilliseconds);
    }

    /** Returns the number of calls so far by kind. */
    public Map<CallKind, Long> callCounts() {
        return calls.counts();
    }

    private <T> T call(CallKind kind, long nowMilliseconds, Supplier<T> operation) {
        calls.add(kind);
        state.expireLeases(nowMilliseconds);
        if (faults.down() || faults.errorResponses()) {
            throw unavailable(faults.down() ? "down" : "error response");
        }
        T result = operation.get();
        if (faults.responseLost()) {
            throw unavailable("response lost");
        }
        return result;
    }

    private static TeaselwoodException unavailable(String detail) {
        return TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, detail);
    }
}
