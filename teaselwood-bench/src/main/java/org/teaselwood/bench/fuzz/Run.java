package org.teaselwood.bench.fuzz;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Template;
import org.teaselwood.policy.Scheduler;

/**
 * Executes one sequence of actions, waits for the recovery from all faults, and returns the violations that the oracle
 * found. Confined to one thread.
 */
final class Run {
    private static final long SETTLE_MILLISECONDS = 8_000;
    private static final long RECOVERY_LIMIT_MILLISECONDS = 300_000;
    /** Required consecutive settled steps; an accepted state change may become visible only after the first ones. */
    private static final int REQUIRED_SETTLED_STEPS = 3;

    private static final long RECOVERY_STEP_MILLISECONDS = 5_000;
    private static final long REPLACEMENT_MILLISECONDS = 4_000;
    private static final long AGENT_RESTART_MILLISECONDS = 1_000;
    private static final int BURST_SIZE = 12;

    private final SimulatedCluster cluster;
    private final Operator operator;
    private int submissions;
    /** Number of graceful shutdowns of entries and agents that have not completed. */
    private int pendingShutdowns;

    Run(long seed, Supplier<Scheduler> schedulers, boolean tracing) {
        cluster = new SimulatedCluster(seed, schedulers);
        operator = new Operator(cluster);
        if (tracing) {
            cluster.startTracing();
        }
    }

    /** Executes the run and returns its violations, empty if all properties hold. */
    List<String> execute(List<Action> actions) {
        operator.publishInitialConfiguration();
        cluster.advance(SETTLE_MILLISECONDS);
        actions.forEach(this::step);
        awaitRecovery();
        if (cluster.oracle().violations().isEmpty()) {
            new FaultFreePhase(cluster, this).execute();
        }
        cluster.oracle().check(cluster.time().nowMilliseconds());
        return cluster.oracle().violations();
    }

    /** Returns the number of callers by template and outcome, which shows what the run has exercised. */
    Map<String, Long> outcomes() {
        return cluster.callers().stream()
                .collect(Collectors.groupingBy(
                        caller -> caller.submission().template().name() + "-"
                                + caller.outcome().name().toLowerCase(Locale.ROOT),
                        TreeMap::new,
                        Collectors.counting()));
    }

    List<String> traceLines() {
        return cluster.traceLines();
    }

    private void step(Action action) {
        cluster.trace("action", action.toString());
        perform(action);
        cluster.advance(20 + action.amount() / 4);
    }

    private void perform(Action action) {
        long seconds = 1 + action.amount() % 40;
        switch (action.kind()) {
            case ADVANCE -> cluster.advance(action.amount() * 10L);
            case SUBMIT -> submit(action);
            case SUBMIT_BURST -> {
                for (int index = 0; index < BURST_SIZE; index++) {
                    submit(action);
                }
            }
            case SUBMIT_IN_BOTH_REGIONS -> submitInBothRegions(action);
            case CANCEL -> withCaller(action, FakeCaller::cancel);
            case CANCEL_ALL -> cluster.callers().forEach(FakeCaller::cancel);
            case REPEAT_SUBMISSION -> withCaller(action, FakeCaller::repeat);
            case KILL_ENTRY, STOP_ENTRY, PAUSE_ENTRY -> disruptEntry(action, seconds);
            case KILL_AGENT, STOP_AGENT, PAUSE_AGENT, KILL_VM, WORKER_FAILS_EVERYTHING -> disruptAgent(action, seconds);
            case KILL_RACK -> killRack(SimulatedCluster.DATA_CENTRES.get(action.target() % 3));
            case KILL_DATA_CENTRE -> killDataCentre(SimulatedCluster.DATA_CENTRES.get(action.target() % 3));
            case CUT_ONE_WAY, CUT_BOTH_WAYS, ISOLATE_DATA_CENTRE, SLOW_NETWORK, DUPLICATE_MESSAGES ->
                injectNetworkFault(action, seconds);
            case STORE_DOWN -> injectStoreFault(FakeStore.Mode.DOWN, 2 * seconds);
            case STORE_DOWN_FOR_ONE_REGION -> {
                String region = action.target() % 2 == 0 ? SimulatedCluster.REGION : SimulatedCluster.SECOND_REGION;
                cluster.store().setUnreachable(region, true);
                cluster.recordStoreFault(seconds * 1_000, () -> cluster.store().setUnreachable(region, false));
            }
            case STORE_SLOW -> injectStoreFault(FakeStore.Mode.SLOW, seconds);
            case STORE_LOSES_REPLIES -> injectStoreFault(FakeStore.Mode.LOSES_REPLIES, seconds / 4 + 1);
            case DRAIN -> operator.publishState(server(action), ServiceState.DRAINING);
            case UNDRAIN -> operator.publishState(server(action), ServiceState.IN_SERVICE);
            default -> {
                operator.publishState(server(action), ServiceState.DRAINING);
                operator.publishState(server(action), ServiceState.IN_SERVICE);
            }
        }
    }

