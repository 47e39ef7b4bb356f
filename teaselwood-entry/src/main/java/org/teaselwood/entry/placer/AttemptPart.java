package org.teaselwood.entry.placer;

import org.teaselwood.model.Answer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;

/** One part of an open attempt, as the placer knows it. Phases only advance, so that late reports change nothing. */
final class AttemptPart {
    private final int index;
    /** First of its accelerators, -1 for none or while a part of another placer's attempt has not been heard of. */
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
     * Notes a report.
     *
     * @return whether anything but the progress changed
     */
    boolean report(PartReport report, long now) {
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

    void seenAt(String newServer, String newIncarnation) {
        server = newServer;
        incarnation = newIncarnation;
    }

    /** The agent refused a command; when it refuses to repeat an answer, it has dropped the answer. */
    void refuse(String detail) {
        refused = true;
        failure = detail;
        if (succeeded() && answer == null) {
            lose();
        }
    }

    /** The agent is gone, and with it the part unless its fate is known. */
    void lose() {
        boolean whole = phase == PartPhase.SUCCEEDED && answer != null;
        boolean ended = phase != null && phase != PartPhase.SUCCEEDED && !phase.holdsResources();
        if (!whole && !ended) {
            lost = true;
        }
    }

    void answered(Answer whole) {
        answer = whole;
    }

    void used(double accelerators, long memory) {
        usedAccelerators = accelerators;
        usedMemory = memory;
    }

    /** Whether a command is due: it was never sent, or it is unanswered for a time. */
    boolean due(String next, long now, long resendMilliseconds) {
        return !command.equals(next) || now - sentAt >= resendMilliseconds;
    }

    void sent(String newCommand, long now) {
        command = newCommand;
        sentAt = now;
    }

    /** Time at which the newest command was sent, 0 before the first. */
    long sentAt() {
        return sentAt;
    }

    /** Whether nothing can change any more. */
    boolean settled() {
        return lost || phase != null && !phase.holdsResources() || phase == null && command.isEmpty();
    }

    boolean started() {
        return phase != null && phase.mayHaveRun();
    }

    boolean reached(PartPhase least) {
        return phase != null && phase != PartPhase.RELEASED && phase.ordinal() >= least.ordinal();
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
