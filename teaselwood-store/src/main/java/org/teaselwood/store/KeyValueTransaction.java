package org.teaselwood.store;

import java.util.List;

/**
 * Writes that take effect together if every condition holds. Immutable.
 *
 * @param conditions all must hold
 * @param operations carried out in order, at most 128
 */
public record KeyValueTransaction(List<KeyValueCondition> conditions, List<KeyValueOperation> operations) {
    /** Copies the lists. */
    public KeyValueTransaction {
        conditions = List.copyOf(conditions);
        operations = List.copyOf(operations);
    }
}
