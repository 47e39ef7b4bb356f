package org.teaselwood.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.Template;

/**
 * Final phase of a run, after every fault has ended: reclaims the guaranteed shape from a cluster that is full of
 * borrowed work (P1), then shuts down agents and entries gracefully while tasks run and callers wait (P6, P7). Without
 * faults, the bounds of these properties hold without exception. Confined to the thread of the virtual time.
 */
final class FaultFreePhase {
    /** Time limit for the start of urgent work within its guarantee. */
    private static final long URGENT_MILLISECONDS = 5_900;

    /** Time limit for a reclaim: the grace period of 3 s plus 2 s. */
    private static final long RECLAIM_MILLISECONDS = 5_000;

    private static final long EXPLAIN_MILLISECONDS = 2_000;

    /**
     * Time limit for borrowed work to fill the cluster. A quarantined server stays empty until a probe succeeds; it is
     * probed after 15 s, again after 30 s and so on.
     */
    private static final long FILL_LIMIT_MILLISECONDS = 300_000;

    private static final long STOP_LIMIT_MILLISECONDS = 120_000;
    private static final long STEP_MILLISECONDS = 100;
    private static final long BORROWED_RUN_MILLISECONDS = 3_000_000;
    private static final long GUARANTEED_RUN_MILLISECONDS = 2_000;
    private static final long STOPPED_RUN_MILLISECONDS = 20_000;

    private final SimulatedCluster cluster;
    private final Run run;
    private final List<FakeCaller> borrowers = new ArrayList<>();
    private int submissions;

    FaultFreePhase(SimulatedCluster cluster, Run run) {
        this.cluster = cluster;
        this.run = run;
    }

    void execute() {
        if (!reclaim()) {
            return;
        }
        borrowers.forEach(FakeCaller::cancel);
        advanceUntil(FILL_LIMIT_MILLISECONDS, () -> borrowers.stream().allMatch(FakeCaller::isDone));
        shutDownWhileTasksRun();
    }

    private boolean reclaim() {
        int accelerators =
                Workload.ACCELERATORS * SimulatedCluster.SERVERS_PER_DATA_CENTRE * SimulatedCluster.DATA_CENTRES.size();
        for (int index = 0; index < accelerators; index++) {
            borrowers.add(submit(Workload.BORROWING_TEAM, Workload.SMALL, BORROWED_RUN_MILLISECONDS, true, false));
        }
        return fill(accelerators)
                && startsWithin(URGENT_MILLISECONDS, true)
                && fill(accelerators)
                && startsWithin(RECLAIM_MILLISECONDS, false);
    }

    private boolean fill(int accelerators) {
        boolean full = advanceUntil(
                FILL_LIMIT_MILLISECONDS,
                () -> agents().stream()
                                .mapToInt(agent -> agent.worker().acceleratorsHeldBy(Workload.BORROWING_TEAM))
                                .sum()
                        == accelerators);
        if (!full) {
            borrowers.forEach(FakeCaller::explain);
            advanceUntil(EXPLAIN_MILLISECONDS, () -> false);
            report(
                    "P1",
                    "borrowed work does not fill the cluster after all faults have ended: "
                            + borrowers.stream()
                                    .map(FakeCaller::explanation)
                                    .filter(text -> text.contains("QUEUED"))
                                    .findFirst()
                                    .orElse(""));
        }
        return full;
    }

    private boolean startsWithin(long milliseconds, boolean urgent) {
        FakeCaller caller = submit(Workload.GUARANTEED_TEAM, Workload.GANG, GUARANTEED_RUN_MILLISECONDS, true, urgent);
        String key = caller.submission().requestKey();
        boolean started = advanceUntil(
                milliseconds,
                () -> agents().stream()
                                .filter(agent -> agent.worker().hasStarted(key))
                                .count()
                        == Workload.GANG.shape().parts());
        if (!started) {
            report("P1", "a guaranteed gang, urgent=" + urgent + ", did not start within " + milliseconds + " ms");
        }
        advanceUntil(STOP_LIMIT_MILLISECONDS, caller::isDone);
        return started;
    }

    /**
     * Shuts down agents and entries gracefully. There are no faults in this phase, so every request must succeed, and
     * one that is not repeatable must succeed in its first attempt.
     */
    private void shutDownWhileTasksRun() {
        List<FakeCaller> callers = List.of(
                submit(Workload.GUARANTEED_TEAM, Workload.GANG, STOPPED_RUN_MILLISECONDS, false, false),
                submit(Workload.GUARANTEED_TEAM, Workload.SMALL, STOPPED_RUN_MILLISECONDS, false, false),
                submit(Workload.GUARANTEED_TEAM, Workload.SHORT, STOPPED_RUN_MILLISECONDS, false, false),
                submit(Workload.BORROWING_TEAM, Workload.SMALL, STOPPED_RUN_MILLISECONDS, true, false));
        cluster.advance(RECLAIM_MILLISECONDS);
        agents().stream().filter(agent -> agent.worker().isRunning()).limit(2).forEach(run::replaceAgent);
        List<FakeEntry> entries = cluster.readyEntries(SimulatedCluster.REGION);
        entries.stream().limit(2).forEach(run::replaceEntry);
        boolean done =
                advanceUntil(STOP_LIMIT_MILLISECONDS, () -> callers.stream().allMatch(FakeCaller::isDone));
        callers.stream()
                .filter(caller -> !done && !caller.isDone() || caller.outcome() != Outcome.SUCCEEDED)
                .forEach(caller -> report(
                        "P7",
                        "a graceful shutdown interrupted " + caller.submission().identity() + " ("
                                + caller.submission().template().name() + "): outcome " + caller.outcome()));
        boolean exited = advanceUntil(
                STOP_LIMIT_MILLISECONDS,
                () -> entries.stream().limit(2).allMatch(entry -> entry.node().isDead()));
        if (!exited) {
            report("P7", "an entry did not exit after a graceful shutdown");
        }
    }

    private FakeCaller submit(
            String team, Template template, long runMilliseconds, boolean repeatable, boolean urgent) {
        submissions++;
        return cluster.submit(
                new Submission(
                        team,
                        "last-" + submissions,
                        template,
                        Workload.parameters(runMilliseconds, false),
                        repeatable,
                        urgent,
                        false),
                SimulatedCluster.REGION);
    }

    private List<FakeAgent> agents() {
        return cluster.agents().stream()
                .filter(agent -> agent.server().region().equals(SimulatedCluster.REGION))
                .toList();
    }

    private boolean advanceUntil(long limitMilliseconds, BooleanSupplier condition) {
        long limit = cluster.time().nowMilliseconds() + limitMilliseconds;
        while (!condition.getAsBoolean() && cluster.time().nowMilliseconds() < limit) {
            cluster.advance(STEP_MILLISECONDS);
        }
        return condition.getAsBoolean();
    }

    private void report(String property, String text) {
        cluster.oracle().report(property, cluster.time().nowMilliseconds(), text);
    }
}
