package org.teaselwood.agent.core;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;
import org.teaselwood.protocol.worker.WorkerTask;
import org.teaselwood.standins.worker.BuiltInCommand;
import org.teaselwood.standins.worker.WorkerEngine;

/**
 * Runs the agent core in virtual time with random commands, process pauses, lost and delayed calls, lost connections
 * and agent restarts, once per seed. The worker executes calls late and out of order, and some of its replies are lost.
 */
class AgentCoreRandomTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 600;
    private static final int ACCELERATORS = 8;
    /** Longest delay after which the worker still executes a call; the client times out after 7 s and disconnects. */
    private static final long MAXIMUM_CALL_DELAY_MILLISECONDS = 30_000;

    private static final int TASK_ACCELERATORS = 2;

    static IntStream seeds() {
        return IntStream.range(0, SEEDS);
    }

    /** Guards against tasks that run twice or after they were reported as released, and resource leaks. */
    @ParameterizedTest
    @MethodSource("seeds")
    void no_task_runs_twice_or_after_its_release_and_all_resources_are_freed(int seed) {
        Run run = new Run(seed);
        for (int step = 0; step < STEPS; step++) {
            run.step();
            run.check();
        }
        run.runWithoutFaults();
        assertThat(run.core.parts().stream()
                        .filter(part -> part.report().phase().holdsResources())
                        .toList())
                .isEmpty();
    }

    /** One simulation run. */
    private static final class Run implements AgentEffects {
        private record Call(String incarnation, long token, WorkerCall call, long sentAt) {}

        private final Random random;
        private final WorkerEngine worker = new WorkerEngine(1, 1_000);
        private final List<Call> calls = new ArrayList<>();
        private final Map<TaskIdentifier, Integer> firstAccelerators = new HashMap<>();
        private final Set<TaskIdentifier> released = new HashSet<>();
        private AgentCore core;
        private String incarnation = "";
        private int restarts;
        private long now = 1_000;
        private long link;
        private long term = 1;

        Run(int seed) {
            this.random = new Random(seed);
            restart();
        }

        void step() {
            int choice = random.nextInt(1_000);
            if (choice < 300) {
                advance(100);
            } else if (choice < 600) {
                executeCall(random.nextInt(10) > 0);
            } else if (choice < 930) {
                core.handle(new AgentEvent.CommandReceived(link, command()), now);
            } else if (choice < 950) {
                now += random.nextInt(30_000);
            } else if (choice < 970) {
                reconnect();
            } else if (choice < 975) {
                restart();
            } else if (choice < 980) {
                worker.loseTasks();
            } else if (!calls.isEmpty()) {
                calls.remove(random.nextInt(calls.size()));
            }
        }

        void check() {
            List<TaskIdentifier> runs = worker.runs();
            assertThat(runs).containsNoDuplicates();
            requireDisjoint(core.parts().stream()
                    .map(AgentMessage.HeldPart::report)
                    .filter(report -> report.phase().holdsResources())
                    .map(PartReport::firstAccelerator)
                    .toList());
            requireDisjoint(worker.tasks().values().stream()
                    .filter(task -> task.state() == WorkerTask.State.RUNNING)
                    .map(task -> firstAccelerators.get(task.task()))
                    .toList());
        }

        private static void requireDisjoint(List<Integer> firstAccelerators) {
            BitSet used = new BitSet();
            for (int first : firstAccelerators) {
                assertWithMessage("used among %s", firstAccelerators)
                        .that(used.get(first, first + TASK_ACCELERATORS).isEmpty())
                        .isTrue();
                used.set(first, first + TASK_ACCELERATORS);
            }
        }

        /** Runs without further faults until all holds have expired, tasks have finished and gangs have stopped. */
        void runWithoutFaults() {
            for (int round = 0; round < 1_500; round++) {
                while (!calls.isEmpty()) {
                    executeCall(true);
                }
                advance(100);
                check();
            }
        }

        private void executeCall(boolean replied) {
            calls.removeIf(call -> now - call.sentAt() > MAXIMUM_CALL_DELAY_MILLISECONDS);
            if (calls.isEmpty()) {
                return;
            }
            Call call = calls.remove(random.nextInt(calls.size()));
            int before = worker.runs().size();
            WorkerReply reply = worker.handle(call.call(), now);
            worker.runs().stream()
                    .skip(before)
                    .forEach(task -> assertThat(released).doesNotContain(task));
            if (replied && call.incarnation().equals(incarnation)) {
                core.handle(new AgentEvent.WorkerReplied(call.token(), reply), now);
            }
        }

        private void advance(long milliseconds) {
            now += milliseconds;
            core.handle(new AgentEvent.Tick(), now);
        }

        private void reconnect() {
            core.handle(new AgentEvent.ConnectionClosed(link), now);
            link++;
            core.handle(new AgentEvent.ConnectionOpened(link), now);
        }

        /** Restarts the agent. Earlier jobs are not used again, because the placer detects the new incarnation. */
        private void restart() {
            restarts++;
            incarnation = "incarnation-" + restarts;
            core = new AgentCore(
                    new BackendServer("w1", "r", "d", "k", Set.of(), ACCELERATORS, 32, 1000, 8, 64, 1.0),
                    incarnation,
                    this);
            core.handle(new AgentEvent.ProcessStarted(), now);
            reconnect();
        }

        private AgentCommand command() {
            term += random.nextInt(100) == 0 ? 1 : 0;
            Term commandTerm = new Term(random.nextInt(20) == 0 ? term - 1 : term, "e1");
            int job = random.nextInt(6);
            AttemptIdentifier attempt = new AttemptIdentifier(
                    new JobIdentifier(restarts + "-" + job), 1 + random.nextInt(1 + (int) Math.min(20, now / 20_000)));
            int part = job < 3 ? 0 : random.nextInt(2);
            return switch (random.nextInt(12)) {
                case 0, 1, 2 ->
                    new AgentCommand.Hold(commandTerm, attempt, part, random.nextInt(7), specification(job), 10_000);
                case 3, 4 -> new AgentCommand.Commit(commandTerm, attempt, part, 10_000);
                case 5, 6, 7 -> new AgentCommand.Start(commandTerm, attempt, part);
                case 8 -> new AgentCommand.Stop(commandTerm, attempt, part, random.nextInt(3_000), "random");
                case 9 -> new AgentCommand.Release(commandTerm, attempt, part);
                case 10 -> new AgentCommand.RenewGang(commandTerm, List.of(attempt));
                default -> new AgentCommand.ForgetAttempt(commandTerm, attempt);
            };
        }

        private static TaskSpecification specification(int job) {
            int parts = job < 3 ? 1 : 2;
            return new TaskSpecification(
                    "team",
                    "template",
                    job == 1 ? "fail" : "transform",
                    Map.of(BuiltInCommand.RUN_MILLISECONDS, String.valueOf(job * 2_000)),
                    PartResources.ofAccelerators(TASK_ACCELERATORS),
                    parts,
                    job == 5 ? 2 : 1,
                    false,
                    false,
                    true,
                    job % 2 == 0,
                    0,
                    "key",
                    "");
        }

        private void recordRelease(PartReport report) {
            if (report.phase() == PartPhase.RELEASED) {
                released.add(new TaskIdentifier(report.attempt(), report.part()));
            }
        }

        @Override
        public void send(long to, AgentMessage message) {
            switch (message) {
                case AgentMessage.PartReply reply -> recordRelease(reply.report());
                case AgentMessage.PartChanged changed -> recordRelease(changed.report());
                case AgentMessage.AgentHello hello -> hello.parts().forEach(part -> recordRelease(part.report()));
                default -> {
                    // Contains no part report.
                }
            }
        }

        @Override
        public void callWorker(long token, WorkerCall call) {
            calls.add(new Call(incarnation, token, call, now));
            if (call instanceof WorkerCall.Run run) {
                firstAccelerators.put(run.task(), run.firstAccelerator());
            }
        }

        @Override
        public void closeConnection(long closed) {
            // The next reconnect opens a new connection.
        }

        @Override
        public void entriesReceived(String connectedEntry, List<EntryAddress> entries) {
            // Not checked by this test.
        }

        @Override
        public void connectToAnotherEntry() {
            // Not checked by this test.
        }

        @Override
        public void drained() {
            throw new AssertionError("drained without a requested shutdown");
        }

        @Override
        public void log(String message, String job) {
            // Not checked by this test.
        }
    }
}
