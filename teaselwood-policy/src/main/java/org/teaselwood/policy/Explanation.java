package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import org.teaselwood.model.JobIdentifier;

/** Explains why a job is waiting or where it is running. Reads the state without changing it. */
final class Explanation {
    private final PolicyState state;

    Explanation(PolicyState state) {
        this.state = state;
    }

    List<String> of(JobIdentifier identifier) {
        TrackedJob job = state.jobs.get(identifier);
        if (job == null) {
            return List.of("job " + identifier + " is not known");
        }
        List<String> lines = new ArrayList<>();
        if (job.attempt != null) {
            addRunning(job, lines);
        } else if (job.claim != null) {
            long waited = state.nowMilliseconds - job.claim.sinceMilliseconds();
            lines.add("waiting for attempts to stop on servers " + servers(job.claim.placements()) + " for " + waited
                    + " ms");
        } else {
            addWaiting(job, lines);
            state.plan.unitsOf(job.request.team()).forEach(unit -> lines.add(describe(unit)));
            addUnusableServers(lines);
        }
        addShortfall(job.request.team(), lines);
        return lines;
    }

    private void addRunning(TrackedJob job, List<String> lines) {
        lines.add("attempt " + job.attemptNumber + " on servers " + servers(job.attempt.placements) + ", "
                + (job.unit != null ? "inside the guarantee of the team" : "on borrowed capacity"));
        if (job.attempt.isStopping()) {
            lines.add("is being stopped");
        }
    }

    private void addWaiting(TrackedJob job, List<String> lines) {
        WaitingClass waitingClass = job.waitingClass;
        lines.add("waiting; " + waitingClass.jobs.headMap(job.sequence).size()
                + " older jobs of the same class of team " + job.request.team() + " are ahead of it");
        lines.add("needs " + job.shape() + " with " + job.request.template().capabilities());
        if (!job.mayBorrow()) {
            lines.add("cannot be preempted, so it runs only inside the guarantee of the team");
        }
        if (!job.failedServers.isEmpty()) {
            lines.add("failed on " + job.failedServers);
        }
        if (!state.queue.withinQuota(job.request.team(), job.accelerators())) {
            lines.add("the team would exceed its accelerator quota");
        }
        if (waitingClass.unitsFull) {
            lines.add("the guarantee of the team has no capacity for it");
        }
        if (waitingClass.demand.blocked) {
            lines.add("no free capacity for its shape");
        }
        if (waitingClass.impossibleSinceMilliseconds >= 0) {
            lines.add("no known set of backend servers has been able to run it for "
                    + (state.nowMilliseconds - waitingClass.impossibleSinceMilliseconds) + " ms");
        }
    }

    private String describe(GuaranteeUnit unit) {
        String shape =
                "guaranteed " + unit.shape.parts() + " x " + unit.shape.part().accelerators() + " accelerators, "
                        + unit.shape.part().slots() + " slots: ";
        if (!unit.isPlaced()) {
            return shape + "not placed";
        }
        String holders =
                unit.occupants.stream().map(job -> job.request.job().toString()).collect(Collectors.joining(", "));
        return shape
                + servers(unit.placements)
                + (holders.isEmpty() ? ", free" : ", held by " + holders)
                + describeOtherAttempts(unit);
    }

    /** Describes the attempts on the servers of a unit that run outside the unit. */
    private String describeOtherAttempts(GuaranteeUnit unit) {
        String others = unit.area.keySet().stream()
                .map(state.cluster::find)
                .filter(Objects::nonNull)
                .flatMap(server -> server.attempts.stream())
                .filter(attempt -> attempt.job.unit != unit)
                .map(attempt -> attempt.identifier
                        + (attempt.isStopping() ? " (stopping)" : "")
                        + (attempt.job.unit == null ? "" : " (guaranteed)"))
                .distinct()
                .collect(Collectors.joining(", "));
        return others.isEmpty() ? "" : "; other attempts on its servers: " + others;
    }

    private void addUnusableServers(List<String> lines) {
        List<String> names = state.cluster.servers().stream()
                .filter(server -> !server.isUsable(state.nowMilliseconds))
                .map(ServerState::name)
                .sorted()
                .toList();
        if (!names.isEmpty()) {
            lines.add("servers that accept no work: " + names);
        }
    }

    /** Reports guaranteed shapes without a position. The stated rule is that of {@link UnitPacker}. */
    private void addShortfall(String team, List<String> lines) {
        long missing = state.plan.unitsOf(team).stream()
                .filter(unit -> !unit.isPlaced())
                .count();
        if (missing > 0) {
            lines.add("capacity is below the guarantees: " + missing + " guaranteed shapes of the team are not placed;"
                    + " the team with the smallest placed fraction of its guarantee is placed first");
        }
    }

    private static String servers(List<PartPlacement> placements) {
        return placements.stream()
                .map(PartPlacement::server)
                .distinct()
                .toList()
                .toString();
    }
}
