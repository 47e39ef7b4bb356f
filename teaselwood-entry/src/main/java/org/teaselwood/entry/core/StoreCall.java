package org.teaselwood.entry.core;

import org.teaselwood.store.KeyValueTransaction;

/** A call of the core to the key-value service. */
public sealed interface StoreCall {
    /** Reads one key. */
    record Get(String key) implements StoreCall {}

    /** Reads all keys of a prefix. */
    record ListPrefix(String prefix) implements StoreCall {}

    /** Carries out a transaction. */
    record Transact(KeyValueTransaction transaction) implements StoreCall {}
}
