package org.teaselwood.entry.placer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.teaselwood.entry.placer.Attempt.Stage;
import org.teaselwood.entry.relay.PartKey;
import org.teaselwood.model.Answer;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.policy.AttemptResult;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;

/**
 * Runs the protocol of attempts with the agents: hold, commit, start, stop and release. Each report advances its
 * attempt as far as the phases of the parts allow. The commands of the current stage are sent, and resent until
 * the phase of the part shows that the agent executed them. {@code Start} is sent only after all parts of a gang
 * have committed and at least half of the commit timeout is left, so no part of a gang starts after another part
 * was released.
 */
final class AttemptProtocol {
    /** Interval at which each running part is confirmed. 1,130 tasks in a region cause 19 small messages a second. */
    private static final long CONFIRMATION_INTERVAL_MILLISECONDS = 60_000;

    private static final String HOLD = "Hold";
    private static final String COMMIT = "Commit";
    private static final String START = "Start";
    private static final String STOP = "Stop";
    private static final String RELEASE = "Release";

    /** Interval for running attempts, which are numerous and only need commands resent for missing answers. */
    private static final long SLOW_TICK_MILLISECONDS = 1_000;

    private final PlacerState state;
    private final AttemptListener listener;
    private long gangsRenewedAt = Long.MIN_VALUE;
    private long slowTickAt = Long.MIN_VALUE;

    AttemptProtocol(PlacerState state, AttemptListener listener) {
        this.state = state;
        this.listener = listener;
    }

    /** Advances an attempt as far as the phases of its parts allow, and sends the commands that are due. */
    void advance(Attempt attempt) {
        Stage before;
        do {
            before = attempt.stage();
            step(attempt);
        } while (before != attempt.stage() && isOpen(attempt));
        if (isOpen(attempt)) {
            attempt.parts().forEach(part -> sendDueCommand(attempt, part));
        }
    }

    /** Applies an agent's report of a part; the request in the reply is empty if the report is unsolicited. */
    void report(KnownAgent agent, AgentMessage.PartReply reply) {
        state.attempt(reply.report().attempt()).ifPresent(attempt -> {
            int index = reply.report().part();
            if (index < 0 || index >= attempt.parts().size()) {
                return;
            }
            AttemptPart part = attempt.parts().get(index);
            if (!part.server().equals(agent.name())) {
                if (attempt.stage() != Stage.RECOVERING || !part.server().isEmpty()) {
                    return;
                }
                part.assignTo(agent.name(), agent.incarnation());
            }
            if (!part.incarnation().equals(agent.incarnation())) {
                // A restarted agent has no state of parts that were started before, so a part that it fences may still
                // have run.
                if (!reply.report().phase().mayHaveRun()) {
                    part.markLost();
                    advance(attempt);
                    return;
                }
                part.assignTo(agent.name(), agent.incarnation());
            }
            int checkpoint = attempt.commonCheckpoint();
            part.applyReport(reply.report(), state.now());
            if (!reply.refusal().isEmpty() && reply.request().equalsIgnoreCase(part.command())) {
                part.recordRefusal(reply.detail().isEmpty() ? reply.refusal() : reply.detail());
            }
            if (attempt.commonCheckpoint() > checkpoint) {
                listener.checkpointed(attempt);
            }
            advance(attempt);
        });
    }

    /**
     * Stores the complete answer of a part. A corrupted one is requested again, one that is too large fails the job.
     */
    void answerReceived(KnownAgent agent, AgentMessage.AnswerPart message) {
        state.attempt(message.attempt()).ifPresent(attempt -> {
            if (message.part() < 0 || message.part() >= attempt.parts().size()) {
                return;
            }
            AttemptPart part = attempt.parts().get(message.part());
            if (!part.server().equals(agent.name()) || part.answer() != null) {
                return;
            }
            try {
                part.setAnswer(Answer.verified(message.content(), message.length(), message.checksum()));
            } catch (TeaselwoodException exception) {
                state.context()
                        .effects()
                        .log(exception.getMessage(), attempt.identifier().toString(), "");
                if (exception.kind() != ErrorKind.ANSWER_TOO_LARGE) {
                    return;
                }
                attempt.failPermanently(exception);
            }
            advance(attempt);
        });
    }

