package org.teaselwood.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.teaselwood.model.Answer;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;
import org.teaselwood.protocol.worker.WorkerTask;
import org.teaselwood.protocol.worker.WorkerTask.State;

/**
 * A worker in virtual time that reports the start and the end of every task to the oracle. Confined to the thread of
 * its virtual time.
 */
final class FakeWorker {
    private static final long CHECKPOINT_MILLISECONDS = 2_500;

    private final VirtualTime time;
    private final String server;
    private final Oracle oracle;
    private final Map<TaskIdentifier, Task> tasks = new TreeMap<>();
    private final List<PendingListing> pendingListings = new ArrayList<>();
    private final Set<TaskIdentifier> forgotten = new TreeSet<>();
    private final long workerIncarnation;
    private String incarnation = "";
    private long version;
    private boolean failsEverything;
    private boolean dead;

    private record PendingListing(long knownVersion, Consumer<WorkerReply> reply) {}

    FakeWorker(VirtualTime time, String server, Oracle oracle) {
        this.time = time;
        this.server = server;
        this.oracle = oracle;
        this.workerIncarnation = 1 + time.nowMilliseconds() * 1_000;
        this.version = workerIncarnation;
    }

    /** Simulates the loss of the VM: all running tasks stop at once. */
    void kill() {
        tasks.values().stream().filter(Task::isRunning).forEach(task -> task.end(State.STOPPED, ""));
        dead = true;
    }

    /** Returns whether any task is running. */
    boolean isRunning() {
        return tasks.values().stream().anyMatch(Task::isRunning);
    }

    /** Returns the number of accelerators held by running tasks of a team. */
    int acceleratorsHeldBy(String team) {
        return tasks.values().stream()
                .filter(task -> task.isRunning() && task.specification.team().equals(team))
                .mapToInt(task -> task.specification.resources().accelerators())
                .sum();
    }

    /** Returns whether a part of the request is running or has run on this worker. */
    boolean hasStarted(String requestKey) {
        return tasks.values().stream()
                .anyMatch(task -> task.specification != null
                        && task.specification.requestKey().equals(requestKey));
    }

    void setFailsEverything(boolean value) {
        failsEverything = value;
    }

    void call(WorkerCall call, Consumer<WorkerReply> reply) {
        if (dead) {
            return;
        }
        switch (call) {
            case WorkerCall.Adopt adopt -> reply.accept(adopt(adopt));
            case WorkerCall.ListTasks list -> list(list, reply);
            case WorkerCall.Run run -> reply.accept(run(run));
            case WorkerCall.Renew renew -> {
                renew.tasks().forEach(task -> renew(task, renew.leaseMilliseconds()));
                reply.accept(new WorkerReply.Done());
            }
            case WorkerCall.Checkpoint checkpoint -> {
                ifRunning(checkpoint.task(), Task::checkpoint);
                reply.accept(new WorkerReply.Done());
            }
            case WorkerCall.Throttle ignored -> reply.accept(new WorkerReply.Done());
            case WorkerCall.Stop stop -> {
                stop(stop.task(), stop.graceMilliseconds());
                reply.accept(new WorkerReply.Done());
            }
            case WorkerCall.FetchAnswer fetch -> reply.accept(answer(fetch.task()));
            case WorkerCall.Forget forget -> {
                forget.tasks().forEach(this::forget);
                reply.accept(new WorkerReply.Done());
            }
        }
    }

    private WorkerReply adopt(WorkerCall.Adopt adopt) {
        incarnation = adopt.incarnation();
        tasks.values().stream().filter(Task::isRunning).forEach(task -> task.renew(adopt.leaseMilliseconds()));
        return new WorkerReply.Adopted(
                workerIncarnation,
                version,
                tasks.values().stream()
                        .filter(task -> task.specification != null)
                        .map(task ->
                                new WorkerReply.AdoptedTask(task.status(), task.specification, task.firstAccelerator))
                        .toList());
    }

    private void list(WorkerCall.ListTasks list, Consumer<WorkerReply> reply) {
        if (list.knownVersion() != version) {
            reply.accept(listing());
            return;
        }
        PendingListing listing = new PendingListing(list.knownVersion(), reply);
        pendingListings.add(listing);
        time.schedule(list.waitMilliseconds(), () -> {
            if (!dead && pendingListings.remove(listing)) {
                reply.accept(listing());
            }
        });
    }

    private WorkerReply listing() {
        return new WorkerReply.Tasks(
                workerIncarnation,
                version,
                tasks.values().stream().map(Task::status).toList());
    }

