package org.teaselwood.store;

/** One write within a transaction. */
public sealed interface KeyValueOperation {
    /** The key that is written. */
    String key();

    /**
     * Writes a value.
     *
     * @param lease lease that deletes the key when it lapses, 0 for none
     */
    record Put(String key, byte[] value, long lease) implements KeyValueOperation {}

    /** Deletes a key; no error when it does not exist. */
    record Delete(String key) implements KeyValueOperation {}
}
