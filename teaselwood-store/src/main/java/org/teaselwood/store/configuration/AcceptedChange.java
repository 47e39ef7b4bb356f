package org.teaselwood.store.configuration;

/**
 * What the key-value service keeps of an accepted change. Immutable.
 *
 * @param revision revision that the change made
 * @param digest digest of the change's content; tells a repeated change from another one with the same identifier
 */
public record AcceptedChange(long revision, String digest) {}
