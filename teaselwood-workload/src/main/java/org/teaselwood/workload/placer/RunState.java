package org.teaselwood.workload.placer;

/** What the placer knows of a run. */
enum RunState {
    /** Its start is being stored; nothing was sent. */
    RECORDING,
    /** The order was sent and not answered. */
    ORDERED,
    /** A former placer ordered it; the agent has not reported under the present term. */
    RECOVERED,
    /** It is on the backend server. */
    RUNNING,
    /** It is being stopped. Its room is still taken. */
    STOPPING
}