    /** Begins to stop or release all parts; the attempt ends when no part holds resources. */
    void end(Attempt attempt, AttemptResult result, List<String> faultyServers, String failure, long grace) {
        if (attempt.stage() == Stage.ENDING) {
            attempt.shortenGrace(grace);
        } else {
            attempt.end(result, faultyServers, failure, grace);
        }
        advance(attempt);
    }

    /** Continues an attempt whose start marker was written to the key-value service. */
    void startMarkerWritten(Attempt attempt) {
        if (attempt.stage() == Stage.MARKING) {
            commitOrStart(attempt);
            advance(attempt);
        }
    }

    /** Marks the parts on a lost server as lost. */
    void serverLost(String server) {
        loseParts((attempt, part) -> part.server().equals(server));
    }

    /**
     * Marks as lost the parts that an agent's hello omits although the agent acknowledged them, or that were assigned
     * to an earlier incarnation of it.
     */
    void reconcileParts(KnownAgent agent, Set<PartKey> listed) {
        loseParts((attempt, part) -> missing(attempt, part, agent, listed));
    }

    private void loseParts(BiPredicate<Attempt, AttemptPart> isLost) {
        for (Attempt attempt : state.attempts()) {
            List<AttemptPart> parts = attempt.parts().stream()
                    .filter(part -> isLost.test(attempt, part))
                    .toList();
            if (!parts.isEmpty()) {
                parts.forEach(AttemptPart::markLost);
                advance(attempt);
            }
        }
    }

    private static boolean missing(Attempt attempt, AttemptPart part, KnownAgent agent, Set<PartKey> listed) {
        boolean same = part.incarnation().equals(agent.incarnation());
        return part.server().equals(agent.name())
                && !part.settled()
                && !(same && part.phase() == null)
                && !listed.contains(new PartKey(attempt.identifier(), part.index()));
    }

    /** Resends unanswered commands, ends attempts that timed out, and renews the leases of gangs. */
    void tick() {
        boolean slowTickDue = state.now() - SLOW_TICK_MILLISECONDS >= slowTickAt;
        if (slowTickDue) {
            slowTickAt = state.now();
        }
        state.attempts().stream()
                .filter(attempt -> slowTickDue || attempt.stage() != Stage.RUNNING)
                .forEach(this::advance);
        if (state.now() - state.context().timings().gangRenewalMilliseconds() >= gangsRenewedAt) {
            gangsRenewedAt = state.now();
            renewGangs();
        }
    }

    private void step(Attempt attempt) {
        Consumer<Attempt> step =
                switch (attempt.stage()) {
                    case HOLDING -> this::stepHolding;
                    case MARKING -> this::stepMarking;
                    case COMMITTING -> this::stepCommitting;
                    case STARTING, RUNNING -> this::stepRunning;
                    case ENDING -> this::stepEnding;
                    case RECOVERING -> this::stepRecovering;
                };
        step.accept(attempt);
    }

    private void stepHolding(Attempt attempt) {
        if (refusedBeforeStart(attempt)) {
            return;
        }
        if (attempt.all(part -> part.reached(PartPhase.HELD))) {
            if (attempt.job().repeatable()) {
                commitOrStart(attempt);
            } else {
                listener.startMarkerNeeded(attempt);
            }
        } else if (state.now() - attempt.createdAt() > holdMilliseconds() / 2) {
            refuse(
                    attempt,
                    attempt.serversOf(part -> part.phase() == null),
                    "agent did not acknowledge the hold in time");
        }
    }

    private void stepMarking(Attempt attempt) {
        // The hold may expire while the outcome of the write is unknown. Nothing starts then, and the marker is
        // replaced.
        refusedBeforeStart(attempt);
    }

    private void commitOrStart(Attempt attempt) {
        if (attempt.parts().size() == 1) {
            attempt.enterStarting();
        } else {
            attempt.enterCommitting(state.now());
        }
    }

    private void stepCommitting(Attempt attempt) {
        if (refusedBeforeStart(attempt)) {
            return;
        }
        boolean timedOut = state.now() - attempt.commitSentAt() > holdMilliseconds() / 2;
        if (timedOut) {
            refuse(
                    attempt,
                    attempt.serversOf(part -> !part.reached(PartPhase.COMMITTED)),
                    "agent did not acknowledge the commit in time");
        } else if (attempt.all(part -> part.reached(PartPhase.COMMITTED))) {
            attempt.enterStarting();
        }
    }

