package org.teaselwood.agent.core;

import java.util.List;
import java.util.function.Predicate;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;

/**
 * Controls the worker: reads its tasks at the start and after a pause of the process, runs and stops tasks, renews
 * their leases and tracks their state by listing. Not thread-safe.
 *
 * <p>Until the tasks of the worker have been read, its state is unknown and the agent sends nothing to an entry. A call
 * without a reply is retried; the worker carries out each call once. A task that may have run is never run again, even
 * if it is reported as lost: the worker refuses to run a task twice, and a lost part stays lost in the agent.
 */
final class WorkerDriver {
    private final PartTable parts;
    private final WorkerCalls calls;
    private final TaskTracker tracker;
    private final AgentEffects effects;
    private final String incarnation;

    /** Whether the tasks of the worker are known; false at the start and after a pause longer than a lease. */
    private boolean stateKnown;

    private boolean available;
    private long workerIncarnation;
    private long readStartedAt;
    private long nextAdoptAt;
    private long knownVersion;
    private long nextListAt;
    private long nextRenewalAt;

    WorkerDriver(PartTable parts, AnswerSender answers, AgentEffects effects, String incarnation) {
        this.parts = parts;
        this.calls = new WorkerCalls(effects);
        this.tracker = new TaskTracker(parts, answers, calls, effects);
        this.effects = effects;
        this.incarnation = incarnation;
    }

    /** Returns whether the tasks of the worker are known. */
    boolean isStateKnown() {
        return stateKnown;
    }

    /** Returns whether the worker replied to the last call. */
    boolean isAvailable() {
        return available;
    }

    /** Reads the tasks of the worker again. Replies to earlier calls are ignored. */
    void readState(long now) {
        stateKnown = false;
        readStartedAt = now;
        calls.discardAll();
        adopt(now);
    }

    /** Returns whether the worker may have stopped a task because its lease was not renewed in time. */
    boolean leaseExpired(long now) {
        return stateKnown && parts.live().anyMatch(part -> now >= part.leaseExpiresAt);
    }

    /** Returns whether a worker whose state is unknown has been unreachable until all its leases have expired. */
    boolean hasTimedOut(long now) {
        return !stateKnown
                && now - readStartedAt >= AgentTimings.LEASE_MILLISECONDS + AgentTimings.LOST_WORKER_DELAY_MILLISECONDS;
    }

    void start(Part part, long now) {
        part.leaseExpiresAt = now + AgentTimings.LEASE_MILLISECONDS;
        part.gangDeadline = now + AgentTimings.GANG_LEASE_MILLISECONDS;
        nextListAt = Math.min(nextListAt, now + AgentTimings.MINIMUM_LIST_INTERVAL_MILLISECONDS);
        run(part, now);
    }

    void stop(Part part, long graceMilliseconds, String reason, long now) {
        if (graceMilliseconds < part.stopGraceMilliseconds) {
            part.stopGraceMilliseconds = graceMilliseconds;
            part.stopDeadline = now + graceMilliseconds + AgentTimings.LOST_WORKER_DELAY_MILLISECONDS;
            callStop(part, now);
        }
        if (part.phase != PartPhase.STOPPING) {
            effects.log("stopping the part: " + reason, part.job());
            parts.changePhaseWithoutReport(part, PartPhase.STOPPING, now);
        }
    }

    void throttle(Part part, long now) {
        calls.call(new WorkerCall.Throttle(part.task), now);
    }

    void forget(Part part, long now) {
        tracker.forget(part, now);
    }

    /** Handles a reply of the worker. Ignores replies to calls that timed out or were discarded. */
    void replied(long token, WorkerReply reply, long now) {
        WorkerCalls.Pending pending = calls.complete(token);
        if (pending != null) {
            apply(pending, reply, now);
        }
    }

    void tick(long now) {
        for (WorkerCalls.Pending expired : calls.expire(now)) {
            apply(expired, new WorkerReply.Unavailable("call timed out"), now);
        }
        if (!stateKnown) {
            tickWhileStateUnknown(now);
            return;
        }
        parts.live().toList().forEach(part -> tickPart(part, now));
        renewLeases(now);
        list(now);
        tracker.tick(now);
    }

    private void apply(WorkerCalls.Pending pending, WorkerReply reply, long now) {
        updateAvailability(!(reply instanceof WorkerReply.Unavailable));
        switch (pending.call()) {
            case WorkerCall.Adopt ignored
            when reply instanceof WorkerReply.Adopted adopted -> {
                knownVersion = adopted.version();
                workerIncarnation = adopted.workerIncarnation();
                stateKnown = true;
                nextRenewalAt = now;
                nextListAt = now;
                tracker.adopted(adopted, pending, now);
            }
            case WorkerCall.ListTasks listing
            when reply instanceof WorkerReply.Tasks tasks -> {
                boolean changed = tasks.version() != listing.knownVersion();
                knownVersion = tasks.version();
                tracker.listed(tasks, pending, now);
                adoptIfRestarted(tasks.workerIncarnation(), now);
                scheduleListing(changed, pending, now);
            }
            case WorkerCall.ListTasks ignored -> nextListAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
            case WorkerCall.Run run -> {
                tracker.ran(run, reply, pending, now);
                if (reply instanceof WorkerReply.Refused refused
                        && refused.reason() == WorkerReply.Reason.OTHER_WORKER) {
                    nextListAt = now;
                }
            }
            case WorkerCall.FetchAnswer fetch -> tracker.fetched(fetch, reply, now);
            case WorkerCall.Renew renewal
            when reply instanceof WorkerReply.Done -> tracker.renewed(renewal, pending, now);
            case WorkerCall.Renew ignored -> nextRenewalAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
            case WorkerCall ignored -> {
                // Retried by a tick if still needed.
            }
        }
        if (stateKnown) {
            list(now);
            tracker.fetchNext(now);
        }
    }

