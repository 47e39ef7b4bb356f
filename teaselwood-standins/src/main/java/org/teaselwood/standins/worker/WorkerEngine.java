package org.teaselwood.standins.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.teaselwood.model.Answer;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;
import org.teaselwood.protocol.worker.WorkerTask;

/**
 * Core of the worker stand-in without its HTTP server: simulated tasks under leases. Deterministic, without clock,
 * threads or I/O; the caller passes the time, which never decreases. Not thread-safe.
 *
 * <p>Every call returns immediately. The server implements long polling and detects changes with {@link #version()}.
 */
public final class WorkerEngine {
    private static final int MAXIMUM_TASKS = 10_000;
    private static final long FORGOTTEN_TASK_RETENTION_MILLISECONDS = 600_000;

    private final long usageSampleIntervalMilliseconds;
    private final NavigableMap<TaskIdentifier, SimulatedTask> tasks = new TreeMap<>();
    private final List<TaskIdentifier> runs = new ArrayList<>();
    private WorkerFaults faults = WorkerFaults.NONE;
    private final Map<TaskIdentifier, Long> forgottenTasks = new LinkedHashMap<>();
    private String agentIncarnation = "";
    private long incarnation;
    private long version;

    /**
     * Creates an engine without tasks.
     *
     * @param firstVersion value that differs for every start of the worker, for example its start time
     * @param usageSampleIntervalMilliseconds interval between two samples of resource usage
     */
    public WorkerEngine(long firstVersion, long usageSampleIntervalMilliseconds) {
        this.version = firstVersion;
        this.incarnation = firstVersion;
        this.usageSampleIntervalMilliseconds = usageSampleIntervalMilliseconds;
    }

    /** Executes a call at the given time. */
    public WorkerReply handle(WorkerCall call, long now) {
        advance(now);
        return switch (call) {
            case WorkerCall.Adopt adopt -> adopt(adopt, now);
            case WorkerCall.ListTasks ignored ->
                new WorkerReply.Tasks(
                        incarnation,
                        version,
                        tasks.values().stream().map(SimulatedTask::status).toList());
            case WorkerCall.Run run -> run(run, now);
            case WorkerCall.Renew renew -> {
                renew.tasks().stream()
                        .map(tasks::get)
                        .filter(task -> task != null && task.running())
                        .forEach(task -> task.renew(now, renew.leaseMilliseconds()));
                yield new WorkerReply.Done();
            }
            case WorkerCall.Checkpoint checkpoint -> {
                SimulatedTask task = tasks.get(checkpoint.task());
                if (task != null && task.running() && task.takeCheckpoint()) {
                    version++;
                }
                yield new WorkerReply.Done();
            }
            case WorkerCall.Throttle throttle -> {
                SimulatedTask task = tasks.get(throttle.task());
                if (task != null) {
                    task.throttle();
                }
                yield new WorkerReply.Done();
            }
            case WorkerCall.Stop stop -> stop(stop, now);
            case WorkerCall.FetchAnswer fetch -> fetch(fetch);
            case WorkerCall.Forget forget -> {
                version += tasks.keySet().removeAll(forget.tasks()) ? 1 : 0;
                forget.tasks().forEach(task -> forgottenTasks.put(task, now + FORGOTTEN_TASK_RETENTION_MILLISECONDS));
                yield new WorkerReply.Done();
            }
        };
    }

    /** Advances all tasks to the given time. */
    public void advance(long now) {
        long ended = tasks.values().stream()
                .filter(task -> task.advance(now, faults, usageSampleIntervalMilliseconds))
                .count();
        version += ended;
        forgottenTasks.values().removeIf(until -> until <= now);
    }

    /** Returns a number that increases with every change of a task's state or checkpoint. */
    public long version() {
        return version;
    }

    /** Replaces the active faults; they take effect from the given time. */
    public void setFaults(WorkerFaults faults, long now) {
        advance(now);
        this.faults = faults;
    }

