package org.teaselwood.store;

/**
 * A comparison that a transaction depends on.
 *
 * @param key the key
 * @param revision revision at which the key must have been last written, 0 when it must not exist
 */
public record KeyValueCondition(String key, long revision) {}