    private void submit(Action action) {
        submissions++;
        Template template = Workload.TEMPLATES.get((action.target() + submissions) % Workload.TEMPLATES.size());
        boolean guaranteed = action.amount() % 3 != 0;
        boolean repeatable = action.amount() % 5 < 3;
        Submission submission = new Submission(
                guaranteed ? Workload.GUARANTEED_TEAM : Workload.BORROWING_TEAM,
                "key-" + submissions,
                template,
                Workload.parameters(100 + action.amount() * 20L, action.amount() % 17 == 0),
                repeatable || !guaranteed && !template.checkpointable(),
                action.amount() % 7 == 0,
                false);
        cluster.submit(
                submission, action.amount() % 11 == 0 ? SimulatedCluster.SECOND_REGION : SimulatedCluster.REGION);
    }

    /** Submits a request that is not repeatable in both regions under the same request key. */
    private void submitInBothRegions(Action action) {
        submissions++;
        Submission submission = new Submission(
                Workload.GUARANTEED_TEAM,
                "key-" + submissions,
                Workload.TEMPLATES.get(action.target() % Workload.TEMPLATES.size()),
                Workload.parameters(100 + action.amount() * 10L, false),
                false,
                false,
                true);
        cluster.submit(submission, SimulatedCluster.REGION);
        cluster.time().schedule(action.amount() % 5, () -> cluster.submit(submission, SimulatedCluster.SECOND_REGION));
    }

    private void withCaller(Action action, Consumer<FakeCaller> step) {
        List<FakeCaller> callers = cluster.callers();
        if (!callers.isEmpty()) {
            step.accept(callers.get(callers.size() - 1 - action.target() % callers.size()));
        }
    }

    private void disruptEntry(Action action, long seconds) {
        List<FakeEntry> entries = cluster.entries().stream()
                .filter(entry -> !entry.isShuttingDown() && !entry.node().isPaused())
                .toList();
        if (entries.isEmpty()) {
            return;
        }
        FakeEntry entry = entries.get(action.target() % entries.size());
        switch (action.kind()) {
            case KILL_ENTRY -> killEntry(entry, action.amount() % 2 == 0);
            case STOP_ENTRY -> replaceEntry(entry);
            default -> {
                entry.node().pause();
                cluster.recordFault(seconds * 1_000, entry.node()::resume);
            }
        }
    }

    private void killEntry(FakeEntry entry, boolean notifyPeers) {
        entry.node().kill();
        cluster.network().disconnect(entry.node(), notifyPeers);
        cluster.removeEntry(entry);
        cluster.recordFault(
                REPLACEMENT_MILLISECONDS, () -> cluster.startEntry(entry.node().dataCentre()));
    }