    private void stepRunning(Attempt attempt) {
        if (completeIfSucceeded(attempt)) {
            return;
        }
        List<String> failed = attempt.serversOf(part -> part.phase() == PartPhase.FAILED);
        if (!failed.isEmpty()) {
            attempt.end(AttemptResult.FAILED, failed, failureOf(attempt, PartPhase.FAILED), 0);
            return;
        }
        List<String> lost = attempt.serversOf(part -> part.lost() || part.phase() == PartPhase.LOST);
        boolean broken = !lost.isEmpty()
                || !attempt.all(part -> !part.lost() && !part.released() && part.phase() != PartPhase.STOPPED);
        boolean refused = attempt.stage() == Stage.STARTING && !attempt.all(part -> !part.refused());
        if (broken || refused) {
            attempt.end(AttemptResult.LOST, lost, "a part of the attempt was lost", 0);
        } else if (attempt.stage() == Stage.STARTING && attempt.all(AttemptPart::started)) {
            attempt.enter(Stage.RUNNING);
            listener.started(attempt);
        }
    }

    private void stepEnding(Attempt attempt) {
        if (attempt.all(AttemptPart::succeeded) && attempt.all(part -> !part.lost())) {
            completeIfSucceeded(attempt);
        } else if (attempt.all(AttemptPart::settled)) {
            state.close(attempt);
            listener.ended(attempt);
        }
    }

    private void stepRecovering(Attempt attempt) {
        long lostMilliseconds = state.context().timings().agentLostMilliseconds();
        if (state.now() - attempt.createdAt() >= lostMilliseconds) {
            attempt.parts().stream().filter(part -> part.phase() == null).forEach(AttemptPart::markLost);
        }
        boolean known = attempt.all(part -> part.lost() || part.started() || part.released());
        if (!known) {
            return;
        }
        if (attempt.all(AttemptPart::released)) {
            attempt.end(AttemptResult.REFUSED, List.of(), "released after a takeover because it had not started", 0);
        } else if (attempt.all(AttemptPart::started)) {
            attempt.enter(Stage.STARTING);
        } else {
            List<String> lost = attempt.serversOf(AttemptPart::lost);
            attempt.end(AttemptResult.LOST, lost, "a part of the attempt was lost during a takeover", 0);
        }
    }

    private boolean refusedBeforeStart(Attempt attempt) {
        List<String> servers = attempt.serversOf(part -> part.refused() || part.lost() || part.released());
        if (servers.isEmpty()) {
            return false;
        }
        refuse(
                attempt,
                servers,
                attempt.parts().stream()
                        .map(AttemptPart::failure)
                        .filter(text -> !text.isEmpty())
                        .findFirst()
                        .orElse("a hold expired or an agent was lost before the start"));
        return true;
    }

    private void refuse(Attempt attempt, List<String> servers, String detail) {
        attempt.end(AttemptResult.REFUSED, servers, detail, 0);
    }

    private boolean completeIfSucceeded(Attempt attempt) {
        if (!attempt.all(part -> part.succeeded() && part.answer() != null)) {
            return false;
        }
        try {
            Answer joined = Answer.join(
                    attempt.parts().stream().map(AttemptPart::answer).toList());
            state.close(attempt);
            listener.succeeded(attempt, joined);
        } catch (TeaselwoodException exception) {
            attempt.failPermanently(exception);
            state.close(attempt);
            listener.ended(attempt);
        }
        return true;
    }

    /** Sends the command that the stage of the attempt requires for a part, if it is due. */
    private void sendDueCommand(Attempt attempt, AttemptPart part) {
        String command = commandFor(attempt, part);
        if (command.isEmpty() || part.server().isEmpty()) {
            return;
        }
        if (part.commandDue(command, state.now(), state.context().timings().resendMilliseconds())) {
            part.recordSent(command, state.now());
            state.sendCommand(part.server(), message(attempt, part, command));
        }
    }

