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
    private static final long HEAL_LIMIT_MILLISECONDS = 300_000;
    /** Required consecutive settled steps; an accepted state change may become visible only after the first ones. */
    private static final int SETTLED_STEPS = 3;

    private static final long HEAL_STEP_MILLISECONDS = 5_000;
    private static final long REPLACEMENT_MILLISECONDS = 4_000;
    private static final long AGENT_RESTART_MILLISECONDS = 1_000;
    private static final int BURST = 12;

    private final World world;
    private final Operator operator;
    private int submissions;
    /** Number of graceful shutdowns of entries and agents that have not completed. */
    private int openStops;

    Run(long seed, Supplier<Scheduler> schedulers, boolean tracing) {
        world = new World(seed, schedulers);
        operator = new Operator(world);
        if (tracing) {
            world.startTracing();
        }
    }

    /** Executes the run and returns its violations, empty if all properties hold. */
    List<String> execute(List<Action> actions) {
        operator.publishFirst();
        world.advance(SETTLE_MILLISECONDS);
        actions.forEach(this::step);
        heal();
        if (world.oracle().violations().isEmpty()) {
            new Epilogue(world, this).execute();
        }
        world.oracle().check(world.time().nowMilliseconds());
        return world.oracle().violations();
    }

    /** Returns the number of callers by template and outcome, which shows what the run has exercised. */
    Map<String, Long> outcomes() {
        return world.callers().stream()
                .collect(Collectors.groupingBy(
                        caller -> caller.submission().template().name() + "-"
                                + caller.outcome().name().toLowerCase(Locale.ROOT),
                        TreeMap::new,
                        Collectors.counting()));
    }

    List<String> traceLines() {
        return world.traceLines();
    }

    private void step(Action action) {
        world.trace("action", action.toString());
        perform(action);
        world.advance(20 + action.amount() / 4);
    }

    private void perform(Action action) {
        long seconds = 1 + action.amount() % 40;
        switch (action.kind()) {
            case ADVANCE -> world.advance(action.amount() * 10L);
            case SUBMIT -> submit(action);
            case SUBMIT_BURST -> {
                for (int index = 0; index < BURST; index++) {
                    submit(action);
                }
            }
            case SUBMIT_IN_BOTH_REGIONS -> submitInBothRegions(action);
            case CANCEL -> withCaller(action, FakeCaller::cancel);
            case CANCEL_ALL -> world.callers().forEach(FakeCaller::cancel);
            case REPEAT_SUBMISSION -> withCaller(action, FakeCaller::repeat);
            case KILL_ENTRY, STOP_ENTRY, PAUSE_ENTRY -> onEntry(action, seconds);
            case KILL_AGENT, STOP_AGENT, PAUSE_AGENT, KILL_VM, WORKER_FAILS_EVERYTHING -> onAgent(action, seconds);
            case KILL_RACK -> killRack(World.DATA_CENTRES.get(action.target() % 3));
            case KILL_DATA_CENTRE -> killDataCentre(World.DATA_CENTRES.get(action.target() % 3));
            case CUT_ONE_WAY, CUT_BOTH_WAYS, ISOLATE_DATA_CENTRE, SLOW_NETWORK, DUPLICATE_MESSAGES ->
                disturbNetwork(action, seconds);
            case STORE_DOWN -> storeFault(FakeStore.Mode.DOWN, 2 * seconds);
            case STORE_DOWN_FOR_ONE_REGION -> {
                String region = action.target() % 2 == 0 ? World.REGION : World.SECOND_REGION;
                world.store().cutOff(region, true);
                world.storeFault(seconds * 1_000, () -> world.store().cutOff(region, false));
            }
            case STORE_SLOW -> storeFault(FakeStore.Mode.SLOW, seconds);
            case STORE_LOSES_REPLIES -> storeFault(FakeStore.Mode.LOSES_REPLIES, seconds / 4 + 1);
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
        world.submit(submission, action.amount() % 11 == 0 ? World.SECOND_REGION : World.REGION);
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
        world.submit(submission, World.REGION);
        world.time().schedule(action.amount() % 5, () -> world.submit(submission, World.SECOND_REGION));
    }

    private void withCaller(Action action, Consumer<FakeCaller> step) {
        List<FakeCaller> callers = world.callers();
        if (!callers.isEmpty()) {
            step.accept(callers.get(callers.size() - 1 - action.target() % callers.size()));
        }
    }

    private void onEntry(Action action, long seconds) {
        List<FakeEntry> entries = world.entries().stream()
                .filter(entry -> !entry.isLeaving() && !entry.node().isPaused())
                .toList();
        if (entries.isEmpty()) {
            return;
        }
        FakeEntry entry = entries.get(action.target() % entries.size());
        switch (action.kind()) {
            case KILL_ENTRY -> killEntry(entry, action.amount() % 2 == 0);
            case STOP_ENTRY -> stopEntry(entry);
            default -> {
                entry.node().pause();
                world.fault(seconds * 1_000, entry.node()::resume);
            }
        }
    }

    private void killEntry(FakeEntry entry, boolean peersLearn) {
        entry.node().kill();
        world.network().disconnect(entry.node(), peersLearn);
        world.removeEntry(entry);
        world.fault(
                REPLACEMENT_MILLISECONDS, () -> world.startEntry(entry.node().dataCentre()));
    }

    /** Replaces an entry gracefully: the new entry starts before the old one shuts down. */
    void stopEntry(FakeEntry entry) {
        world.startEntry(entry.node().dataCentre());
        openStops++;
        world.time().schedule(2 * REPLACEMENT_MILLISECONDS, () -> {
            if (!entry.node().isDead() && !entry.isLeaving()) {
                entry.shutDown();
                exitWhenDrained(entry);
            } else {
                openStops--;
            }
        });
    }

    private void exitWhenDrained(FakeEntry entry) {
        if (entry.isDrained()) {
            if (entry.openRequests() > 0
                    && !entry.node().isPaused()
                    && !entry.node().isDead()) {
                world.oracle()
                        .report(
                                "P7",
                                world.time().nowMilliseconds(),
                                entry.address().entry() + " exited with " + entry.openRequests()
                                        + " unanswered requests");
            }
            entry.node().kill();
            world.network().disconnect(entry.node(), true);
            world.removeEntry(entry);
            openStops--;
        } else if (entry.node().isDead()) {
            openStops--;
        } else {
            world.time().schedule(500, () -> exitWhenDrained(entry));
        }
    }

    private void onAgent(Action action, long seconds) {
        List<FakeAgent> agents = world.agents().stream()
                .filter(agent -> !agent.isLeaving()
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
            case STOP_AGENT -> stopAgent(agent);
            case PAUSE_AGENT -> {
                agent.node().pause();
                world.fault(seconds * 1_000, agent.node()::resume);
            }
            default -> {
                agent.worker().setFailsEverything(true);
                world.fault(seconds * 1_000, () -> agent.worker().setFailsEverything(false));
            }
        }
    }

    private void killAgent(FakeAgent agent, boolean withWorker) {
        agent.node().kill();
        world.network().disconnect(agent.node(), !withWorker);
        if (withWorker) {
            agent.worker().kill();
        }
        world.fault(
                withWorker ? 2 * REPLACEMENT_MILLISECONDS : AGENT_RESTART_MILLISECONDS,
                () -> world.startAgent(
                        agent.server().name(), agent.node().dataCentre(), withWorker ? null : agent.worker()));
    }

    /** Replaces a backend server gracefully: its VM is removed when the agent has drained. */
    void stopAgent(FakeAgent agent) {
        openStops++;
        agent.shutDown();
        agent.node()
                .deliver(() -> world.oracle()
                        .agentLeaving(
                                agent.server().name(),
                                world.time().nowMilliseconds() + Oracle.CONFIGURATION_MILLISECONDS));
        replaceWhenDrained(agent);
    }

    private void replaceWhenDrained(FakeAgent agent) {
        if (agent.isDrained()) {
            if (agent.worker().isRunning()) {
                world.oracle()
                        .report(
                                "P7",
                                world.time().nowMilliseconds(),
                                agent.server().name() + " exited while a task was running on it");
            }
            agent.node().kill();
            world.network().disconnect(agent.node(), true);
            agent.worker().kill();
            world.startAgent(agent.server().name(), agent.node().dataCentre(), null);
            openStops--;
        } else if (agent.node().isDead()) {
            openStops--;
        } else {
            world.time().schedule(500, () -> replaceWhenDrained(agent));
        }
    }

    private void killDataCentre(String dataCentre) {
        killRack(dataCentre);
        world.entries().stream()
                .filter(entry -> entry.node().dataCentre().equals(dataCentre))
                .forEach(entry -> killEntry(entry, false));
    }

    /** Kills all backend servers of a data centre, because they share a rack. */
    private void killRack(String dataCentre) {
        world.agents().stream()
                .filter(agent -> agent.node().dataCentre().equals(dataCentre))
                .filter(agent -> !agent.node().isDead())
                .forEach(agent -> killAgent(agent, true));
    }

    private void disturbNetwork(Action action, long seconds) {
        String from = World.DATA_CENTRES.get(action.target() % 3);
        String to = World.DATA_CENTRES.get((action.target() + 1 + action.amount() % 2) % 3);
        switch (action.kind()) {
            case CUT_ONE_WAY -> world.network().cut(from, to);
            case ISOLATE_DATA_CENTRE ->
                World.DATA_CENTRES.stream().filter(other -> !other.equals(from)).forEach(other -> {
                    world.network().cut(from, other);
                    world.network().cut(other, from);
                });
            case CUT_BOTH_WAYS -> {
                world.network().cut(from, to);
                world.network().cut(to, from);
            }
            case SLOW_NETWORK -> world.network().slowDown(action.amount());
            default -> world.network().duplicate(0.2);
        }
        world.fault(seconds * 1_000, world.network()::healAll);
    }

    private void storeFault(FakeStore.Mode mode, long seconds) {
        if (world.store().mode() == FakeStore.Mode.UP) {
            world.store().setMode(mode);
            world.storeFault(seconds * 1_000, () -> world.store().setMode(FakeStore.Mode.UP));
        }
    }

    private String server(Action action) {
        List<FakeAgent> agents = world.agents();
        return agents.get(action.target() % agents.size()).server().name();
    }

    /**
     * Waits for the end of all faults, puts all servers in service, and checks that every caller receives its answer.
     * The time limit restarts whenever a caller completes: gangs that queue for the same three servers of the second
     * region run one after the other, which can take longer than the limit without any fault.
     */
    private void heal() {
        long limit = world.time().nowMilliseconds() + HEAL_LIMIT_MILLISECONDS;
        long done = 0;
        int settledSteps = 0;
        while (world.time().nowMilliseconds() < limit && settledSteps < SETTLED_STEPS) {
            world.advance(HEAL_STEP_MILLISECONDS);
            settledSteps = isSettled() ? settledSteps + 1 : 0;
            long nowDone = world.callers().stream().filter(FakeCaller::isDone).count();
            if (nowDone > done) {
                done = nowDone;
                limit = world.time().nowMilliseconds() + HEAL_LIMIT_MILLISECONDS;
            }
            operator.lookUpClosedServers();
            if (!world.disturbedSince(1)) {
                operator.closedServers().stream()
                        .findFirst()
                        .ifPresent(server -> operator.publishState(server, ServiceState.IN_SERVICE));
            }
        }
        reportUnanswered();
    }

    private void reportUnanswered() {
        List<FakeCaller> waiting =
                world.callers().stream().filter(caller -> !caller.isDone()).toList();
        if (waiting.isEmpty()) {
            return;
        }
        waiting.forEach(FakeCaller::explain);
        world.agents().forEach(agent -> world.trace(agent.node().name(), agent.condition()));
        world.advance(HEAL_STEP_MILLISECONDS);
        waiting.forEach(caller -> world.oracle()
                .report(
                        "P3",
                        world.time().nowMilliseconds(),
                        caller.submission().identity() + " ("
                                + caller.submission().template().name() + ") never received its answer: outcome "
                                + caller.outcome() + "; " + caller.explanation()));
    }

    private boolean isSettled() {
        return !world.disturbedSince(SETTLE_MILLISECONDS)
                && openStops == 0
                && operator.closedServers().isEmpty()
                && world.callers().stream().allMatch(FakeCaller::isDone);
    }
}
