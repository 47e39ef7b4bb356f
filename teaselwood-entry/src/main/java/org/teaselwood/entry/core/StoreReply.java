package org.teaselwood.entry.core;

import java.util.List;
import java.util.Optional;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.TransactionResult;

/** Reply of the key-value service to a call of the core. Immutable. */
public sealed interface StoreReply {
    /** Reply to Get. */
    record Value(Optional<KeyValue> value) implements StoreReply {}

    /** Reply to ListPrefix, ordered by key. */
    record Values(List<KeyValue> values) implements StoreReply {}

    /** Reply to Transact. */
    record Transacted(TransactionResult result) implements StoreReply {}

    /** The call failed or timed out; a transaction may have taken effect all the same. */
    record Unavailable(String detail) implements StoreReply {}
}
