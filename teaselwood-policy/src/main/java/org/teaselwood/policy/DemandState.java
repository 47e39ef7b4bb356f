package org.teaselwood.policy;

/** A demand with the outcome of its last search. Mutable, confined to its scheduler's thread. */
final class DemandState {
    final Demand demand;
    /** Number of classes that share the demand. */
    int classes;
    /** Whether the demand did not fit on free capacity; cleared when capacity is freed. */
    boolean blocked;
    /** The same for work that is too long to run on reserved servers. */
    boolean blockedOutsideReservations;

    DemandState(Demand demand) {
        this.demand = demand;
    }
}
