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
 * The worker stand-in without its HTTP server: simulated tasks under leases. Deterministic, without clock, thread or
 * I/O; the caller gives the time, which never falls. Not thread-safe.
 *
 * <p>A waiting listing is the server's business: this class always answers at once, and {@link #version()} tells
 * whether anything has changed.
 */
public final class WorkerEngine {
    private static final int MAXIMUM_TASKS = 10_000;
    private static final long FORGOTTEN_MILLISECONDS = 600_000;

    private final long usageLagMilliseconds;
    private final NavigableMap<TaskIdentifier, SimulatedTask> tasks = new TreeMap<>();
    private final List<TaskIdentifier> runs = new ArrayList<>();
    private WorkerFaults faults = WorkerFaults.NONE;
    private final Map<TaskIdentifier, Long> forgotten = new LinkedHashMap<>();
    private String agentIncarnation = "";
    private long incarnation;
    private long version;

    /**
     * An engine without tasks.
     *
     * @param firstVersion differs for every start of the worker, for example its time of start
     * @param usageLagMilliseconds time between two measurements of usage
     */
    public WorkerEngine(long firstVersion, long usageLagMilliseconds) {
        this.version = firstVersion;
        this.incarnation = firstVersion;
        this.usageLagMilliseconds = usageLagMilliseconds;
    }

    /** Carries out a call at the given time. */
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
                forget.tasks().forEach(task -> forgotten.put(task, now + FORGOTTEN_MILLISECONDS));
                yield new WorkerReply.Done();
            }
        };
    }

    /** Moves all tasks to the given time. */
    public void advance(long now) {
        long ended = tasks.values().stream()
                .filter(task -> task.advance(now, faults, usageLagMilliseconds))
                .count();
        version += ended;
        forgotten.values().removeIf(until -> until <= now);
    }

    /** Differs after every change of a task's state or checkpoint. */
    public long version() {
        return version;
    }

    /** Switches faults on or off; they hold for what happens from now on. */
    public void setFaults(WorkerFaults faults, long now) {
        advance(now);
        this.faults = faults;
    }

    /** Fault: the worker stops and is started again, without memory. */
    public void loseTasks() {
        tasks.clear();
        forgotten.clear();
        agentIncarnation = "";
        version++;
        incarnation = version;
    }

    /** Every task that was run, in order, once for each time; the oracle of at-most-once. */
    public List<TaskIdentifier> runs() {
        return List.copyOf(runs);
    }

    /** State of all tasks, by task. */
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
        if (forgotten.containsKey(run.task())) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "the task was forgotten");
        }
        SimulatedTask present = tasks.get(run.task());
        if (present != null) {
            return new WorkerReply.Ran(present.status());
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
            task.begin(now, run.leaseMilliseconds());
            tasks.put(run.task(), task);
            runs.add(run.task());
            if (faults.failsEverything()) {
                task.fail("the worker fails everything");
            }
            task.advance(now, faults, usageLagMilliseconds);
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
            version += task.advance(now, faults, usageLagMilliseconds) ? 1 : 0;
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