    /** Replaces an entry gracefully: the new entry starts before the old one shuts down. */
    void replaceEntry(FakeEntry entry) {
        cluster.startEntry(entry.node().dataCentre());
        pendingShutdowns++;
        cluster.time().schedule(2 * REPLACEMENT_MILLISECONDS, () -> {
            if (!entry.node().isDead() && !entry.isShuttingDown()) {
                entry.shutDown();
                exitWhenDrained(entry);
            } else {
                pendingShutdowns--;
            }
        });
    }

    private void exitWhenDrained(FakeEntry entry) {
        if (entry.isDrained()) {
            if (entry.pendingRequests() > 0
                    && !entry.node().isPaused()
                    && !entry.node().isDead()) {
                cluster.oracle()
                        .report(
                                "P7",
                                cluster.time().nowMilliseconds(),
                                entry.address().entry() + " exited with " + entry.pendingRequests()
                                        + " unanswered requests");
            }
            entry.node().kill();
            cluster.network().disconnect(entry.node(), true);
            cluster.removeEntry(entry);
            pendingShutdowns--;
        } else if (entry.node().isDead()) {
            pendingShutdowns--;
        } else {
            cluster.time().schedule(500, () -> exitWhenDrained(entry));
        }
    }

    private void disruptAgent(Action action, long seconds) {
        List<FakeAgent> agents = cluster.agents().stream()
                .filter(agent -> !agent.isShuttingDown()
                        && !agent.node().isPaused()
                        && !agent.node().isDead())
                .toList();
        if (agents.isEmpty()) {
            return;
        }
        FakeAgent agent = agents.get(action.target() % agents.size());
        switch (action.kind()) {
            case KILL_AGENT -> killAgent(agent, false);
            case KILL_VM -> killAgent(agent, true);
            case STOP_AGENT -> replaceAgent(agent);
            case PAUSE_AGENT -> {
                agent.node().pause();
                cluster.recordFault(seconds * 1_000, agent.node()::resume);
            }
            default -> {
                agent.worker().setFailsEverything(true);
                cluster.recordFault(seconds * 1_000, () -> agent.worker().setFailsEverything(false));
            }
        }
    }

    private void killAgent(FakeAgent agent, boolean withWorker) {
        agent.node().kill();
        cluster.network().disconnect(agent.node(), !withWorker);
        if (withWorker) {
            agent.worker().kill();
        }
        cluster.recordFault(
                withWorker ? 2 * REPLACEMENT_MILLISECONDS : AGENT_RESTART_MILLISECONDS,
                () -> cluster.startAgent(
                        agent.server().name(), agent.node().dataCentre(), withWorker ? null : agent.worker()));
    }

    /** Replaces a backend server gracefully: its VM is removed when the agent has drained. */
    void replaceAgent(FakeAgent agent) {
        pendingShutdowns++;
        agent.shutDown();
        agent.node()
                .deliver(() -> cluster.oracle()
                        .agentShuttingDown(
                                agent.server().name(),
                                cluster.time().nowMilliseconds() + Oracle.CONFIGURATION_MILLISECONDS));
        replaceWhenDrained(agent);
    }

    private void replaceWhenDrained(FakeAgent agent) {
        if (agent.isDrained()) {
            if (agent.worker().isRunning()) {
                cluster.oracle()
                        .report(
                                "P7",
                                cluster.time().nowMilliseconds(),
                                agent.server().name() + " exited while a task was running on it");
            }
            agent.node().kill();
            cluster.network().disconnect(agent.node(), true);
            agent.worker().kill();
            cluster.startAgent(agent.server().name(), agent.node().dataCentre(), null);
            pendingShutdowns--;
        } else if (agent.node().isDead()) {
            pendingShutdowns--;
        } else {
            cluster.time().schedule(500, () -> replaceWhenDrained(agent));
        }
    }

    private void killDataCentre(String dataCentre) {
        killRack(dataCentre);
        cluster.entries().stream()
                .filter(entry -> entry.node().dataCentre().equals(dataCentre))
                .forEach(entry -> killEntry(entry, false));
    }

