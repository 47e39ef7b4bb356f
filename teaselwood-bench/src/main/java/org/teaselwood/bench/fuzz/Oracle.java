package org.teaselwood.bench.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerTask.State;

/**
 * Judges a run by what can be seen from outside: what callers and operators asked and were told, and what workers ran.
 * It knows nothing of entries, agents or messages. Confined to one thread.
 *
 * <p>Each check bears the number of the promise in docs/design.md. Bounds come from there.
 */
final class Oracle {
    /**
     * Longest time that some but not all parts of a gang may run: 12 s without RenewGang and 3 s of grace when the
     * placer or the network is gone, 15 s when the agent is gone and the worker's lease lapses, and the 5 s in which a
     * start is repeated.
     */
    static final long PARTIAL_GANG_MILLISECONDS = 20_000;

    /** A configuration is in force, and a leaving backend server starts nothing new, after this time. */
    static final long CONFIGURATION_MILLISECONDS = 7_000;

    private final List<String> violations = new ArrayList<>();
    private final Map<String, KeyHistory> keys = new TreeMap<>();
    private final Map<AttemptIdentifier, Gang> gangs = new LinkedHashMap<>();
    private final Map<String, Long> shownRevisions = new HashMap<>();
    private final Map<String, Long> closedServers = new HashMap<>();
    private final Map<String, Long> leavingServers = new HashMap<>();

    /** What is known of one request key of a team. */
    private static final class KeyHistory {
        private final Submission submission;
        private final Map<Integer, Integer> startsByPart = new TreeMap<>();
        /** Checkpoints with which an attempt was stopped and from which nothing was resumed yet, by part. */
        private final Map<Integer, String> resumable = new TreeMap<>();

        private int openSubmissions;
        private boolean toldNotRun;
        private boolean started;

        KeyHistory(Submission submission) {
            this.submission = submission;
        }
    }

    /** Parts of one attempt that are running or have ended. */
    private static final class Gang {
        private final State[] states;
        private long partialSince = -1;

        Gang(int parts) {
            states = new State[parts];
        }

        boolean isPartial() {
            boolean running = Arrays.stream(states).anyMatch(state -> state == State.RUNNING);
            boolean missing =
                    Arrays.stream(states).anyMatch(state -> state != State.RUNNING && state != State.SUCCEEDED);
            return running && missing;
        }
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    void report(String promise, long now, String text) {
        violations.add(promise + " at " + now + " ms: " + text);
    }

    /** A caller sends a submission. */
    void submissionSent(Submission submission) {
        KeyHistory history = keys.computeIfAbsent(submission.identity(), ignored -> new KeyHistory(submission));
        history.openSubmissions++;
        history.toldNotRun = false;
    }

    /** A caller was told "not run"; checked only when no other submission of the key is unanswered. */
    void toldNotRun(Submission submission, boolean lastOpen, long now) {
        KeyHistory history = keys.get(submission.identity());
        if (!lastOpen) {
            return;
        }
        history.toldNotRun = true;
        if (history.started) {
            report("P4", now, submission.identity() + " was told not-run, but it had started");
        }
    }

    /** A caller received an answer. */
    void answerReceived(Submission submission, byte[] content, long now) {
        byte[] expected = Workload.wholeAnswer(submission.team(), submission.requestKey(), submission.template());
        if (!Arrays.equals(expected, content)) {
            report("P3", now, submission.identity() + " received a wrong or partial answer");
        }
    }

    /** A worker starts a task. */
    void taskStarted(String server, TaskIdentifier task, TaskSpecification specification, long now) {
        String identity = Submission.identityOf(specification.team(), specification.requestKey());
        KeyHistory history = keys.get(identity);
        if (history == null) {
            report("P5", now, identity + " runs, but nobody submitted it");
            return;
        }
        history.started = true;
        if (history.toldNotRun) {
            report("P4", now, identity + " starts as " + task + " after its caller was told not-run");
        }
        int starts = history.startsByPart.merge(task.part(), 1, Integer::sum);
        boolean resumed = !specification.resumeFrom().isEmpty()
                && specification.resumeFrom().equals(history.resumable.remove(task.part()));
        if (!history.submission.repeatable() && starts > 1 && !resumed) {
            report(
                    "P5",
                    now,
                    identity + " is not repeatable and starts again as " + task + ", from checkpoint '"
                            + specification.resumeFrom() + "'");
        }
        checkLeaving(server, task, now);
        Gang gang = gangs.computeIfAbsent(task.attempt(), ignored -> new Gang(specification.parts()));
        setState(gang, task, State.RUNNING, now);
    }

    /** A task was stopped with a checkpoint, from which the work may go on once. */
    void taskCheckpointed(TaskIdentifier task, TaskSpecification specification, int checkpoint) {
        KeyHistory history = keys.get(Submission.identityOf(specification.team(), specification.requestKey()));
        if (history != null) {
            history.resumable.put(task.part(), task.attempt() + "/" + checkpoint);
        }
    }

    /** A task ends. */
    void taskEnded(String server, TaskIdentifier task, State state, long now) {
        Gang gang = gangs.get(task.attempt());
        if (gang != null) {
            setState(gang, task, state, now);
        }
    }

    /** A backend server was told to take no new work; nothing may start after the given time. */
    void serverClosed(String server, long fromMilliseconds) {
        closedServers.put(server, fromMilliseconds);
    }

    /** A backend server may take work again, as far as the configuration goes. */
    void serverOpened(String server) {
        closedServers.remove(server);
    }

    /** An agent was asked to stop; nothing may start on its backend server after the given time. */
    void agentLeaving(String server, long fromMilliseconds) {
        leavingServers.put(server, fromMilliseconds);
    }

    /** Another agent process has started for a backend server. */
    void agentReplaced(String server) {
        leavingServers.remove(server);
    }

    /** A process shows the revision that is in force there. */
    void revisionShown(String process, long revision, long now) {
        Long before = shownRevisions.put(process, revision);
        if (before != null && before > revision) {
            report("P8", now, process + " shows revision " + revision + " after " + before);
        }
    }

    /** Called from time to time, and at the end. */
    void check(long now) {
        gangs.forEach((attempt, gang) -> checkPartial(attempt, gang, now));
    }

    private void setState(Gang gang, TaskIdentifier task, State state, long now) {
        checkPartial(task.attempt(), gang, now);
        gang.states[task.part()] = state;
        if (!gang.isPartial()) {
            gang.partialSince = -1;
        } else if (gang.partialSince < 0) {
            gang.partialSince = now;
        }
    }

    private void checkPartial(AttemptIdentifier attempt, Gang gang, long now) {
        if (gang.partialSince >= 0 && now - gang.partialSince > PARTIAL_GANG_MILLISECONDS) {
            report("P2", now, "only some parts of " + attempt + " run since " + gang.partialSince);
            gang.partialSince = now;
        }
    }

    private void checkLeaving(String server, TaskIdentifier task, long now) {
        long closed = Math.min(
                closedServers.getOrDefault(server, Long.MAX_VALUE),
                leavingServers.getOrDefault(server, Long.MAX_VALUE));
        if (now > closed) {
            report("P6", now, server + " starts " + task + ", but takes no new work since " + closed);
        }
    }
}
