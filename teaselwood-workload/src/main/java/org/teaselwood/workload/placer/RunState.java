package org.teaselwood.workload.placer;

/** State of a run as known to the placer. */
enum RunState {
    /** The attempt is being stored; no order has been sent. */
    RECORDING,
    /** The start order has been sent and not answered. */
    ORDERED,
    /** An earlier placer started the run; the agent has not reported under the current term. */
    RECOVERED,
    /** The backend server has confirmed the run. */
    RUNNING,
    /** The run is being stopped and still holds its resources. */
    STOPPING
}
