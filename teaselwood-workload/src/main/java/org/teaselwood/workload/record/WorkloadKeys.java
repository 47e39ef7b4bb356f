package org.teaselwood.workload.record;

/** Keys of the key-value service. Immutable. */
public final class WorkloadKeys {
    /** The elected placer; its revision is the term. */
    public static final String PLACER = "teaselwood/placer";

    /** What callers wrote: accepted jobs and cancellations, watched by the placer. */
    public static final String REQUESTS = "teaselwood/requests/";

    /** Progress of jobs, written only by the placer. */
    public static final String PROGRESS = "teaselwood/progress/";

    /** Jobs by queue that have not started, written by the placer. */
    public static final String PENDING = "teaselwood/pending";

    private static final String ACCEPTED = REQUESTS + "accepted/";
    private static final String CANCELLED = REQUESTS + "cancelled/";

    private WorkloadKeys() {}

    /** Key of an accepted job. */
    public static String accepted(String job) {
        return ACCEPTED + job;
    }

    /** Key that marks a job as cancelled. */
    public static String cancelled(String job) {
        return CANCELLED + job;
    }

    /** Key of the progress of a job. */
    public static String progress(String job) {
        return PROGRESS + job;
    }

    /** Whether the key is that of an accepted job. */
    public static boolean isAccepted(String key) {
        return key.startsWith(ACCEPTED);
    }

    /** Whether the key marks a cancellation. */
    public static boolean isCancelled(String key) {
        return key.startsWith(CANCELLED);
    }

    /** Identifier of the job that a key belongs to. */
    public static String jobOf(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }
}
