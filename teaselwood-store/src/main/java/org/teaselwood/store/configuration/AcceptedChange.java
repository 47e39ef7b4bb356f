package org.teaselwood.store.configuration;

/**
 * Record of an accepted change in the key-value service. Immutable.
 *
 * @param revision configuration revision that the change created
 * @param digest digest of the change's content; distinguishes a repetition from another change with the same identifier
 */
public record AcceptedChange(long revision, String digest) {}
