package org.teaselwood.workload.record;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Keys in the key-value service. Stateless. */
public final class WorkloadKeys {
    /** Key of the elected placer; its revision is the term. */
    public static final String PLACER = "teaselwood/placer";

    /** Prefix of the requests of callers: accepted jobs and cancellations, watched by the placer. */
    public static final String REQUESTS = "teaselwood/requests/";

    /** Prefix of the progress of jobs, written only by the placer. */
    public static final String PROGRESS = "teaselwood/progress/";

    /** Key of the number of jobs that have not started, by queue; written by the placer. */
    public static final String PENDING = "teaselwood/pending";

    private static final String ACCEPTED = REQUESTS + "accepted/";
    private static final String CANCELLED = REQUESTS + "cancelled/";

    private static final Pattern CHUNK = Pattern.compile(PROGRESS + "[^/]+/([0-9]{1,9})\\.([0-9]{1,9})");

    private WorkloadKeys() {}

    /** Returns the key of an accepted job. */
    public static String accepted(String job) {
        return ACCEPTED + job;
    }

    /** Returns the key that marks a job as cancelled. */
    public static String cancelled(String job) {
        return CANCELLED + job;
    }

    /** Returns the key of the progress of a job. */
    public static String progress(String job) {
        return PROGRESS + job;
    }

    /** Returns the key of a chunk of the progress of a job. */
    public static String progress(String job, ChunkId chunk) {
        return progress(job) + "/" + chunk.occurrence() + "." + chunk.number();
    }

    /** Returns the identifier of the job that a key of its progress belongs to. */
    public static String jobOfProgress(String key) {
        return key.substring(PROGRESS.length()).split("/", 2)[0];
    }

    /** Returns the chunk that a key of the progress of a job belongs to, empty if it is no key of a chunk. */
    public static Optional<ChunkId> chunkOf(String key) {
        Matcher chunk = CHUNK.matcher(key);
        return chunk.matches()
                ? Optional.of(new ChunkId(Integer.parseInt(chunk.group(1)), Integer.parseInt(chunk.group(2))))
                : Optional.empty();
    }

    /** Returns whether the key is that of an accepted job. */
    public static boolean isAccepted(String key) {
        return key.startsWith(ACCEPTED);
    }

    /** Returns whether the key marks a job as cancelled. */
    public static boolean isCancelled(String key) {
        return key.startsWith(CANCELLED);
    }

    /** Returns the identifier of the job that the key of a request belongs to. */
    public static String jobOf(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }
}
