package org.teaselwood.store;

/**
 * One key with its value. Immutable by agreement: nobody changes the array.
 *
 * @param key the key
 * @param value the bytes, at most one megabyte
 * @param revision revision of the service at which the value was last written
 */
public record KeyValue(String key, byte[] value, long revision) {}
