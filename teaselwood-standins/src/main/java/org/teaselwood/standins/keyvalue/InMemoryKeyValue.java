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
 * The key-value service in memory, for fuzzing in virtual time. Deterministic and confined to one thread.
 *
 * <p>Calls return at once; the caller delays an answer by delivering it later, and delays a call by making it later.
 * Faults throw STORE_UNAVAILABLE: before the call is carried out, or after it when the reply is lost. A watch is told
 * of
 * changes during the call that makes them; it is told nothing while the service is down.
 */
public final class InMemoryKeyValue {
    private final KeyValueState state = new KeyValueState();
    private final CallCounter calls = new CallCounter();
    private KeyValueFaults faults = KeyValueFaults.NONE;

    /** Switches faults; the delay is left to the caller. */
    public void setFaults(KeyValueFaults newFaults) {
        this.faults = newFaults;
    }

    /** The value of a key. */
    public Optional<KeyValue> get(String key, long nowMilliseconds) {
        return call(CallKind.RANGE, nowMilliseconds, () -> state.range(KeyRange.ofKey(key))).stream()
                .findFirst();
    }

    /** All keys that begin with a prefix, ordered. */
    public List<KeyValue> list(String prefix, long nowMilliseconds) {
        return call(CallKind.RANGE, nowMilliseconds, () -> state.range(KeyRange.ofPrefix(prefix)));
    }

    /** Carries out a transaction. */
    public TransactionResult transact(KeyValueTransaction transaction, long nowMilliseconds) {
        return call(CallKind.TRANSACTION, nowMilliseconds, () -> state.transact(transaction));
    }

    /** Grants a lease of the given number of seconds. */
    public long grantLease(long seconds, long nowMilliseconds) {
        return call(CallKind.LEASE_GRANT, nowMilliseconds, () -> state.grantLease(seconds, nowMilliseconds));
    }

    /** Renews a lease; throws STORE_UNAVAILABLE also when it has lapsed. */
    public void renewLease(long lease, long nowMilliseconds) {
        call(CallKind.LEASE_KEEP_ALIVE, nowMilliseconds, () -> state.renewLease(lease, nowMilliseconds))
                .orElseThrow(() -> unavailable("lease " + lease + " has expired"));
    }

    /** Watches the keys that begin with a prefix until the returned handle is run. */
    public Runnable watch(String prefix, KeyValueState.ChangeListener listener) {
        calls.add(CallKind.WATCH);
        return state.watch(KeyRange.ofPrefix(prefix), (changes, revision) -> {
            if (!faults.down()) {
                listener.changed(changes, revision);
            }
        });
    }

    /** Lets leases lapse that nobody renewed. */
    public void advanceTo(long nowMilliseconds) {
        state.expireLeases(nowMilliseconds);
    }

    /** Number of calls so far by kind. */
    public Map<CallKind, Long> callCounts() {
        return calls.counts();
    }

    private <T> T call(CallKind kind, long nowMilliseconds, Supplier<T> operation) {
        calls.add(kind);
        state.expireLeases(nowMilliseconds);
        if (faults.down() || faults.errorAnswers()) {
            throw unavailable(faults.down() ? "down" : "error answer");
        }
        T result = operation.get();
        if (faults.replyLost()) {
            throw unavailable("reply lost");
        }
        return result;
    }

    private static TeaselwoodException unavailable(String detail) {
        return TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, detail);
    }
}
