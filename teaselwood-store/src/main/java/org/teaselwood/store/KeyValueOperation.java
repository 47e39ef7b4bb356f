package org.teaselwood.store;

/** One write within a transaction. */
public sealed interface KeyValueOperation {
    /** Returns the key that is written or deleted. */
    String key();

    /**
     * Writes a value.
     *
     * @param lease identifier of the lease whose expiry deletes the key; 0 for none
     */
    record Put(String key, byte[] value, long lease) implements KeyValueOperation {}

    /** Deletes a key; has no effect if the key does not exist. */
    record Delete(String key) implements KeyValueOperation {}
}
