package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.record.CrashHistory;
import org.teaselwood.workload.record.CrashHistory.Evidence;

/**
 * Attributes crashes of backend servers to the runs that they had started shortly before. Mutable; confined to the
 * placer's duty thread.
 *
 * <p>A crash is the end of a server without an announced departure: a newer incarnation replaces it on its VM, or its
 * agent reports it as gone because it comes back late or not at all. If the agent process was replaced too, the whole
 * VM was restarted, which a task cannot cause. Invariant: a crash is stored in the same write as the removal of the
 * run, so that a new placer neither misses it nor counts it twice.
 */
final class CrashMonitor {
    private static final Logger LOGGER = LoggerFactory.getLogger(CrashMonitor.class);

    /** Time for which a server has to outlive the start of a task to prove the task harmless. */
    static final long CRASH_WINDOW_MILLISECONDS = 2_000;

    /** Time between the last signs of life of two servers up to which they may have crashed from a common cause. */
    private static final long SIMULTANEOUS_MILLISECONDS = 2_000;

    /** Time for which a crash under other tasks shows that servers crash for other reasons. */
    private static final long MEMORY_MILLISECONDS = 30_000;

    /** Number of other servers that may be lost at the same time without explaining the crash. */
    private static final int MAXIMUM_SIMULTANEOUS_SERVERS = 2;

    /** Number of crashes without a likely cause, within that time, up to which another crash is suspicious. */
    private static final int MAXIMUM_UNEXPLAINED_CRASHES = 1;

    private final Map<String, ServerState> servers;
    private final JobWrites writes;
    private final RunLifecycle lifecycle;
    private final Deque<RecentCrash> recentCrashes = new ArrayDeque<>();

    private record RecentCrash(long at, ServerState server, List<Run> suspects) {
        boolean involves(StepState step) {
            return suspects.stream().anyMatch(run -> run.step == step);
        }

        /** Returns whether a task that has crashed other servers too is the likely cause. */
        boolean isExplained() {
            return suspects.stream().anyMatch(run -> run.task.crashes.isRepeated());
        }
    }

    CrashMonitor(Map<String, ServerState> servers, JobWrites writes, RunLifecycle lifecycle) {
        this.servers = servers;
        this.writes = writes;
        this.lifecycle = lifecycle;
    }

    /** Attributes the crash of a server that is replaced by a newer incarnation; its runs are still on record. */
    void serverReplaced(ServerState server, ServerReport successor, long now) {
        if (server.draining) {
            return;
        }
        boolean vmRestarted = server.hasReported() && server.agentIncarnation != successor.agentIncarnation();
        attribute(server, vmRestarted ? List.of() : suspectsOn(server), !isInContact(server, now), now);
    }

    /**
     * Attributes the loss of a server that its agent reports as gone; it may have crashed, unless it announced its
     * departure or answered until the end.
     */
    void serverGone(ServerState server, long now) {
        boolean answeredUntilTheEnd = server.hasReported() && server.responsive;
        if (!server.draining && !answeredUntilTheEnd) {
            attribute(server, suspectsOn(server), true, now);
        }
    }

    private void attribute(ServerState server, List<Run> suspects, boolean unclear, long now) {
        while (!recentCrashes.isEmpty() && now - recentCrashes.peekFirst().at() > MEMORY_MILLISECONDS) {
            recentCrashes.pollFirst();
        }
        List<RecentCrash> losses = simultaneousLosses(server, now);
        boolean weak = unclear || losses.size() > MAXIMUM_SIMULTANEOUS_SERVERS;
        for (Run run : suspects) {
            if (isLossOfMostServers(run.step, losses)) {
                continue;
            }
            Evidence evidence = weak || run.isTakenOver() ? Evidence.WEAK : evidenceAgainst(run, suspects, losses, now);
            run.task.crashes = run.task.crashes.with(new CrashHistory.Crash(server.host, server.incarnation, evidence));
            run.step.heldAfterCrash = true;
            writes.markChanged(run.job);
            LOGGER.warn(
                    "backend server {} crashed after the start of task {} attempt {}: crash {} of this task, {}",
                    server.id,
                    run.task.name,
                    run.attempt,
                    run.task.crashes.crashes().size(),
                    evidence);
        }
        recentCrashes.addLast(new RecentCrash(now, server, suspects));
    }