    /** Simulates a restart of the worker: all tasks are lost and the incarnation changes. */
    public void loseTasks() {
        tasks.clear();
        forgottenTasks.clear();
        agentIncarnation = "";
        version++;
        incarnation = version;
    }

    /**
     * Returns the tasks in the order in which they were started, with one element per start. Tests use it to check that
     * a task is started at most once.
     */
    public List<TaskIdentifier> runs() {
        return List.copyOf(runs);
    }

    /** Returns the states of all tasks by identifier. */
    public Map<TaskIdentifier, WorkerTask> tasks() {
        Map<TaskIdentifier, WorkerTask> states = new TreeMap<>();
        tasks.forEach((identifier, task) -> states.put(identifier, task.status()));
        return states;
    }

    private WorkerReply adopt(WorkerCall.Adopt adopt, long now) {
        agentIncarnation = adopt.incarnation();
        tasks.values().stream()
                .filter(SimulatedTask::running)
                .forEach(task -> task.renew(now, adopt.leaseMilliseconds()));
        return new WorkerReply.Adopted(
                incarnation,
                version,
                tasks.values().stream()
                        .filter(task -> task.specification != null)
                        .map(task ->
                                new WorkerReply.AdoptedTask(task.status(), task.specification, task.firstAccelerator))
                        .toList());
    }

    private WorkerReply run(WorkerCall.Run run, long now) {
        if (run.workerIncarnation() != incarnation) {
            return new WorkerReply.Refused(WorkerReply.Reason.OTHER_WORKER, "the worker was restarted");
        }
        if (!run.incarnation().equals(agentIncarnation)) {
            return new WorkerReply.Refused(
                    WorkerReply.Reason.OTHER_AGENT, "the worker was adopted by another agent process");
        }
        if (forgottenTasks.containsKey(run.task())) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "the task was forgotten");
        }
        SimulatedTask existing = tasks.get(run.task());
        if (existing != null) {
            return new WorkerReply.Ran(existing.status());
        }
        BuiltInCommand command = BuiltInCommand.of(run.specification().command());
        if (command == null) {
            return new WorkerReply.Refused(
                    WorkerReply.Reason.INVALID,
                    "unknown command " + run.specification().command());
        }
        if (tasks.size() >= MAXIMUM_TASKS) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "too many tasks");
        }
        try {
            SimulatedTask task = new SimulatedTask(run.task(), run.specification(), run.firstAccelerator(), command);
            task.start(now, run.leaseMilliseconds());
            tasks.put(run.task(), task);
            runs.add(run.task());
            if (faults.failsEverything()) {
                task.fail("simulated fault: every task fails");
            }
            task.advance(now, faults, usageSampleIntervalMilliseconds);
            version++;
            return new WorkerReply.Ran(task.status());
        } catch (NumberFormatException exception) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "a parameter is not a number");
        }
    }

    private WorkerReply stop(WorkerCall.Stop stop, long now) {
        SimulatedTask task = tasks.get(stop.task());
        if (task == null) {
            tasks.put(stop.task(), new SimulatedTask(stop.task()));
            version++;
        } else if (task.running()) {
            task.stop(now, stop.graceMilliseconds());
            version += task.advance(now, faults, usageSampleIntervalMilliseconds) ? 1 : 0;
        }
        return new WorkerReply.Done();
    }

    private WorkerReply fetch(WorkerCall.FetchAnswer fetch) {
        SimulatedTask task = tasks.get(fetch.task());
        if (task == null || !task.succeeded()) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "the task has no answer");
        }
        try {
            Answer answer = Answer.of(BuiltInCommand.answer(task.specification, task.task.part()));
            return new WorkerReply.AnswerContent(answer.content(), answer.length(), answer.checksum());
        } catch (TeaselwoodException exception) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, exception.getMessage());
        }
    }
}
