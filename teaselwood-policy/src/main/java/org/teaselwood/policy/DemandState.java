package org.teaselwood.policy;

/** A demand with the outcome of its latest search. Mutable, confined to its scheduler's thread. */
final class DemandState {
    final Demand demand;
    /** Number of waiting classes that share the demand. */
    int classes;
    /** Whether the demand did not fit on free capacity; cleared when capacity is freed. */
    boolean blocked;
    /**
     * Whether the demand did not fit on free capacity outside reserved servers, for work that is too long to run on
     * these; cleared when capacity is freed.
     */
    boolean blockedOutsideReservations;

    DemandState(Demand demand) {
        this.demand = demand;
    }
}
