package org.teaselwood.workload.placer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.message.WorkMessage.RunningTask;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.model.TaskName;
import org.teaselwood.workload.record.JobPhase;

/**
 * Reconciles the reported runs of a backend server with the runs on record. Confined to the placer's duty thread.
 *
 * <p>A confirmed run that is missing in a report has ended only if the agent read the report's lists after the
 * confirmation. The agent numbers its calls to the server to establish this order. Numbers of two agent processes are
 * not comparable, so that after a restart of the agent every list that it has read counts as newer. Treating every list
 * of a new connection as newer would lose runs, because the agent sends its last lists again. While the list of ended
 * runs is incomplete, no missing run counts as ended: it may have succeeded, and would be repeated.
 */
final class Reconciliation {
    private static final Logger LOGGER = LoggerFactory.getLogger(Reconciliation.class);

    /** Time for which an order stays unconfirmed before it is repeated; agents and servers ignore duplicates. */
    private static final long ORDER_REPEAT_INTERVAL_MILLISECONDS = 1_000;

    private final Map<String, JobState> jobs;
    private final RunLifecycle lifecycle;

    Reconciliation(Map<String, JobState> jobs, RunLifecycle lifecycle) {
        this.jobs = jobs;
        this.lifecycle = lifecycle;
    }

    /**
     * Records the incarnation of the agent process and when the server last answered it. Called for every report,
     * including those without lists of the current term: if the change were detected only with the first lists, these
     * would appear newer than a start that the process carried out while it read them.
     */
    void updateAgentIncarnation(ServerState server, ServerReport report, long now) {
        server.recordResponse(report, now);
        if (server.agentIncarnation != report.agentIncarnation()) {
            server.agentIncarnation = report.agentIncarnation();
            server.runs.values().stream()
                    .filter(run -> run.state == RunState.RUNNING)
                    .forEach(run -> run.confirmedOperation = 0);
        }
    }

    /** Applies the lists of a report of the current term to the runs of a server. */
    void reconcile(ServerState server, ServerReport report, long now) {
        Map<String, RunningTask> running = report.running().stream()
                .collect(Collectors.toMap(task -> Run.key(task.task(), task.attempt()), task -> task, (a, b) -> a));
        server.orphanedRuns.clear();
        running.forEach((key, task) -> {
            Run run = server.runs.get(key);
            if (run == null) {
                stopOrphanedRun(server, key, task);
            } else {
                updateRun(run, task, report.operation(), now);
            }
        });
        server.reconciled = true;
        if (report.moreEnded()) {
            return;
        }
        List<Run> missing = server.runs.values().stream()
                .filter(run -> !running.containsKey(run.key()))
                .filter(run -> run.state == RunState.RECOVERED
                        || run.confirmedOperation >= 0 && report.operation() > run.confirmedOperation)
                .toList();
        missing.forEach(run -> {
            LOGGER.info("task {} attempt {} is no longer on backend server {}", run.task.name, run.attempt, server.id);
            lifecycle.removeHarmless(run, now);
        });
    }

    private void stopOrphanedRun(ServerState server, String key, RunningTask task) {
        Resources taken = TaskName.parse(task.task())
                .flatMap(name ->
                        Optional.ofNullable(jobs.get(name.job())).flatMap(job -> job.specification.step(name.step())))
                .map(StepSpecification::reserved)
                .orElse(Resources.NONE);
        server.orphanedRuns.put(key, taken);
        LOGGER.warn(
                "task {} attempt {} on backend server {} is not on record; stopping it",
                task.task(),
                task.attempt(),
                server.id);
        lifecycle.sendStop(server, task.task(), task.attempt());
    }

    private void updateRun(Run run, RunningTask task, long operation, long now) {
        run.step.saveCheckpoint(run.task, task.checkpoint());
        run.listed = true;
        run.load = task.load();
        run.listedAfterAnswer |= run.startAnswered && operation > run.confirmedOperation;
        if (task.percent() != run.percent) {
            run.percent = task.percent();
            run.progressAt = now;
        }
        if (run.state == RunState.RECOVERED) {
            run.estimateEarlierWork();
        }
        if (run.state == RunState.ORDERED || run.state == RunState.RECOVERED) {
            run.confirm(now, operation);
            if (run.job.phase.isFinal() && run.job.phase != JobPhase.COMPLETED) {
                lifecycle.stop(run, now);
            }
        }
    }

    /**
     * Withdraws starts whose orders have not been sent, newest first, as far as the reported capacity no longer holds
     * them.
     */
    void withdrawStartsBeyondCapacity(ServerState server, long now) {
        List<Run> unsent = server.runs.values().stream()
                .filter(run -> run.state == RunState.RECORDING)
                .toList();
        unsent.reversed().stream()
                .filter(run -> run.state == RunState.RECORDING && server.runs.containsValue(run))
                .filter(server::exceedsCapacity)
                .forEach(run -> {
                    LOGGER.info(
                            "start of task {} attempt {} withdrawn: the capacity of backend server {} has shrunk",
                            run.task.name,
                            run.attempt,
                            server.id);
                    lifecycle.stop(run, now);
                });
    }

    /**
     * Sends all stops again on a new connection, also to a server whose lists have not been read: tasks wait for the
     * confirmation, and a server that goes down and up may be gone before its first lists arrive.
     */
    void repeatStops(ServerState server, long now) {
        List<Run> stopping = server.runs.values().stream()
                .filter(run -> run.state == RunState.STOPPING)
                .toList();
        stopping.forEach(run -> repeatOrder(run, now));
    }

    /**
     * Repeats orders whose answers may be lost: all orders after a change of the connection, and orders that stay
     * unconfirmed on the same connection, because this placer ignores answers while its election is not renewed. A
     * start that the reported capacity no longer holds is stopped instead.
     */
    void repeatOrders(ServerState server, long now) {
        boolean connectionChanged = server.ordersMayBeLost;
        server.ordersMayBeLost = false;
        List<Run> unconfirmed = server.runs.values().stream()
                .filter(run -> connectionChanged || isOverdue(run, now))
                .toList();
        unconfirmed.forEach(run -> repeatOrder(run, now));
    }

    private static boolean isOverdue(Run run, long now) {
        if (!run.awaitsConfirmation()) {
            return false;
        }
        if (run.unconfirmedSince == 0) {
            run.unconfirmedSince = now;
        }
        return now - run.unconfirmedSince >= ORDER_REPEAT_INTERVAL_MILLISECONDS;
    }

    private void repeatOrder(Run run, long now) {
        run.unconfirmedSince = now;
        if (run.state == RunState.ORDERED && run.server.exceedsCapacity(run)) {
            lifecycle.stop(run, now);
        } else if (run.state == RunState.ORDERED) {
            lifecycle.sendStart(run);
        } else if (run.state == RunState.STOPPING) {
            run.confirmedOperation = -1;
            lifecycle.sendStop(run.server, run.task.name.toString(), run.attempt);
        }
    }
}
