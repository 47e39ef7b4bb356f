package org.teaselwood.store;

/**
 * Result of a transaction.
 *
 * @param applied whether the conditions held and the writes took effect
 * @param revision revision of the service after it
 */
public record TransactionResult(boolean applied, long revision) {}
