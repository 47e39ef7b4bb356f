package org.teaselwood.entry.placer;

import org.teaselwood.model.Answer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;

/** The placer's view of one part of an open attempt. The phase only advances, so delayed reports have no effect. */
final class AttemptPart {
    private final int index;
    /** First accelerator of the part, -1 if it has none or if an earlier placer opened it and no report arrived yet. */
    private int firstAccelerator;

    private String server;
    private String incarnation;
    private PartPhase phase;
    private boolean lost;
    private boolean refused;
    private String failure = "";
    private int progress;
    private int checkpoint;
    private Answer answer;
    private double usedAccelerators;
    private long usedMemory;

    private String command = "";
    private long sentAt;
    private long succeededAt;

    AttemptPart(int index, String server, String incarnation, int firstAccelerator) {
        this.index = index;
        this.server = server;
        this.incarnation = incarnation;
        this.firstAccelerator = firstAccelerator;
    }

    /**
     * Applies a report of the agent.
     *
     * @return whether the phase or the checkpoint changed
     */
    boolean applyReport(PartReport report, long now) {
        progress = Math.max(progress, report.progressPercent());
        firstAccelerator = Math.max(firstAccelerator, report.firstAccelerator());
        boolean changed = report.checkpoint() > checkpoint;
        checkpoint = Math.max(checkpoint, report.checkpoint());
        boolean terminal = phase != null && !phase.holdsResources();
        if (terminal || phase != null && report.phase().ordinal() <= phase.ordinal()) {
            return changed;
        }
        phase = report.phase();
        failure = report.failure();
        succeededAt = now;
        return true;
    }

    void assignTo(String newServer, String newIncarnation) {
        server = newServer;
        incarnation = newIncarnation;
    }

    /**
     * Records that the agent refused a command. An agent that refuses to resend an answer no longer has it, so the part
     * is lost.
     */
    void recordRefusal(String detail) {
        refused = true;
        failure = detail;
        if (succeeded() && answer == null) {
            markLost();
        }
    }

    /** Marks the part as lost with its agent, unless it has ended or succeeded with its answer already received. */
    void markLost() {
        boolean answered = phase == PartPhase.SUCCEEDED && answer != null;
        boolean ended = phase != null && phase != PartPhase.SUCCEEDED && !phase.holdsResources();
        if (!answered && !ended) {
            lost = true;
        }
    }

    void setAnswer(Answer newAnswer) {
        answer = newAnswer;
    }

    void recordUsage(double accelerators, long memory) {
        usedAccelerators = accelerators;
        usedMemory = memory;
    }

    /** Returns whether to send a command: it is not the last one sent, or the resend interval has passed. */
    boolean commandDue(String next, long now, long resendMilliseconds) {
        return !command.equals(next) || now - sentAt >= resendMilliseconds;
    }

    void recordSent(String newCommand, long now) {
        command = newCommand;
        sentAt = now;
    }

    /** Returns the time at which the last command was sent, 0 if none was. */
    long sentAt() {
        return sentAt;
    }

    /** Returns whether the part holds no resources, as far as is known: lost, ended, or never requested. */
    boolean settled() {
        return lost || phase != null && !phase.holdsResources() || phase == null && command.isEmpty();
    }

    boolean started() {
        return phase != null && phase.mayHaveRun();
    }

    boolean reached(PartPhase minimum) {
        return phase != null && phase != PartPhase.RELEASED && phase.ordinal() >= minimum.ordinal();
    }

    boolean released() {
        return phase == PartPhase.RELEASED;
    }

    boolean succeeded() {
        return phase == PartPhase.SUCCEEDED;
    }

    int index() {
        return index;
    }

    int firstAccelerator() {
        return firstAccelerator;
    }

    String server() {
        return server;
    }

    String incarnation() {
        return incarnation;
    }

    PartPhase phase() {
        return phase;
    }

    boolean lost() {
        return lost;
    }

    boolean refused() {
        return refused;
    }

    String failure() {
        return failure;
    }

    int progress() {
        return progress;
    }

    int checkpoint() {
        return checkpoint;
    }

    Answer answer() {
        return answer;
    }

    double usedAccelerators() {
        return usedAccelerators;
    }

    long usedMemory() {
        return usedMemory;
    }

    String command() {
        return command;
    }

    long succeededAt() {
        return succeededAt;
    }
}
