package org.teaselwood.model;

/** Topology level within which all parts of a job must be placed. Constants are ordered from narrowest to widest. */
public enum Level {
    SERVER,
    RACK,
    DATA_CENTRE,
    REGION
}
