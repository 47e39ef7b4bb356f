package org.teaselwood.model;

/** The two kinds of work: long jobs and short requests on executor slots. */
public enum WorkKind {
    JOB,
    REQUEST
}
