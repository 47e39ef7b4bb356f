package org.teaselwood.entry.core;

import org.teaselwood.store.KeyValueTransaction;

/** Call of the core to the key-value service. Immutable. */
public sealed interface StoreCall {
    /** Reads one key. */
    record Get(String key) implements StoreCall {}

    /** Reads all keys that start with a prefix. */
    record ListPrefix(String prefix) implements StoreCall {}

    /** Applies a transaction. */
    record Transact(KeyValueTransaction transaction) implements StoreCall {}
}
