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
 * Carries out the commands of placers. Refuses a command whose term is older than the highest seen. All other commands
 * are idempotent: a duplicate is applied to the state that the first one left and gets the same reply. A command for a
 * part that was never held here fences the attempt before the reply is sent, so that a delayed Hold cannot make the
 * reply untrue. Not thread-safe.
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
    private boolean shuttingDown;
    /** Time from which new work has been refused; undefined while new work is accepted. */
    private long refusingSince;

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

    /** Returns whether new holds are refused because the agent is shutting down or the server is not in service. */
    boolean refusesNewWork() {
        return shuttingDown || serviceState != ServiceState.IN_SERVICE;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    void startShutdown(long now) {
        refusingSince = refusesNewWork() ? refusingSince : now;
        shuttingDown = true;
    }

    /** Returns whether holds granted before the server stopped accepting work have expired. */
    boolean holdsExpired(long now) {
        return refusesNewWork() && now - refusingSince >= AgentTimings.HOLD_RELEASE_DELAY_MILLISECONDS;
    }

    /** Handles a command of a placer or of the connected entry. */
    void handle(AgentCommand command, long now) {
        switch (command) {
            case AgentCommand.Hold hold when acceptsTerm(hold.term()) -> hold(hold, now);
            case AgentCommand.Commit commit when acceptsTerm(commit.term()) -> commit(commit, now);
            case AgentCommand.Start start when acceptsTerm(start.term()) -> start(start, now);
            case AgentCommand.Stop stop when acceptsTerm(stop.term()) -> stop(stop, now);
            case AgentCommand.Release release when acceptsTerm(release.term()) -> release(release, now);
            case AgentCommand.Throttle throttle when acceptsTerm(throttle.term()) -> throttle(throttle, now);
            case AgentCommand.RenewGang renewal when acceptsTerm(renewal.term()) -> renew(renewal, now);
            case AgentCommand.ForgetAttempt forget when acceptsTerm(forget.term()) -> forget(forget.attempt(), now);
            case AgentCommand.ServiceStateChanged changed -> serviceStateChanged(changed, now);
            default -> {
                // acceptsTerm has replied to commands of an older term; the agent core handles those of the connection.
            }
        }
    }

    private boolean acceptsTerm(Term commandTerm) {
        int comparison = commandTerm.compareTo(term);
        if (comparison < 0) {
            link.send(new AgentMessage.StaleTerm(commandTerm, term));
        } else if (comparison > 0) {
            term = commandTerm;
            answers.resendAll();
        }
        return comparison >= 0;
    }

    private void hold(AgentCommand.Hold hold, long now) {
        TaskIdentifier task = new TaskIdentifier(hold.attempt(), hold.part());
        Part existing = parts.find(task);
        if (existing != null) {
            reply("Hold", existing.report());
            return;
        }
        if (refuseIfFenced("Hold", task, now)) {
            return;
        }
        Part part = new Part(task, hold.specification(), hold.firstAccelerator());
        String reservationError = parts.reservationError(hold.specification().resources(), hold.firstAccelerator());
        if (refusesNewWork()) {
            refuseHold(part, ErrorKind.SERVER_LEAVING, serverName, now);
        } else if (!worker.isAvailable()) {
            refuseHold(part, ErrorKind.WORKER_UNAVAILABLE, "the last call to it failed", now);
        } else if (parts.all().size() >= AgentTimings.MAXIMUM_PARTS
                || parts.fences().size() >= AgentTimings.MAXIMUM_FENCES) {
            refuseHold(part, ErrorKind.OVERLOADED, "the limit of parts or fences is reached", now);
        } else if (!reservationError.isEmpty()) {
            refuseHold(part, ErrorKind.INSUFFICIENT_RESOURCES, reservationError, now);
        } else {
            part.deadline = now + hold.expiryMilliseconds();
            part.phaseChangedAt = now;
            parts.add(part);
            reply("Hold", part.report());
        }
    }

    private void refuseHold(Part part, ErrorKind kind, String detail, long now) {
        if (parts.fences().isFull()) {
            return;
        }
        part.phase = PartPhase.RELEASED;
        parts.fences().addPart(part.task, part.report(), kind, detail, now);
        link.send(new AgentMessage.PartReply("Hold", part.report(), kind.code(), kind.message(detail)));
    }

    private void commit(AgentCommand.Commit commit, long now) {
        TaskIdentifier task = new TaskIdentifier(commit.attempt(), commit.part());
        Part part = parts.find(task);
        if (part == null) {
            replyAttemptFenced("Commit", task, now);
            return;
        }
        if (part.phase == PartPhase.HELD) {
            part.deadline = now + commit.timeoutMilliseconds();
            parts.changePhaseWithoutReport(part, PartPhase.COMMITTED, now);
        }
        reply("Commit", part.report());
    }

    private void start(AgentCommand.Start start, long now) {
        TaskIdentifier task = new TaskIdentifier(start.attempt(), start.part());
        Part part = parts.find(task);
        if (part == null) {
            replyAttemptFenced("Start", task, now);
            return;
        }
        if (part.phase == PartPhase.HELD && part.specification.parts() > 1) {
            ErrorKind kind = ErrorKind.BAD_REQUEST;
            String detail = kind.message("an attempt of several parts needs Commit before Start");
            link.send(new AgentMessage.PartReply("Start", part.report(), kind.code(), detail));
            return;
        }
        if (part.phase == PartPhase.HELD || part.phase == PartPhase.COMMITTED) {
            parts.changePhaseWithoutReport(part, PartPhase.STARTED, now);
            worker.start(part, now);
        }
        reply("Start", part.report());
        answers.resend(part);
    }

    private void stop(AgentCommand.Stop stop, long now) {
        TaskIdentifier task = new TaskIdentifier(stop.attempt(), stop.part());
        Part part = parts.find(task);
        if (part != null && part.isLive()) {
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

    /** Fences the attempt and releases its parts that have not started; replies with the phase of a started part. */
    private void releaseUnstarted(String request, TaskIdentifier task, long now) {
        Part part = parts.find(task);
        if (part != null && part.phase.mayHaveRun()) {
            parts.fence(task.attempt(), task, now);
            reply(request, part.report());
        } else if (ensureFenced(task, now)) {
            reply(request, parts.fences().find(task).orElseThrow().report());
        }
    }

    private void throttle(AgentCommand.Throttle throttle, long now) {
        Part part = parts.find(new TaskIdentifier(throttle.attempt(), throttle.part()));
        if (part != null && part.isLive()) {
            worker.throttle(part, now);
        }
    }

    private void renew(AgentCommand.RenewGang renewal, long now) {
        renewal.attempts().stream()
                .flatMap(attempt -> parts.ofAttempt(attempt).stream())
                .forEach(part -> part.gangDeadline = now + AgentTimings.GANG_LEASE_MILLISECONDS);
    }

    private void forget(AttemptIdentifier attempt, long now) {
        if (parts.fences().isFull() && !parts.fences().isFenced(attempt)) {
            return;
        }
        if (parts.ofAttempt(attempt).stream().anyMatch(part -> !part.phase.mayHaveRun())) {
            parts.fence(attempt, null, now);
        }
        parts.fences().forget(attempt, now);
        for (Part part : parts.ofAttempt(attempt)) {
            part.forgotten = true;
            if (part.isLive()) {
                worker.stop(part, 0, "attempt forgotten", now);
            } else {
                worker.forget(part, now);
            }
        }
    }

    private void serviceStateChanged(AgentCommand.ServiceStateChanged changed, long now) {
        if (changed.revision() >= configurationRevision) {
            refusingSince = refusesNewWork() ? refusingSince : now;
            configurationRevision = changed.revision();
            serviceState = changed.state();
        }
    }

    /** Refuses a request for a fenced part or attempt; returns false if there is no fence. */
    private boolean refuseIfFenced(String request, TaskIdentifier task, long now) {
        if (parts.fences().isFenced(task.attempt())) {
            replyAttemptFenced(request, task, now);
            return true;
        }
        parts.fences()
                .find(task)
                .ifPresent(fence -> link.send(
                        new AgentMessage.PartReply(request, fence.report(), fence.refusal(), fence.detail())));
        return parts.fences().find(task).isPresent();
    }

    private void replyAttemptFenced(String request, TaskIdentifier task, long now) {
        if (ensureFenced(task, now)) {
            PartReport report = parts.fences().find(task).orElseThrow().report();
            ErrorKind kind = ErrorKind.ATTEMPT_FENCED;
            link.send(new AgentMessage.PartReply(request, report, kind.code(), kind.message(task.attempt())));
        }
    }

    /** Fences the attempt of an unstarted part; returns false, so that no reply is sent, if the table is full. */
    private boolean ensureFenced(TaskIdentifier task, long now) {
        if (parts.fences().isFull() && !parts.fences().isFenced(task.attempt())) {
            return false;
        }
        if (!parts.fences().isFenced(task.attempt())) {
            parts.fence(task.attempt(), task, now);
        }
        if (parts.fences().find(task).isEmpty()) {
            parts.fences().addPart(task, PartTable.neverHeldReport(task), ErrorKind.ATTEMPT_FENCED, "never held", now);
        }
        return true;
    }

    private void reply(String request, PartReport report) {
        link.send(new AgentMessage.PartReply(request, report, "", ""));
    }
}
