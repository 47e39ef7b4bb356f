package org.teaselwood.entry.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/** In-memory key-value service that can be unavailable or lose replies. */
final class FakeStore {
    final TreeMap<String, KeyValue> values = new TreeMap<>();
    final Deque<Integer> batchSizes = new ArrayDeque<>();
    boolean down;
    /** Number of further transactions that take effect but whose replies are lost. */
    int lostReplies;

    private long revision = 1;

    StoreReply call(StoreCall call) {
        if (down) {
            return new StoreReply.Unavailable("down");
        }
        return switch (call) {
            case StoreCall.Get get -> new StoreReply.Value(Optional.ofNullable(values.get(get.key())));
            case StoreCall.ListPrefix list ->
                new StoreReply.Values(values.tailMap(list.prefix()).values().stream()
                        .filter(value -> value.key().startsWith(list.prefix()))
                        .toList());
            case StoreCall.Transact transact -> transact(transact.transaction());
        };
    }

    private StoreReply transact(KeyValueTransaction transaction) {
        boolean holds = transaction.conditions().stream()
                .allMatch(condition -> condition.revision()
                        == Optional.ofNullable(values.get(condition.key()))
                                .map(KeyValue::revision)
                                .orElse(0L));
        batchSizes.add(transaction.operations().size());
        if (holds) {
            revision++;
            transaction.operations().forEach(this::apply);
        }
        if (lostReplies > 0) {
            lostReplies--;
            return new StoreReply.Unavailable("lost");
        }
        return new StoreReply.Transacted(new TransactionResult(holds, revision));
    }

    private void apply(KeyValueOperation operation) {
        switch (operation) {
            case KeyValueOperation.Put put ->
                values.put(put.key(), new KeyValue(put.key(), put.value().clone(), revision));
            case KeyValueOperation.Delete delete -> values.remove(delete.key());
        }
    }

    List<String> keysOf(String part) {
        return values.keySet().stream().filter(key -> key.contains(part)).toList();
    }
}
