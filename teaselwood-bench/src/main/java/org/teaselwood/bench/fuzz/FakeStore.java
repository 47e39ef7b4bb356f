package org.teaselwood.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/**
 * A key-value service in virtual time with injected faults: unavailable, slow, or with replies that are lost after the
 * write has taken effect. Confined to one thread.
 */
final class FakeStore {
    private static final long CALL_TIMEOUT_MILLISECONDS = 1_000;

    private final VirtualTime time;
    private final TreeMap<String, KeyValue> values = new TreeMap<>();
    private final List<Runnable> configurationWatchers = new ArrayList<>();
    private final Set<String> unreachableRegions = new TreeSet<>();
    private Mode mode = Mode.UP;
    private long revision;
    private long calls;

    /** Ways in which the service handles a call. */
    enum Mode {
        UP,
        DOWN,
        /** Executes the call after 1.5 s, when the caller has already timed out. */
        SLOW,
        /** Executes the call, but loses its reply. */
        LOSES_REPLIES
    }

    FakeStore(VirtualTime time) {
        this.time = time;
    }

    void setMode(Mode next) {
        mode = next;
    }

    Mode mode() {
        return mode;
    }

    long calls() {
        return calls;
    }

    void watchConfiguration(Runnable watcher) {
        configurationWatchers.add(watcher);
    }

    /** Disconnects a region from the service, or reconnects it. */
    void setUnreachable(String region, boolean unreachable) {
        if (unreachable) {
            unreachableRegions.add(region);
        } else {
            unreachableRegions.remove(region);
        }
    }

    void call(String region, StoreCall call, Consumer<StoreReply> reply) {
        calls++;
        if (unreachableRegions.contains(region)) {
            time.schedule(2, () -> reply.accept(new StoreReply.Unavailable("connection refused")));
            return;
        }
        Runnable timeout = () -> reply.accept(new StoreReply.Unavailable("timeout"));
        switch (mode) {
            case UP ->
                time.schedule(1, () -> {
                    StoreReply result = execute(call);
                    time.schedule(1, () -> reply.accept(result));
                });
            case DOWN -> time.schedule(2, () -> reply.accept(new StoreReply.Unavailable("connection refused")));
            case SLOW -> {
                time.schedule(CALL_TIMEOUT_MILLISECONDS, timeout);
                time.schedule(CALL_TIMEOUT_MILLISECONDS + 500, () -> execute(call));
            }
            default -> {
                time.schedule(1, () -> execute(call));
                time.schedule(CALL_TIMEOUT_MILLISECONDS, timeout);
            }
        }
    }

    private StoreReply execute(StoreCall call) {
        return switch (call) {
            case StoreCall.Get get -> new StoreReply.Value(Optional.ofNullable(values.get(get.key())));
            case StoreCall.ListPrefix list ->
                new StoreReply.Values(values.tailMap(list.prefix(), true).values().stream()
                        .takeWhile(value -> value.key().startsWith(list.prefix()))
                        .toList());
            case StoreCall.Transact transact -> new StoreReply.Transacted(transact(transact.transaction()));
        };
    }

    private TransactionResult transact(KeyValueTransaction transaction) {
        if (!transaction.conditions().stream().allMatch(this::holds)) {
            return new TransactionResult(false, revision);
        }
        revision++;
        transaction.operations().forEach(this::apply);
        if (transaction.operations().stream()
                .anyMatch(operation -> operation.key().contains("/configuration/"))) {
            configurationWatchers.forEach(watcher -> time.schedule(2, watcher));
        }
        return new TransactionResult(true, revision);
    }

    private boolean holds(KeyValueCondition condition) {
        KeyValue value = values.get(condition.key());
        return condition.revision() == (value == null ? 0 : value.revision());
    }

    private void apply(KeyValueOperation operation) {
        switch (operation) {
            case KeyValueOperation.Put put -> values.put(put.key(), new KeyValue(put.key(), put.value(), revision));
            case KeyValueOperation.Delete delete -> values.remove(delete.key());
        }
    }
}
