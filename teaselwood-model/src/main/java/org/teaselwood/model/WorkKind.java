package org.teaselwood.model;

/** Kind of work: long jobs, or short requests that run in executor slots. */
public enum WorkKind {
    JOB,
    REQUEST
}
