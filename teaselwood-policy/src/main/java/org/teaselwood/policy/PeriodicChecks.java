package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;

/**
 * Periodic checks that depend on time alone: ends waiting jobs whose deadline has passed or that can never run, ends
 * the backoff of servers that refused a hold request, retries the teams in turn, and drains servers that are taken out
 * of service. Confined to one thread.
 */
final class PeriodicChecks {
    /** Time after which a job ends that no set of servers could run. Servers may be absent for a short time. */
    static final long IMPOSSIBLE_WAIT_MILLISECONDS = 60_000;

    /** Interval of the checks for impossible jobs and for servers to be drained. */
    private static final long PERIOD_MILLISECONDS = 5_000;

    private final PolicyState state;
    private final PriorityQueue<TrackedJob> byDeadline =
            new PriorityQueue<>(Comparator.<TrackedJob>comparingLong(job -> job.request.deadlineMilliseconds())
                    .thenComparingLong(job -> job.sequence));
    private long nextCheckMilliseconds;
    private String lastTeamTried = "";

    PeriodicChecks(PolicyState state) {
        this.state = state;
    }

    /** Registers a job so that it ends when its deadline passes; has no effect for a job without a deadline. */
    void trackDeadline(TrackedJob job) {
        if (job.request.deadlineMilliseconds() != Long.MAX_VALUE) {
            byDeadline.add(job);
        }
    }

    /** Runs the checks that are due. */
    void tick() {
        endExpired();
        endBackoffs();
        retryNextTeam();
        if (state.nowMilliseconds >= nextCheckMilliseconds) {
            nextCheckMilliseconds = state.nowMilliseconds + PERIOD_MILLISECONDS;
            endImpossible();
            drainServers();
        }
    }

    private void endExpired() {
        while (!byDeadline.isEmpty() && byDeadline.peek().request.deadlineMilliseconds() < state.nowMilliseconds) {
            TrackedJob job = byDeadline.remove();
            boolean waits = state.jobs.get(job.request.job()) == job && job.attempt == null && job.claim == null;
            if (waits) {
                state.end(job, ErrorKind.DEADLINE_EXCEEDED, List.of());
            } else if (job.claim != null) {
                byDeadline.add(job);
                return;
            }
        }
    }

    private void endBackoffs() {
        if (state.nowMilliseconds >= state.lastBackoffEndMilliseconds) {
            state.lastBackoffEndMilliseconds = Long.MAX_VALUE;
            state.capacityFreed = true;
            state.configuration.teams().keySet().forEach(state::teamUnitsChanged);
        }
    }

    /** Marks the next team in name order to be tried again, even if its units were found to be full. */
    private void retryNextTeam() {
        List<String> teams = List.copyOf(state.configuration.teams().keySet());
        if (teams.isEmpty()) {
            return;
        }
        lastTeamTried = teams.stream()
                .filter(team -> team.compareTo(lastTeamTried) > 0)
                .findFirst()
                .orElse(teams.getFirst());
        state.teamUnitsChanged(lastTeamTried);
    }

    private void endImpossible() {
        List<TrackedJob> impossible = new ArrayList<>();
        for (WaitingClass waitingClass : state.queue.classes()) {
            if (isPossible(waitingClass)) {
                waitingClass.impossibleSinceMilliseconds = -1;
            } else if (waitingClass.impossibleSinceMilliseconds < 0) {
                waitingClass.impossibleSinceMilliseconds = state.nowMilliseconds;
            }
            if (waitingClass.impossibleSinceMilliseconds >= 0
                    && state.nowMilliseconds - waitingClass.impossibleSinceMilliseconds
                            >= IMPOSSIBLE_WAIT_MILLISECONDS) {
                impossible.addAll(waitingClass.jobs.values());
            }
        }
        impossible.forEach(job -> state.end(job, ErrorKind.IMPOSSIBLE, List.of(reason(job.waitingClass))));
    }

    private boolean isPossible(WaitingClass waitingClass) {
        Shape shape = waitingClass.key.template().shape();
        Team team = state.configuration.teams().get(waitingClass.key.team());
        if (team != null && team.acceleratorQuota() < shape.totalAccelerators()) {
            return false;
        }
        return (waitingClass.mayBorrow() || fitsGuarantee(waitingClass))
                && state.cluster.fitsWhenEmpty(
                        shape,
                        server -> Cluster.isCapable(
                                        server, waitingClass.key.template().capabilities())
                                && !waitingClass.key.failedServers().contains(server.name()));
    }

    /**
     * Returns whether a unit of the team is at least as large as the shape of the class, both per part and in the total
     * number of accelerators.
     */
    private boolean fitsGuarantee(WaitingClass waitingClass) {
        Shape shape = waitingClass.key.template().shape();
        return state.plan.unitsOf(waitingClass.key.team()).stream()
                .anyMatch(unit -> !unit.excess
                        && unit.shape.part().accelerators() >= shape.part().accelerators()
                        && unit.shape.totalAccelerators() >= shape.totalAccelerators()
                        && unit.shape.part().cores() >= shape.part().cores()
                        && unit.shape.part().memoryMebibytes() >= shape.part().memoryMebibytes()
                        && unit.shape.part().slots() >= shape.part().slots());
    }

    private String reason(WaitingClass waitingClass) {
        String needs = waitingClass.key.template().shape() + " with "
                + waitingClass.key.template().capabilities();
        return waitingClass.mayBorrow() || fitsGuarantee(waitingClass)
                ? needs
                : needs + "; the work cannot be preempted and no guarantee of the team is large enough";
    }

    /** Preempts checkpointable work on servers that operators take out of service. */
    private void drainServers() {
        state.configuration.serverStates().forEach((name, service) -> {
            ServerState server = state.cluster.find(name);
            if (service != ServiceState.IN_SERVICE && server != null) {
                List.copyOf(server.attempts).stream()
                        .filter(attempt -> attempt.started
                                && attempt.job.request.template().checkpointable())
                        .forEach(attempt ->
                                state.preempt(attempt, "backend server " + name + " is being taken out of service"));
            }
        });
    }
}
