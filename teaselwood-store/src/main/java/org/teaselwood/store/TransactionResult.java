package org.teaselwood.store;

/**
 * Result of a transaction. Immutable.
 *
 * @param applied whether the conditions held and the operations were applied
 * @param revision revision of the key-value service after the transaction
 */
public record TransactionResult(boolean applied, long revision) {}