    /** Kills all backend servers of a data centre, because they share a rack. */
    private void killRack(String dataCentre) {
        cluster.agents().stream()
                .filter(agent -> agent.node().dataCentre().equals(dataCentre))
                .filter(agent -> !agent.node().isDead())
                .forEach(agent -> killAgent(agent, true));
    }

    private void injectNetworkFault(Action action, long seconds) {
        String from = SimulatedCluster.DATA_CENTRES.get(action.target() % 3);
        String to = SimulatedCluster.DATA_CENTRES.get((action.target() + 1 + action.amount() % 2) % 3);
        switch (action.kind()) {
            case CUT_ONE_WAY -> cluster.network().partition(from, to);
            case ISOLATE_DATA_CENTRE ->
                SimulatedCluster.DATA_CENTRES.stream()
                        .filter(other -> !other.equals(from))
                        .forEach(other -> {
                            cluster.network().partition(from, other);
                            cluster.network().partition(other, from);
                        });
            case CUT_BOTH_WAYS -> {
                cluster.network().partition(from, to);
                cluster.network().partition(to, from);
            }
            case SLOW_NETWORK -> cluster.network().setExtraDelay(action.amount());
            default -> cluster.network().setDuplicationProbability(0.2);
        }
        cluster.recordFault(seconds * 1_000, cluster.network()::removeFaults);
    }

    private void injectStoreFault(FakeStore.Mode mode, long seconds) {
        if (cluster.store().mode() == FakeStore.Mode.UP) {
            cluster.store().setMode(mode);
            cluster.recordStoreFault(seconds * 1_000, () -> cluster.store().setMode(FakeStore.Mode.UP));
        }
    }

    private String server(Action action) {
        List<FakeAgent> agents = cluster.agents();
        return agents.get(action.target() % agents.size()).server().name();
    }

    /**
     * Waits for the end of all faults, puts all servers in service, and checks that every caller receives its answer.
     * The time limit restarts whenever a caller completes: gangs that queue for the same three servers of the second
     * region run one after the other, which can take longer than the limit without any fault.
     */
    private void awaitRecovery() {
        long limit = cluster.time().nowMilliseconds() + RECOVERY_LIMIT_MILLISECONDS;
        long done = 0;
        int settledSteps = 0;
        while (cluster.time().nowMilliseconds() < limit && settledSteps < REQUIRED_SETTLED_STEPS) {
            cluster.advance(RECOVERY_STEP_MILLISECONDS);
            settledSteps = isSettled() ? settledSteps + 1 : 0;
            long nowDone = cluster.callers().stream().filter(FakeCaller::isDone).count();
            if (nowDone > done) {
                done = nowDone;
                limit = cluster.time().nowMilliseconds() + RECOVERY_LIMIT_MILLISECONDS;
            }
            operator.queryOutOfServiceServers();
            if (!cluster.hadFaultWithin(1)) {
                operator.outOfServiceServers().stream()
                        .findFirst()
                        .ifPresent(server -> operator.publishState(server, ServiceState.IN_SERVICE));
            }
        }
        reportUnanswered();
    }

    private void reportUnanswered() {
        List<FakeCaller> waiting =
                cluster.callers().stream().filter(caller -> !caller.isDone()).toList();
        if (waiting.isEmpty()) {
            return;
        }
        waiting.forEach(FakeCaller::explain);
        cluster.agents().forEach(agent -> cluster.trace(agent.node().name(), agent.describeState()));
        cluster.advance(RECOVERY_STEP_MILLISECONDS);
        waiting.forEach(caller -> cluster.oracle()
                .report(
                        "P3",
                        cluster.time().nowMilliseconds(),
                        caller.submission().identity() + " ("
                                + caller.submission().template().name() + ") never received its answer: outcome "
                                + caller.outcome() + "; " + caller.explanation()));
    }

    private boolean isSettled() {
        return !cluster.hadFaultWithin(SETTLE_MILLISECONDS)
                && pendingShutdowns == 0
                && operator.outOfServiceServers().isEmpty()
                && cluster.callers().stream().allMatch(FakeCaller::isDone);
    }
}
