package org.teaselwood.workload.agent;

import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Leases that an agent has requested for the runs of one incarnation of its backend server. Mutable; confined to the
 * agent's event loop.
 *
 * <p>Invariant: once {@link #haveExpired} holds for a time, no run is active on the server at that time, whichever of
 * the requests were carried out, because a lease ends at a fixed time of the server's clock.
 */
final class ServerLeases {
    private final long leaseMilliseconds;
    private long serverClock;
    private long serverClockReadAt;
    private long expiredAt;

    /**
     * Creates the leases of a server that has sent no heartbeat.
     *
     * @param leaseMilliseconds duration of a lease; the server shortens it to its own maximum
     */
    ServerLeases(long leaseMilliseconds) {
        this.leaseMilliseconds = leaseMilliseconds;
    }

    /** Begins an incarnation; an earlier agent process may have renewed its leases until now. */
    void begin(long now) {
        serverClock = now;
        serverClockReadAt = now;
        expiredAt = expiry(now);
    }

    /** Records the server's clock in milliseconds; a negative value is ignored. */
    void clockRead(long milliseconds, long now) {
        if (milliseconds >= 0) {
            serverClock = milliseconds;
            serverClockReadAt = now;
        }
    }

    /** Returns the expiry of a lease that is requested now, in milliseconds of the server's clock. */
    long extend(long now) {
        expiredAt = Math.max(expiredAt, expiry(now));
        return serverClock + now - serverClockReadAt + leaseMilliseconds;
    }

    /** Returns whether all leases that may have been granted have expired. */
    boolean haveExpired(long now) {
        return now >= expiredAt;
    }

    private long expiry(long now) {
        return serverClockReadAt
                + WorkloadTimings.expiredAfterMilliseconds(now - serverClockReadAt + leaseMilliseconds);
    }
}
