package org.teaselwood.store;

/**
 * A precondition of a transaction on one key. Immutable.
 *
 * @param key the key
 * @param revision revision at which the key must last have been written; 0 if the key must not exist
 */
public record KeyValueCondition(String key, long revision) {}
