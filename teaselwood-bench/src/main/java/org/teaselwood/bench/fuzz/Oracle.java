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
 * Checks a run by its externally visible behaviour: the requests and replies of callers and operators, and the tasks
 * that workers ran. Does not depend on entries, agents or internal messages. Confined to one thread.
 *
 * <p>Each check is labelled with the number of the property in docs/design.md, which also defines the bounds.
 */
final class Oracle {
    /**
     * Maximum time for which some but not all parts of a gang may run. If the placer or the network is lost, parts run
     * for 12 s without RenewGang plus a grace period of 3 s; if the agent is lost, the worker's lease expires after
     * 15 s. Retries of a start add 5 s.
     */
    static final long PARTIAL_GANG_MILLISECONDS = 20_000;

    /** Time after which a configuration is in force, and after which a draining backend server starts no new task. */
    static final long CONFIGURATION_MILLISECONDS = 7_000;

    private final List<String> violations = new ArrayList<>();
    private final Map<String, KeyHistory> keys = new TreeMap<>();
    private final Map<AttemptIdentifier, Gang> gangs = new LinkedHashMap<>();
    private final Map<String, Long> revisionsInForce = new HashMap<>();
    private final Map<String, Long> outOfServiceServers = new HashMap<>();
    private final Map<String, Long> shuttingDownServers = new HashMap<>();

    /** Observed history of one request key of a team. */
    private static final class KeyHistory {
        private final Submission submission;
        private final Map<Integer, Integer> startsByPart = new TreeMap<>();
        /** Checkpoints of stopped attempts from which no task has been resumed yet, by part. */
        private final Map<Integer, String> resumable = new TreeMap<>();

        private int openSubmissions;
        private boolean reportedNotRun;
        private boolean started;

        KeyHistory(Submission submission) {
            this.submission = submission;
        }
    }

    /** States of the parts of one attempt. */
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

    void report(String property, long now, String text) {
        violations.add(property + " at " + now + " ms: " + text);
    }

    /** Records that a caller sends a submission. */
    void submissionSent(Submission submission) {
        KeyHistory history = keys.computeIfAbsent(submission.identity(), ignored -> new KeyHistory(submission));
        history.openSubmissions++;
        history.reportedNotRun = false;
    }

    /**
     * Records that a caller received the outcome "not run". Checks it only if no other submission of the request key
     * may have run.
     */
    void reportedNotRun(Submission submission, boolean isOnlySubmission, long now) {
        KeyHistory history = keys.get(submission.identity());
        if (!isOnlySubmission) {
            return;
        }
        history.reportedNotRun = true;
        if (history.started) {
            report("P4", now, submission.identity() + " was reported as not run, but a task had started");
        }
    }

    /** Checks an answer that a caller received. */
    void answerReceived(Submission submission, byte[] content, long now) {
        byte[] expected = Workload.expectedAnswer(submission.team(), submission.requestKey(), submission.template());
        if (!Arrays.equals(expected, content)) {
            report("P3", now, submission.identity() + " received an incorrect or incomplete answer");
        }
    }

    /** Records and checks the start of a task. */
    void taskStarted(String server, TaskIdentifier task, TaskSpecification specification, long now) {
        String identity = Submission.identityOf(specification.team(), specification.requestKey());
        KeyHistory history = keys.get(identity);
        if (history == null) {
            report("P5", now, identity + " runs, but was never submitted");
            return;
        }
        history.started = true;
        if (history.reportedNotRun) {
            report("P4", now, identity + " starts as " + task + " after it was reported as not run");
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
        checkAcceptsWork(server, task, now);
        Gang gang = gangs.computeIfAbsent(task.attempt(), ignored -> new Gang(specification.parts()));
        setState(gang, task, State.RUNNING, now);
    }

    /** Records that a task was stopped with a checkpoint, from which the work may be resumed once. */
    void taskCheckpointed(TaskIdentifier task, TaskSpecification specification, int checkpoint) {
        KeyHistory history = keys.get(Submission.identityOf(specification.team(), specification.requestKey()));
        if (history != null) {
            history.resumable.put(task.part(), task.attempt() + "/" + checkpoint);
        }
    }

    /** Records the end of a task. */
    void taskEnded(String server, TaskIdentifier task, State state, long now) {
        Gang gang = gangs.get(task.attempt());
        if (gang != null) {
            setState(gang, task, state, now);
        }
    }

    /** Records that a backend server accepts no new work; no task may start after the given time. */
    void serverOutOfService(String server, long fromMilliseconds) {
        outOfServiceServers.put(server, fromMilliseconds);
    }

    /** Records that the configuration allows a backend server to accept work again. */
    void serverInService(String server) {
        outOfServiceServers.remove(server);
    }

    /** Records the shutdown of an agent; no task may start on its backend server after the given time. */
    void agentShuttingDown(String server, long fromMilliseconds) {
        shuttingDownServers.put(server, fromMilliseconds);
    }

    /** Records that a new agent process has started for a backend server. */
    void agentReplaced(String server) {
        shuttingDownServers.remove(server);
    }

    /** Records the revision in force at a process, which must never decrease. */
    void revisionInForce(String process, long revision, long now) {
        Long before = revisionsInForce.put(process, revision);
        if (before != null && before > revision) {
            report("P8", now, process + " has revision " + revision + " in force after " + before);
        }
    }

    /** Checks the time-dependent properties; called periodically and at the end of the run. */
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
            report(
                    "P2",
                    now,
                    "only some parts of " + attempt + " have been running since millisecond " + gang.partialSince);
            gang.partialSince = now;
        }
    }

    private void checkAcceptsWork(String server, TaskIdentifier task, long now) {
        long lastStartMilliseconds = Math.min(
                outOfServiceServers.getOrDefault(server, Long.MAX_VALUE),
                shuttingDownServers.getOrDefault(server, Long.MAX_VALUE));
        if (now > lastStartMilliseconds) {
            report(
                    "P6",
                    now,
                    server + " starts " + task + ", but must not accept new work since millisecond "
                            + lastStartMilliseconds);
        }
    }
}
