package org.teaselwood.agent.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.SequencedMap;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.PartReport;
import org.teaselwood.protocol.worker.TaskIdentifier;

/**
 * What is refused on this backend server: attempts that were released or forgotten, and parts whose hold was refused.
 * A fence is never dropped before its time, because a placer may have told a caller "not run" on its strength; the
 * table refuses further fences instead. Not thread-safe.
 */
final class FenceTable {
    /**
     * A refused part.
     *
     * @param report what is reported of it
     * @param refusal code of the error kind that answers its Hold
     * @param detail text for logs
     * @param until end of the fence
     */
    record FencedPart(PartReport report, String refusal, String detail, long until) {}

    private final SequencedMap<TaskIdentifier, FencedPart> parts = new LinkedHashMap<>();
    private final SequencedMap<AttemptIdentifier, Long> attempts = new LinkedHashMap<>();

    /** Earliest end of a fence, so that nothing is searched before it is due. */
    private long nextExpiry = Long.MAX_VALUE;

    boolean isFenced(AttemptIdentifier attempt) {
        return attempts.containsKey(attempt);
    }

    Optional<FencedPart> find(TaskIdentifier task) {
        return Optional.ofNullable(parts.get(task));
    }

    Collection<FencedPart> fencedParts() {
        return parts.values();
    }

    int size() {
        return parts.size() + attempts.size();
    }

    /** Whether neither a hold's refusal nor a release can be remembered any more. */
    boolean full() {
        return size() >= 2 * AgentTimings.MAXIMUM_FENCES;
    }

    /** Refuses an attempt from now on. */
    void fence(AttemptIdentifier attempt, long now) {
        put(attempt, now + AgentTimings.FENCE_MILLISECONDS);
    }

    /** Refuses an attempt whose final record is stored, and reports nothing of it any more; no fence gets shorter. */
    void forget(AttemptIdentifier attempt, long now) {
        long earlier = parts.entrySet().stream()
                .filter(part -> part.getKey().attempt().equals(attempt))
                .mapToLong(part -> part.getValue().until())
                .max()
                .orElse(0);
        long until = Math.max(earlier, now + AgentTimings.FORGOTTEN_FENCE_MILLISECONDS);
        put(attempt, Math.max(until, attempts.getOrDefault(attempt, 0L)));
        parts.keySet().removeIf(task -> task.attempt().equals(attempt));
    }

    /** Remembers the report of a refused part. */
    void remember(TaskIdentifier task, PartReport report, ErrorKind refusal, String detail, long now) {
        long until = now + AgentTimings.FENCE_MILLISECONDS;
        nextExpiry = Math.min(nextExpiry, until);
        parts.putLast(task, new FencedPart(report, refusal.code(), detail, until));
    }

    void expire(long now) {
        if (now < nextExpiry) {
            return;
        }
        parts.values().removeIf(fence -> fence.until() <= now);
        attempts.values().removeIf(until -> until <= now);
        nextExpiry = Math.min(
                parts.values().stream().mapToLong(FencedPart::until).min().orElse(Long.MAX_VALUE),
                attempts.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE));
    }

    private void put(AttemptIdentifier attempt, long until) {
        nextExpiry = Math.min(nextExpiry, until);
        attempts.putLast(attempt, until);
    }
}