    private void scheduleListing(boolean changed, WorkerCalls.Pending pending, long now) {
        boolean live = parts.live().findAny().isPresent();
        if (!live && !parts.orphans().isEmpty()) {
            nextListAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
            return;
        }
        long interval = changed
                ? AgentTimings.MINIMUM_LIST_INTERVAL_MILLISECONDS
                : AgentTimings.UNCHANGED_LIST_INTERVAL_MILLISECONDS;
        nextListAt = live ? pending.sentAt() + interval : now + AgentTimings.IDLE_LIST_INTERVAL_MILLISECONDS;
    }

    /** Adopts a restarted worker, which refuses runs until it is adopted. */
    private void adoptIfRestarted(long replyIncarnation, long now) {
        if (replyIncarnation != workerIncarnation && !calls.isPending(WorkerCall.Adopt.class::isInstance)) {
            effects.log("worker was restarted; adopting it", "");
            adopt(now);
        }
    }

    private void updateAvailability(boolean answered) {
        if (answered != available) {
            available = answered;
            effects.log(answered ? "worker is reachable" : "worker is unreachable", "");
        }
    }

    private void tickWhileStateUnknown(long now) {
        boolean hasLiveParts = parts.live().findAny().isPresent();
        if (hasLiveParts && now - readStartedAt >= AgentTimings.LOST_WORKER_DELAY_MILLISECONDS) {
            calls.discardAll();
            stateKnown = true;
            nextListAt = now;
            parts.live()
                    .toList()
                    .forEach(part ->
                            tracker.markOrphaned(part, "worker unreachable until its task leases expired", now));
        } else if (now >= nextAdoptAt && !calls.isPending(WorkerCall.Adopt.class::isInstance)) {
            adopt(now);
        }
    }

    private void adopt(long now) {
        nextAdoptAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
        calls.call(new WorkerCall.Adopt(incarnation, AgentTimings.LEASE_MILLISECONDS), now);
    }

    private void tickPart(Part part, long now) {
        if (part.phase == PartPhase.STARTED && now >= part.nextCallAt && !isRunPending(part)) {
            run(part, now);
        } else if (part.phase == PartPhase.STOPPING && now >= part.nextCallAt && !isStopPending(part)) {
            callStop(part, now);
        }
        if (part.phase != PartPhase.STOPPING && part.specification.spansServers() && now >= part.gangDeadline) {
            stop(part, AgentTimings.GANG_STOP_GRACE_MILLISECONDS, "gang lease expired without RenewGang", now);
            parts.report(part);
        }
        if (part.phase == PartPhase.RUNNING && part.specification.checkpointable() && now >= part.nextCheckpointAt) {
            part.nextCheckpointAt = now + AgentTimings.CHECKPOINT_INTERVAL_MILLISECONDS;
            calls.call(new WorkerCall.Checkpoint(part.task), now);
        }
    }

    private void run(Part part, long now) {
        if (part.runCallCount == 0) {
            part.workerIncarnation = workerIncarnation;
        }
        part.runCallCount++;
        part.nextCallAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
        calls.call(
                new WorkerCall.Run(
                        incarnation,
                        part.workerIncarnation,
                        part.task,
                        part.specification,
                        part.firstAccelerator,
                        AgentTimings.LEASE_MILLISECONDS),
                now);
    }

    private void callStop(Part part, long now) {
        part.nextCallAt = now + AgentTimings.WORKER_RETRY_DELAY_MILLISECONDS;
        calls.call(new WorkerCall.Stop(part.task, part.stopGraceMilliseconds), now);
    }

    private boolean isRunPending(Part part) {
        Predicate<WorkerCall> ofPart =
                call -> call instanceof WorkerCall.Run run && run.task().equals(part.task);
        return calls.isPending(ofPart);
    }

    private boolean isStopPending(Part part) {
        Predicate<WorkerCall> ofPart =
                call -> call instanceof WorkerCall.Stop stop && stop.task().equals(part.task);
        return calls.isPending(ofPart);
    }

    /** Returns whether the lease is renewed; that of a task that missed its stop deadline is left to expire. */
    private static boolean shouldRenewLease(Part part, long now) {
        return part.phase != PartPhase.STOPPING || now < part.stopDeadline;
    }

    private void renewLeases(long now) {
        if (now < nextRenewalAt || calls.isPending(WorkerCall.Renew.class::isInstance)) {
            return;
        }
        List<TaskIdentifier> tasks = parts.live()
                .filter(part -> part.isConfirmed() && shouldRenewLease(part, now))
                .map(part -> part.task)
                .toList();
        nextRenewalAt = now + AgentTimings.LEASE_RENEWAL_INTERVAL_MILLISECONDS;
        if (!tasks.isEmpty()) {
            calls.call(new WorkerCall.Renew(tasks, AgentTimings.LEASE_MILLISECONDS), now);
        }
    }

    private void list(long now) {
        if (now >= nextListAt && !calls.isPending(WorkerCall.ListTasks.class::isInstance)) {
            boolean live = parts.live().findAny().isPresent();
            calls.call(
                    new WorkerCall.ListTasks(knownVersion, live ? AgentTimings.MAXIMUM_LIST_WAIT_MILLISECONDS : 0),
                    now);
        }
    }
}
