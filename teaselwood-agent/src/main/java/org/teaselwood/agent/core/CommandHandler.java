package org.teaselwood.agent.core;

import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.TaskIdentifier;

/**
 * Carries out the placer's commands. A command of an older term than the highest seen is refused. Every other command
 * can be repeated: it finds the state that its first arrival left and gives the same answer. A command about a part
 * that was never held here fences the attempt before it is answered, so that the answer stays true whatever arrives
 * later. Not thread-safe.
 */
final class CommandHandler {
    private final String serverName;
    private final PartTable parts;
    private final WorkerDriver worker;
    private final AnswerSender answers;
    private final EntryLink link;

    private Term term = Term.NONE;
    private long configurationRevision;
    private ServiceState serviceState = ServiceState.IN_SERVICE;
    private boolean leaving;
    /** Time since which new work is refused, meaningless while it is not. */
    private long closedSince;

    CommandHandler(String serverName, PartTable parts, WorkerDriver worker, AnswerSender answers, EntryLink link) {
        this.serverName = serverName;
        this.parts = parts;
        this.worker = worker;
        this.answers = answers;
        this.link = link;
    }

    Term term() {
        return term;
    }

    long configurationRevision() {
        return configurationRevision;
    }

    /** Whether new holds are refused because the backend server is leaving or not in service. */
    boolean refusesNewWork() {
        return leaving || serviceState != ServiceState.IN_SERVICE;
    }

    boolean isLeaving() {
        return leaving;
    }

    void leave(long now) {
        closedSince = refusesNewWork() ? closedSince : now;
        leaving = true;
    }

    /** Whether a hold that was granted before the server was closed must not start any more. */
    boolean holdsAreOver(long now) {
        return refusesNewWork() && now - closedSince >= AgentTimings.CLOSED_HOLD_MILLISECONDS;
    }

    /** Carries out a command of a placer or of the connected entry. */
    void handle(AgentCommand command, long now) {
        switch (command) {
            case AgentCommand.Hold hold when admits(hold.term()) -> hold(hold, now);
            case AgentCommand.Commit commit when admits(commit.term()) -> commit(commit, now);
            case AgentCommand.Start start when admits(start.term()) -> start(start, now);
            case AgentCommand.Stop stop when admits(stop.term()) -> stop(stop, now);
            case AgentCommand.Release release when admits(release.term()) -> release(release, now);
            case AgentCommand.Throttle throttle when admits(throttle.term()) -> throttle(throttle, now);
            case AgentCommand.RenewGang renewal when admits(renewal.term()) -> renew(renewal, now);
            case AgentCommand.ForgetAttempt forget when admits(forget.term()) -> forget(forget.attempt(), now);
            case AgentCommand.ServiceStateChanged changed -> serviceStateChanged(changed, now);
            default -> {
                // Commands of an older term were answered by admits; those of the link go to the agent core.
            }
        }
    }

    private boolean admits(Term given) {
        int order = given.compareTo(term);
        if (order < 0) {
            link.send(new AgentMessage.StaleTerm(given, term));
        } else if (order > 0) {
            term = given;
            answers.repeatAll();
        }
        return order >= 0;
    }

    private void hold(AgentCommand.Hold hold, long now) {
        TaskIdentifier task = new TaskIdentifier(hold.attempt(), hold.part());
        Part present = parts.find(task);
        if (present != null) {
            reply("Hold", present.report());
            return;
        }
        if (answeredByFence("Hold", task, now)) {
            return;
        }
        Part part = new Part(task, hold.specification(), hold.firstAccelerator());
        String obstacle = parts.obstacle(hold.specification().resources(), hold.firstAccelerator());
        if (refusesNewWork()) {
            refuseHold(part, ErrorKind.SERVER_LEAVING, serverName, now);
        } else if (!worker.available()) {
            refuseHold(part, ErrorKind.WORKER_UNAVAILABLE, "its last call failed", now);
        } else if (parts.all().size() >= AgentTimings.MAXIMUM_PARTS
                || parts.fences().size() >= AgentTimings.MAXIMUM_FENCES) {
            refuseHold(part, ErrorKind.OVERLOADED, "too many parts are remembered", now);
        } else if (!obstacle.isEmpty()) {
            refuseHold(part, ErrorKind.INSUFFICIENT_RESOURCES, obstacle, now);
        } else {
            part.deadline = now + hold.expiryMilliseconds();
            part.changedAt = now;
            parts.add(part);
            reply("Hold", part.report());
        }
    }

    private void refuseHold(Part part, ErrorKind kind, String detail, long now) {
        if (parts.fences().full()) {
            return;
        }
        part.phase = PartPhase.RELEASED;
        parts.fences().remember(part.task, part.report(), kind, detail, now);
        link.send(new AgentMessage.PartReply("Hold", part.report(), kind.code(), kind.message(detail)));
    }

