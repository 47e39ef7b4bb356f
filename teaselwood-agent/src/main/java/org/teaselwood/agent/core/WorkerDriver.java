package org.teaselwood.agent.core;

import java.util.List;
import java.util.function.Predicate;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;

/**
 * Controls the worker: reads its tasks at the start and after a pause of the process, runs and stops tasks, renews
 * their leases and tracks their state by listing.
 *
 * <p>Until the tasks of the worker have been read, its state is unknown and the agent sends nothing to an entry. A call
 * without a reply is retried; the worker carries out each call once. A task that may have run is reported as lost and
 * never run again: the worker refuses to run a task twice, and a lost part stays lost in the agent. Not thread-safe.
 */
final class WorkerDriver {
    private final PartTable parts;
    private final WorkerCalls calls;
    private final TaskTracker tracker;
    private final AgentEffects effects;
    private final String incarnation;

    /** Whether the tasks of the worker are known; false at the start and after a pause longer than a lease. */
    private boolean read;

    private boolean available;
    private long workerIncarnation;
    private long readingSince;
    private long nextAdoption;
    private long version;
    private long nextListing;
    private long nextRenewal;

    WorkerDriver(PartTable parts, AnswerSender answers, AgentEffects effects, String incarnation) {
        this.parts = parts;
        this.calls = new WorkerCalls(effects);
        this.tracker = new TaskTracker(parts, answers, calls, effects);
        this.effects = effects;
        this.incarnation = incarnation;
    }

    /** Returns whether the tasks of the worker are known. */
    boolean isRead() {
        return read;
    }

    /** Returns whether the worker replied to the last call. */
    boolean available() {
        return available;
    }

    /** Reads the tasks of the worker again. Replies to earlier calls are ignored. */
    void read(long now) {
        read = false;
        readingSince = now;
        calls.abandon();
        adopt(now);
    }

    /** Returns whether the worker may have stopped a task because its lease was not renewed in time. */
    boolean leaseExpired(long now) {
        return read && parts.live().anyMatch(part -> now >= part.leaseEnd);
    }

    /** Returns whether a worker whose state is unknown has been unreachable until all its leases have expired. */
    boolean givenUp(long now) {
        return !read && now - readingSince >= AgentTimings.LEASE_MILLISECONDS + AgentTimings.LOST_WORKER_MILLISECONDS;
    }

    void start(Part part, long now) {
        part.leaseEnd = now + AgentTimings.LEASE_MILLISECONDS;
        part.gangDeadline = now + AgentTimings.GANG_LEASE_MILLISECONDS;
        nextListing = Math.min(nextListing, now + AgentTimings.MINIMUM_LIST_MILLISECONDS);
        run(part, now);
    }

