package org.teaselwood.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.model.JobIdentifier;

/**
 * Callers that wait for a job to change. Each waiter is answered once, at the change or at its timeout. Confined to the
 * core's thread.
 */
public final class JobWaiters {
    private final Map<Requester, Waiter> waiters = new TreeMap<>();
    private final Map<JobIdentifier, List<Requester>> requestersByJob = new TreeMap<>();

    /** Waiting caller. Immutable. */
    private record Waiter(JobIdentifier job, long version, boolean untilFinal, long deadline) {
        boolean isSatisfiedBy(Job changed) {
            return changed.state().isFinal() || !untilFinal && changed.version() > version;
        }
    }

    /** Adds a waiter. A repeated request replaces the earlier one. */
    public void add(Requester requester, JobIdentifier job, long version, boolean untilFinal, long deadline) {
        remove(requester);
        waiters.put(requester, new Waiter(job, version, untilFinal, deadline));
        requestersByJob.computeIfAbsent(job, key -> new ArrayList<>()).add(requester);
    }

    /** Removes the waiter of a caller that disconnected. */
    public void remove(Requester requester) {
        Waiter waiter = waiters.remove(requester);
        if (waiter != null) {
            List<Requester> others = requestersByJob.get(waiter.job());
            others.remove(requester);
            if (others.isEmpty()) {
                requestersByJob.remove(waiter.job());
            }
        }
    }

    /** Answers the waiters whose condition is met by a change of the job. */
    public void changed(Job job, BiConsumer<Requester, Job> answer) {
        List<Requester> due = requestersByJob.getOrDefault(job.identifier(), List.of()).stream()
                .filter(requester -> waiters.get(requester).isSatisfiedBy(job))
                .toList();
        due.forEach(requester -> {
            remove(requester);
            answer.accept(requester, job);
        });
    }

    /** Answers the waiters whose timeout has passed. */
    public void tick(long now, BiConsumer<Requester, JobIdentifier> answer) {
        List<Map.Entry<Requester, Waiter>> due = waiters.entrySet().stream()
                .filter(entry -> entry.getValue().deadline() <= now)
                .toList();
        due.forEach(entry -> {
            remove(entry.getKey());
            answer.accept(entry.getKey(), entry.getValue().job());
        });
    }

    /** Returns the number of waiters. */
    public int size() {
        return waiters.size();
    }

    /** Removes all waiters and passes them to an action. */
    public void drain(Consumer<Requester> action) {
        List<Requester> all = List.copyOf(waiters.keySet());
        waiters.clear();
        requestersByJob.clear();
        all.forEach(action);
    }
}