    private void commit(AgentCommand.Commit commit, long now) {
        TaskIdentifier task = new TaskIdentifier(commit.attempt(), commit.part());
        Part part = parts.find(task);
        if (part == null) {
            refuseUnheld("Commit", task, now);
            return;
        }
        if (part.phase == PartPhase.HELD) {
            part.deadline = now + commit.timeoutMilliseconds();
            parts.changeSilently(part, PartPhase.COMMITTED, now);
        }
        reply("Commit", part.report());
    }

    private void start(AgentCommand.Start start, long now) {
        TaskIdentifier task = new TaskIdentifier(start.attempt(), start.part());
        Part part = parts.find(task);
        if (part == null) {
            refuseUnheld("Start", task, now);
            return;
        }
        if (part.phase == PartPhase.HELD && part.specification.parts() > 1) {
            ErrorKind kind = ErrorKind.BAD_REQUEST;
            String detail = kind.message("a part of several starts only after Commit");
            link.send(new AgentMessage.PartReply("Start", part.report(), kind.code(), detail));
            return;
        }
        if (part.phase == PartPhase.HELD || part.phase == PartPhase.COMMITTED) {
            parts.changeSilently(part, PartPhase.STARTED, now);
            worker.start(part, now);
        }
        reply("Start", part.report());
        answers.repeat(part);
    }

    private void stop(AgentCommand.Stop stop, long now) {
        TaskIdentifier task = new TaskIdentifier(stop.attempt(), stop.part());
        Part part = parts.find(task);
        if (part != null && part.live()) {
            parts.fence(stop.attempt(), task, now);
            worker.stop(part, stop.graceMilliseconds(), stop.reason(), now);
            reply("Stop", part.report());
        } else {
            releaseUnstarted("Stop", task, now);
        }
    }

    private void release(AgentCommand.Release release, long now) {
        releaseUnstarted("Release", new TaskIdentifier(release.attempt(), release.part()), now);
    }

    /** Fences the attempt; a part that has started is reported as it is. */
    private void releaseUnstarted(String request, TaskIdentifier task, long now) {
        Part part = parts.find(task);
        if (part != null && part.phase.mayHaveRun()) {
            parts.fence(task.attempt(), task, now);
            reply(request, part.report());
        } else if (remembered(task, now)) {
            reply(request, parts.fences().find(task).orElseThrow().report());
        }
    }

    private void throttle(AgentCommand.Throttle throttle, long now) {
        Part part = parts.find(new TaskIdentifier(throttle.attempt(), throttle.part()));
        if (part != null && part.live()) {
            worker.throttle(part, now);
        }
    }

    private void renew(AgentCommand.RenewGang renewal, long now) {
        renewal.attempts().stream()
                .flatMap(attempt -> parts.of(attempt).stream())
                .forEach(part -> part.gangDeadline = now + AgentTimings.GANG_LEASE_MILLISECONDS);
    }

    private void forget(AttemptIdentifier attempt, long now) {
        if (parts.fences().full() && !parts.fences().isFenced(attempt)) {
            return;
        }
        if (parts.of(attempt).stream().anyMatch(part -> !part.phase.mayHaveRun())) {
            parts.fence(attempt, null, now);
        }
        parts.fences().forget(attempt, now);
        for (Part part : parts.of(attempt)) {
            part.forgotten = true;
            if (part.live()) {
                worker.stop(part, 0, "forgotten", now);
            } else {
                worker.forget(part, now);
            }
        }
    }

    private void serviceStateChanged(AgentCommand.ServiceStateChanged changed, long now) {
        if (changed.revision() >= configurationRevision) {
            closedSince = refusesNewWork() ? closedSince : now;
            configurationRevision = changed.revision();
            serviceState = changed.state();
        }
    }

    /** Answers Hold of a part or an attempt that is fenced; false when there is no fence. */
    private boolean answeredByFence(String request, TaskIdentifier task, long now) {
        if (parts.fences().isFenced(task.attempt())) {
            refuseUnheld(request, task, now);
            return true;
        }
        parts.fences()
                .find(task)
                .ifPresent(fence -> link.send(
                        new AgentMessage.PartReply(request, fence.report(), fence.refusal(), fence.detail())));
        return parts.fences().find(task).isPresent();
    }

    private void refuseUnheld(String request, TaskIdentifier task, long now) {
        if (remembered(task, now)) {
            PartReport report = parts.fences().find(task).orElseThrow().report();
            ErrorKind kind = ErrorKind.ATTEMPT_FENCED;
            link.send(new AgentMessage.PartReply(request, report, kind.code(), kind.message(task.attempt())));
        }
    }

    /** Fences the attempt of a part that has not started; false when no fence can be kept, and then nothing is said. */
    private boolean remembered(TaskIdentifier task, long now) {
        if (parts.fences().full() && !parts.fences().isFenced(task.attempt())) {
            return false;
        }
        if (!parts.fences().isFenced(task.attempt())) {
            parts.fence(task.attempt(), task, now);
        }
        if (parts.fences().find(task).isEmpty()) {
            parts.fences().remember(task, PartTable.unknown(task), ErrorKind.ATTEMPT_FENCED, "never held", now);
        }
        return true;
    }

    private void reply(String request, PartReport report) {
        link.send(new AgentMessage.PartReply(request, report, "", ""));
    }
}