    void stop(Part part, long graceMilliseconds, String reason, long now) {
        if (graceMilliseconds < part.stopGrace) {
            part.stopGrace = graceMilliseconds;
            part.stopDeadline = now + graceMilliseconds + AgentTimings.LOST_WORKER_MILLISECONDS;
            callStop(part, now);
        }
        if (part.phase != PartPhase.STOPPING) {
            effects.logged("stopping the part: " + reason, part.job());
            parts.changeSilently(part, PartPhase.STOPPING, now);
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
        WorkerCalls.Pending pending = calls.replied(token);
        if (pending != null) {
            apply(pending, reply, now);
        }
    }

    void tick(long now) {
        for (WorkerCalls.Pending expired : calls.expire(now)) {
            apply(expired, new WorkerReply.Unavailable("call timed out"), now);
        }
        if (!read) {
            tickUnread(now);
            return;
        }
        parts.live().toList().forEach(part -> tickPart(part, now));
        renewLeases(now);
        list(now);
        tracker.tick(now);
    }

    private void apply(WorkerCalls.Pending pending, WorkerReply reply, long now) {
        noteAvailability(!(reply instanceof WorkerReply.Unavailable));
        switch (pending.call()) {
            case WorkerCall.Adopt ignored
            when reply instanceof WorkerReply.Adopted adopted -> {
                version = adopted.version();
                workerIncarnation = adopted.workerIncarnation();
                read = true;
                nextRenewal = now;
                nextListing = now;
                tracker.adopted(adopted, pending, now);
            }
            case WorkerCall.ListTasks listing
            when reply instanceof WorkerReply.Tasks tasks -> {
                boolean changed = tasks.version() != listing.knownVersion();
                version = tasks.version();
                tracker.listed(tasks, pending, now);
                adoptRestarted(tasks.workerIncarnation(), now);
                scheduleListing(changed, pending, now);
            }
            case WorkerCall.ListTasks ignored -> nextListing = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
            case WorkerCall.Run run -> {
                tracker.ran(run, reply, pending, now);
                if (reply instanceof WorkerReply.Refused refused
                        && refused.reason() == WorkerReply.Reason.OTHER_WORKER) {
                    nextListing = now;
                }
            }
            case WorkerCall.FetchAnswer fetch -> tracker.fetched(fetch, reply, now);
            case WorkerCall.Renew renewal
            when reply instanceof WorkerReply.Done -> tracker.renewed(renewal, pending, now);
            case WorkerCall.Renew ignored -> nextRenewal = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
            case WorkerCall ignored -> {
                // Retried by a tick if still needed.
            }
        }
        if (read) {
            list(now);
            tracker.fetchNext(now);
        }
    }

    private void scheduleListing(boolean changed, WorkerCalls.Pending pending, long now) {
        boolean live = parts.live().findAny().isPresent();
        if (!live && !parts.ghosts().isEmpty()) {
            nextListing = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
            return;
        }
        long pause = changed ? AgentTimings.MINIMUM_LIST_MILLISECONDS : AgentTimings.UNCHANGED_LIST_MILLISECONDS;
        nextListing = live ? pending.sentAt() + pause : now + AgentTimings.IDLE_LIST_MILLISECONDS;
    }

    /** Adopts a restarted worker, which refuses runs until it is adopted. */
    private void adoptRestarted(long incarnationOfReply, long now) {
        if (incarnationOfReply != workerIncarnation && !calls.isPending(WorkerCall.Adopt.class::isInstance)) {
            effects.logged("worker was restarted; adopting it", "");
            adopt(now);
        }
    }

    private void noteAvailability(boolean answered) {
        if (answered != available) {
            available = answered;
            effects.logged(answered ? "worker is reachable" : "worker is unreachable", "");
        }
    }

    private void tickUnread(long now) {
        boolean everRead = parts.live().findAny().isPresent();
        if (everRead && now - readingSince >= AgentTimings.LOST_WORKER_MILLISECONDS) {
            calls.abandon();
            read = true;
            nextListing = now;
            parts.live()
                    .toList()
                    .forEach(part ->
                            tracker.loseUncertainly(part, "worker unreachable until its task leases expired", now));
        } else if (now >= nextAdoption && !calls.isPending(WorkerCall.Adopt.class::isInstance)) {
            adopt(now);
        }
    }

    private void adopt(long now) {
        nextAdoption = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
        calls.call(new WorkerCall.Adopt(incarnation, AgentTimings.LEASE_MILLISECONDS), now);
    }

    private void tickPart(Part part, long now) {
        if (part.phase == PartPhase.STARTED && now >= part.nextCall && !runPending(part)) {
            run(part, now);
        } else if (part.phase == PartPhase.STOPPING && now >= part.nextCall && !stopPending(part)) {
            callStop(part, now);
        }
        if (part.phase != PartPhase.STOPPING && part.specification.spansServers() && now >= part.gangDeadline) {
            stop(part, AgentTimings.GANG_STOP_GRACE_MILLISECONDS, "gang lease expired without RenewGang", now);
            parts.report(part);
        }
        if (part.phase == PartPhase.RUNNING && part.specification.checkpointable() && now >= part.nextCheckpoint) {
            part.nextCheckpoint = now + AgentTimings.CHECKPOINT_MILLISECONDS;
            calls.call(new WorkerCall.Checkpoint(part.task), now);
        }
    }

    private void run(Part part, long now) {
        if (part.runCalls == 0) {
            part.workerIncarnation = workerIncarnation;
        }
        part.runCalls++;
        part.nextCall = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
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
        part.nextCall = now + AgentTimings.WORKER_RETRY_MILLISECONDS;
        calls.call(new WorkerCall.Stop(part.task, part.stopGrace), now);
    }

    private boolean runPending(Part part) {
        Predicate<WorkerCall> ofPart =
                call -> call instanceof WorkerCall.Run run && run.task().equals(part.task);
        return calls.isPending(ofPart);
    }

    private boolean stopPending(Part part) {
        Predicate<WorkerCall> ofPart =
                call -> call instanceof WorkerCall.Stop stop && stop.task().equals(part.task);
        return calls.isPending(ofPart);
    }

    /** Returns whether the lease is renewed; that of a task that missed its stop deadline is left to expire. */
    private static boolean renewable(Part part, long now) {
        return part.phase != PartPhase.STOPPING || now < part.stopDeadline;
    }

    private void renewLeases(long now) {
        if (now < nextRenewal || calls.isPending(WorkerCall.Renew.class::isInstance)) {
            return;
        }
        List<TaskIdentifier> tasks = parts.live()
                .filter(part -> part.confirmed() && renewable(part, now))
                .map(part -> part.task)
                .toList();
        nextRenewal = now + AgentTimings.RENEW_MILLISECONDS;
        if (!tasks.isEmpty()) {
            calls.call(new WorkerCall.Renew(tasks, AgentTimings.LEASE_MILLISECONDS), now);
        }
    }

    private void list(long now) {
        if (now >= nextListing && !calls.isPending(WorkerCall.ListTasks.class::isInstance)) {
            boolean live = parts.live().findAny().isPresent();
            calls.call(new WorkerCall.ListTasks(version, live ? AgentTimings.LIST_WAIT_MILLISECONDS : 0), now);
        }
    }
}
