package org.teaselwood.policy;

import java.util.Map;
import java.util.TreeMap;

/**
 * A token bucket of retries after failures for each team, so that a team whose work always fails does not spend the
 * cluster on retries. Mutable, confined to its scheduler's thread.
 */
final class RetryBudget {
    /** Retries that a team may make at once. */
    static final double CAPACITY = 60;
    /** One retry is earned in this time. */
    static final long REFILL_MILLISECONDS = 10_000;

    private final Map<String, Bucket> buckets = new TreeMap<>();

    /** Takes one retry; false when the budget is used up. */
    boolean take(String team, long nowMilliseconds) {
        Bucket bucket = buckets.computeIfAbsent(team, name -> new Bucket(nowMilliseconds));
        double earned = (double) (nowMilliseconds - bucket.sinceMilliseconds) / REFILL_MILLISECONDS;
        bucket.tokens = Math.min(CAPACITY, bucket.tokens + earned);
        bucket.sinceMilliseconds = nowMilliseconds;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Tokens and the time of their last refill. */
    private static final class Bucket {
        private double tokens = CAPACITY;
        private long sinceMilliseconds;

        Bucket(long sinceMilliseconds) {
            this.sinceMilliseconds = sinceMilliseconds;
        }
    }
}
