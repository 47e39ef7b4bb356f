package org.teaselwood.store;

import java.util.List;

/**
 * Operations that are applied atomically if every condition holds. Immutable.
 *
 * @param conditions conditions that must all hold
 * @param operations operations in the order in which they are applied, at most 128
 */
public record KeyValueTransaction(List<KeyValueCondition> conditions, List<KeyValueOperation> operations) {
    /** Copies the lists. */
    public KeyValueTransaction {
        conditions = List.copyOf(conditions);
        operations = List.copyOf(operations);
    }
}