    private static List<Run> suspectsOn(ServerState server) {
        return server.runs.values().stream()
                .filter(Run::mayHaveCrashedServer)
                .filter(run -> run.task.checkpoint.isEmpty())
                .toList();
    }

    /** Returns the other servers that crashed, or are lost now, since about the same time, with their suspects. */
    private List<RecentCrash> simultaneousLosses(ServerState crashed, long now) {
        Stream<RecentCrash> inTrouble =
                serversInTrouble(now).map(server -> new RecentCrash(now, server, suspectsOn(server)));
        return Stream.concat(recentCrashes.stream(), inTrouble)
                .filter(loss -> !loss.server().host.equals(crashed.host)
                        && Math.abs(loss.server().respondedAt - crashed.respondedAt) <= SIMULTANEOUS_MILLISECONDS)
                .toList();
    }

    /**
     * Returns whether most servers were lost at about the same time, also servers that had started nothing before,
     * which tasks cannot have caused.
     */
    private boolean isLossOfMostServers(StepState step, List<RecentCrash> losses) {
        List<RecentCrash> others =
                losses.stream().filter(loss -> !loss.involves(step)).toList();
        return others.size() > MAXIMUM_SIMULTANEOUS_SERVERS
                && 2 * others.size() > servers.size()
                && others.stream().anyMatch(loss -> loss.suspects().isEmpty());
    }

    private Stream<ServerState> serversInTrouble(long now) {
        return servers.values().stream()
                .filter(server -> server.hasReported() && !(server.responsive && isInContact(server, now)));
    }

    private static boolean isInContact(ServerState server, long now) {
        return server.connection != null
                && now - server.lastContactAt <= WorkloadTimings.UNRESPONSIVE_AFTER_MILLISECONDS;
    }

    /**
     * Weighs the crash against the other runs that the server had just started and the other losses of servers. An
     * order that was not confirmed may have reached the server only after its crash, or never.
     */
    private Evidence evidenceAgainst(Run run, List<Run> suspects, List<RecentCrash> losses, long now) {
        boolean othersStarted = suspects.stream()
                .anyMatch(other -> other.step != run.step && (other.isConfirmed() || other.isTakenOver()));
        if (!run.isConfirmed() || othersStarted) {
            return Evidence.WEAK;
        }
        long unexplained = recentCrashes.stream()
                .filter(crash -> !crash.involves(run.step) && !crash.isExplained())
                .count();
        if (unexplained > MAXIMUM_UNEXPLAINED_CRASHES) {
            return Evidence.WEAK;
        }
        boolean othersLost = unexplained > 0
                || serversInTrouble(now).anyMatch(server -> !server.host.equals(run.server.host))
                || !losses.isEmpty();
        return othersLost ? Evidence.SUSPICIOUS : Evidence.CONCLUSIVE;
    }

    /** Clears the tasks whose servers have outlived the start. */
    void check(long now) {
        servers.values().stream()
                .flatMap(server -> server.runs.values().stream())
                .filter(run -> !run.survivedStart
                        && run.state == RunState.RUNNING
                        && run.server.respondedAt - run.confirmedAt >= CRASH_WINDOW_MILLISECONDS)
                .toList()
                .forEach(this::clear);
    }

    private void clear(Run run) {
        run.survivedStart = true;
        if (run.task.crashes.isSuspected()) {
            LOGGER.info("task {} attempt {} has survived its start", run.task.name, run.attempt);
            run.task.crashes = CrashHistory.NONE;
            run.step.heldAfterCrash = false;
            writes.markChanged(run.job);
            lifecycle.markChanged();
        }
    }
}
