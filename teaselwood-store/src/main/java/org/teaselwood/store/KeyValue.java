package org.teaselwood.store;

/**
 * A key with its value. Immutable by convention: the array must not be modified.
 *
 * @param key the key
 * @param value value in bytes, at most one megabyte
 * @param revision revision of the key-value service at which the value was last written
 */
public record KeyValue(String key, byte[] value, long revision) {}
