package org.teaselwood.policy;

import java.util.Map;
import java.util.TreeMap;

/**
 * Token bucket of retries after failures for each team. It prevents a team whose work always fails from using up the
 * cluster with retries. Mutable, confined to its scheduler's thread.
 */
final class RetryBudget {
    /** Maximum number of retries in a burst. */
    static final double CAPACITY = 60;
    /** Time in which a team earns one retry. */
    static final long REFILL_MILLISECONDS = 10_000;

    private final Map<String, Bucket> buckets = new TreeMap<>();

    /** Takes one retry; returns false if the budget is used up. */
    boolean take(String team, long nowMilliseconds) {
        Bucket bucket = buckets.computeIfAbsent(team, name -> new Bucket(nowMilliseconds));
        double earned = (double) (nowMilliseconds - bucket.lastRefillMilliseconds) / REFILL_MILLISECONDS;
        bucket.tokens = Math.min(CAPACITY, bucket.tokens + earned);
        bucket.lastRefillMilliseconds = nowMilliseconds;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Available tokens and the time of the last refill. */
    private static final class Bucket {
        private double tokens = CAPACITY;
        private long lastRefillMilliseconds;

        Bucket(long lastRefillMilliseconds) {
            this.lastRefillMilliseconds = lastRefillMilliseconds;
        }
    }
}