    private WorkerReply run(WorkerCall.Run run) {
        Task known = tasks.get(run.task());
        if (known != null) {
            return new WorkerReply.Ran(known.status());
        }
        if (run.workerIncarnation() != workerIncarnation) {
            return new WorkerReply.Refused(WorkerReply.Reason.OTHER_WORKER, "the worker was restarted");
        }
        if (!run.incarnation().equals(incarnation)) {
            return new WorkerReply.Refused(WorkerReply.Reason.OTHER_AGENT, "another agent has adopted this worker");
        }
        if (forgotten.contains(run.task())) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "the task was forgotten");
        }
        Task task = new Task(run);
        tasks.put(run.task(), task);
        task.start();
        notifyChanged();
        return new WorkerReply.Ran(task.status());
    }

    private void renew(TaskIdentifier identifier, long leaseMilliseconds) {
        ifRunning(identifier, task -> task.renew(leaseMilliseconds));
    }

    /** Stops a task. A checkpointable task uses the grace period, but at most the duration of a checkpoint. */
    private void stop(TaskIdentifier identifier, long graceMilliseconds) {
        Task task = tasks.computeIfAbsent(identifier, Task::new);
        if (!task.isRunning()) {
            notifyChanged();
        } else if (task.specification.checkpointable() && graceMilliseconds > 0) {
            time.schedule(Math.min(graceMilliseconds, CHECKPOINT_MILLISECONDS), () -> stopWithCheckpoint(task));
        } else {
            if (task.checkpoint > 0) {
                oracle.taskCheckpointed(task.identifier, task.specification, task.checkpoint);
            }
            task.end(State.STOPPED, "");
            notifyChanged();
        }
    }

    private void stopWithCheckpoint(Task task) {
        if (!dead && task.isRunning()) {
            task.checkpoint();
            oracle.taskCheckpointed(task.identifier, task.specification, task.checkpoint);
            task.end(State.STOPPED, "");
            notifyChanged();
        }
    }

    private WorkerReply answer(TaskIdentifier identifier) {
        Task task = tasks.get(identifier);
        if (task == null || task.state != State.SUCCEEDED) {
            return new WorkerReply.Refused(WorkerReply.Reason.INVALID, "the task has no answer");
        }
        Answer answer = Answer.of(Workload.partAnswer(task.specification, identifier.part()));
        return new WorkerReply.AnswerContent(answer.content(), answer.length(), answer.checksum());
    }

    private void forget(TaskIdentifier identifier) {
        ifRunning(identifier, task -> task.end(State.STOPPED, ""));
        tasks.remove(identifier);
        forgotten.add(identifier);
        notifyChanged();
    }

    private void ifRunning(TaskIdentifier identifier, Consumer<Task> action) {
        Task task = tasks.get(identifier);
        if (task != null && task.isRunning()) {
            action.accept(task);
        }
    }

    private void notifyChanged() {
        version++;
        List<PendingListing> due = List.copyOf(pendingListings);
        pendingListings.clear();
        due.forEach(listing -> listing.reply().accept(listing()));
    }

    /** A task with its lease. */
    private final class Task {
        private final TaskIdentifier identifier;
        private final TaskSpecification specification;
        private final int firstAccelerator;
        private State state;
        private int checkpoint;
        private long leaseExpiryMilliseconds;
        private String failure = "";

        Task(WorkerCall.Run run) {
            identifier = run.task();
            specification = run.specification();
            firstAccelerator = run.firstAccelerator();
            state = State.RUNNING;
            renew(run.leaseMilliseconds());
        }

        /** Creates a task for which the stop arrived before the start, and which therefore never runs. */
        Task(TaskIdentifier identifier) {
            this.identifier = identifier;
            specification = null;
            firstAccelerator = -1;
            state = State.STOPPED;
        }

        void start() {
            oracle.taskStarted(server, identifier, specification, time.nowMilliseconds());
            time.schedule(Workload.runMilliseconds(specification), this::finish);
        }

        boolean isRunning() {
            return state == State.RUNNING;
        }

        void renew(long leaseMilliseconds) {
            leaseExpiryMilliseconds = time.nowMilliseconds() + leaseMilliseconds;
            time.schedule(leaseMilliseconds, this::checkLease);
        }

        void checkpoint() {
            if (specification.checkpointable()) {
                checkpoint++;
                notifyChanged();
            }
        }

        WorkerTask status() {
            return new WorkerTask(identifier, state, state == State.SUCCEEDED ? 100 : 0, checkpoint, 0, 0, failure);
        }

        private void finish() {
            if (dead || !isRunning()) {
                return;
            }
            if (failsEverything || Workload.fails(specification)) {
                end(State.FAILED, "the command failed");
            } else {
                end(State.SUCCEEDED, "");
            }
            notifyChanged();
        }

        private void checkLease() {
            if (!dead && isRunning() && time.nowMilliseconds() >= leaseExpiryMilliseconds) {
                end(State.LEASE_EXPIRED, "");
                notifyChanged();
            }
        }

        private void end(State end, String text) {
            state = end;
            failure = text;
            oracle.taskEnded(server, identifier, end, time.nowMilliseconds());
        }
    }
}
