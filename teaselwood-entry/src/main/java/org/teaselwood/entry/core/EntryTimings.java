package org.teaselwood.entry.core;

/**
 * Intervals and limits of an entry core; times in milliseconds. Immutable.
 *
 * @param startMilliseconds time after its start during which an entry only looks for others
 * @param heartbeatMilliseconds interval of heartbeats between entries
 * @param suspicionMilliseconds an entry that is silent for this time is removed from the ranking
 * @param snapshotMilliseconds longest wait of a new placer for the snapshots of the relays
 * @param agentSuspectMilliseconds a silent agent gets no new work after this time
 * @param agentLostMilliseconds the attempts of a silent agent are lost after this time
 * @param holdMilliseconds expiry of a hold, and longest wait for {@code Start} after {@code Commit}
 * @param resendMilliseconds interval of repeating an unanswered command
 * @param gangRenewalMilliseconds interval of {@code RenewGang}
 * @param forwardMilliseconds longest wait of a front request without a placer
 * @param retentionMilliseconds time for which a finished job is kept
 * @param leavingMilliseconds longest time between a request to stop and the end of the process
 * @param maximumJobs most jobs in the table that have not finished
 * @param maximumWaits most front requests that are open at the same time
 * @param answerMemoryBytes most bytes of answers kept in memory that can be read back from the key-value service
 */
public record EntryTimings(
        long startMilliseconds,
        long heartbeatMilliseconds,
        long suspicionMilliseconds,
        long snapshotMilliseconds,
        long agentSuspectMilliseconds,
        long agentLostMilliseconds,
        long holdMilliseconds,
        long resendMilliseconds,
        long gangRenewalMilliseconds,
        long forwardMilliseconds,
        long retentionMilliseconds,
        long leavingMilliseconds,
        int maximumJobs,
        int maximumWaits,
        long answerMemoryBytes) {
    private static final long DAY_MILLISECONDS = 24L * 60 * 60 * 1000;

    /** The timings of the design page. */
    public static final EntryTimings DEFAULT = new EntryTimings(
            1_000,
            500,
            2_000,
            1_500,
            6_000,
            20_000,
            10_000,
            1_000,
            3_000,
            10_000,
            DAY_MILLISECONDS,
            15_000,
            50_000,
            20_000,
            32L * 1024 * 1024);
}
