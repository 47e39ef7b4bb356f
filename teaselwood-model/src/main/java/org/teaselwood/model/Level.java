package org.teaselwood.model;

/** How close the parts of a job must be: all parts lie in one cell of this level. Ordered from tight to loose. */
public enum Level {
    SERVER,
    RACK,
    DATA_CENTRE,
    REGION
}