    private String commandFor(Attempt attempt, AttemptPart part) {
        if (part.lost()) {
            return "";
        }
        boolean answerMissing = part.succeeded() && part.answer() == null;
        return switch (attempt.stage()) {
            case HOLDING -> part.phase() == null ? HOLD : "";
            case MARKING -> "";
            case COMMITTING -> part.reached(PartPhase.COMMITTED) ? "" : COMMIT;
            // The agent replies to a repeated Start of a part that has succeeded by sending its answer again.
            case STARTING, RUNNING ->
                part.started() && !answerOverdue(part, answerMissing) && !confirmationDue(attempt, part) ? "" : START;
            case ENDING -> endCommand(attempt, part, answerMissing);
            case RECOVERING -> part.started() || part.released() ? "" : RELEASE;
        };
    }

    private String endCommand(Attempt attempt, AttemptPart part, boolean answerMissing) {
        if (part.settled()) {
            return answerOverdue(part, answerMissing) && attempt.all(AttemptPart::succeeded) ? START : "";
        }
        return part.started() ? STOP + attempt.graceMilliseconds() : RELEASE;
    }

    /**
     * Returns whether to confirm with the agent that it still has the part. A new placer may have adopted the part from
     * a snapshot taken before an earlier placer made the agent discard it, and no other message would reveal that.
     */
    private boolean confirmationDue(Attempt attempt, AttemptPart part) {
        return state.now() - Math.max(attempt.createdAt(), part.sentAt()) >= CONFIRMATION_INTERVAL_MILLISECONDS;
    }

    private boolean answerOverdue(AttemptPart part, boolean answerMissing) {
        return answerMissing
                && state.now() - part.succeededAt() >= state.context().timings().resendMilliseconds();
    }

    private AgentCommand message(Attempt attempt, AttemptPart part, String command) {
        AttemptIdentifier identifier = attempt.identifier();
        return switch (command) {
            case HOLD ->
                new AgentCommand.Hold(
                        state.term(),
                        identifier,
                        part.index(),
                        part.firstAccelerator(),
                        attempt.specification(),
                        holdMilliseconds());
            case COMMIT -> new AgentCommand.Commit(state.term(), identifier, part.index(), holdMilliseconds());
            case START -> new AgentCommand.Start(state.term(), identifier, part.index());
            case RELEASE -> new AgentCommand.Release(state.term(), identifier, part.index());
            default ->
                new AgentCommand.Stop(
                        state.term(), identifier, part.index(), attempt.graceMilliseconds(), attempt.failure());
        };
    }

    /**
     * Renews the leases of gangs whose agents are all responsive. A gang with a part on an unresponsive agent is not
     * renewed, so that all its parts stop when the lease expires.
     */
    private void renewGangs() {
        Map<String, List<AttemptIdentifier>> attemptsByServer = new TreeMap<>();
        long suspectMilliseconds = state.context().timings().agentSuspectMilliseconds();
        state.attempts().stream()
                .filter(attempt -> attempt.parts().size() > 1)
                .filter(attempt -> attempt.stage() != Stage.HOLDING && attempt.stage() != Stage.MARKING)
                .filter(attempt -> attempt.all(part -> !part.lost()
                        && (part.server().isEmpty()
                                || state.directory()
                                        .find(part.server())
                                        .filter(agent ->
                                                agent.unresponsiveMilliseconds(state.now()) < suspectMilliseconds)
                                        .isPresent())))
                .forEach(attempt -> attempt.serversOf(part -> true)
                        .forEach(server -> attemptsByServer
                                .computeIfAbsent(server, name -> new ArrayList<>())
                                .add(attempt.identifier())));
        attemptsByServer.forEach((server, identifiers) ->
                state.sendCommand(server, new AgentCommand.RenewGang(state.term(), List.copyOf(identifiers))));
    }

    private String failureOf(Attempt attempt, PartPhase phase) {
        return attempt.parts().stream()
                .filter(part -> part.phase() == phase)
                .map(AttemptPart::failure)
                .filter(text -> !text.isEmpty())
                .findFirst()
                .orElse(ErrorKind.TASK_FAILED.code());
    }

    private boolean isOpen(Attempt attempt) {
        return state.attempt(attempt.identifier())
                .filter(open -> open == attempt)
                .isPresent();
    }

    private long holdMilliseconds() {
        return state.context().timings().holdMilliseconds();
    }
}
