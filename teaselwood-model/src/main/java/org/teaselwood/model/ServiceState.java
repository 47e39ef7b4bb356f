package org.teaselwood.model;

/** Service state of a backend server, set by operators. */
public enum ServiceState {
    IN_SERVICE,
    DRAINING,
    OUT_OF_SERVICE
}
