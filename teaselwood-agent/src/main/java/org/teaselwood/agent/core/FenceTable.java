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
 * Fences on this backend server: attempts that were released or forgotten, and parts whose hold was refused. A fence is
 * never removed before it expires, because a placer may have relied on it to answer "not run" to a client; when the
 * table is full, it refuses further fences instead. Not thread-safe.
 */
final class FenceTable {
    /**
     * A fenced part.
     *
     * @param report report of the part that is sent to entries
     * @param refusal code of the error kind with which Hold of the part is refused
     * @param detail text for logs
     * @param expiresAt time at which the fence expires, in milliseconds of the core's clock
     */
    record FencedPart(PartReport report, String refusal, String detail, long expiresAt) {}

    private final SequencedMap<TaskIdentifier, FencedPart> parts = new LinkedHashMap<>();
    private final SequencedMap<AttemptIdentifier, Long> attempts = new LinkedHashMap<>();

    /** Earliest expiry of a fence; avoids a scan on every event. */
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

    /** Returns whether no further refused hold or released attempt can be recorded. */
    boolean isFull() {
        return size() >= 2 * AgentTimings.MAXIMUM_FENCES;
    }

    /** Fences an attempt for {@link AgentTimings#FENCE_RETENTION_MILLISECONDS}. */
    void fence(AttemptIdentifier attempt, long now) {
        putAttempt(attempt, now + AgentTimings.FENCE_RETENTION_MILLISECONDS);
    }

    /** Fences an attempt whose final record is stored and stops reporting its parts. Never shortens a fence. */
    void forget(AttemptIdentifier attempt, long now) {
        long latestPartExpiry = parts.entrySet().stream()
                .filter(part -> part.getKey().attempt().equals(attempt))
                .mapToLong(part -> part.getValue().expiresAt())
                .max()
                .orElse(0);
        long expiresAt = Math.max(latestPartExpiry, now + AgentTimings.FORGOTTEN_FENCE_RETENTION_MILLISECONDS);
        putAttempt(attempt, Math.max(expiresAt, attempts.getOrDefault(attempt, 0L)));
        parts.keySet().removeIf(task -> task.attempt().equals(attempt));
    }

    /** Records a fenced part with its report. */
    void addPart(TaskIdentifier task, PartReport report, ErrorKind refusal, String detail, long now) {
        long expiresAt = now + AgentTimings.FENCE_RETENTION_MILLISECONDS;
        nextExpiry = Math.min(nextExpiry, expiresAt);
        parts.putLast(task, new FencedPart(report, refusal.code(), detail, expiresAt));
    }

    void expire(long now) {
        if (now < nextExpiry) {
            return;
        }
        parts.values().removeIf(fence -> fence.expiresAt() <= now);
        attempts.values().removeIf(expiresAt -> expiresAt <= now);
        nextExpiry = Math.min(
                parts.values().stream().mapToLong(FencedPart::expiresAt).min().orElse(Long.MAX_VALUE),
                attempts.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE));
    }

    private void putAttempt(AttemptIdentifier attempt, long expiresAt) {
        nextExpiry = Math.min(nextExpiry, expiresAt);
        attempts.putLast(attempt, expiresAt);
    }
}
