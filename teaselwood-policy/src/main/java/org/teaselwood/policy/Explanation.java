package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import org.teaselwood.model.JobIdentifier;

/** Tells why a job waits or where it runs. Reads the state only. */
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
            running(job, lines);
        } else if (job.claim != null) {
            long waited = state.now - job.claim.sinceMilliseconds();
            lines.add("waits for attempts to stop on " + servers(job.claim.placements()) + ", for " + waited + " ms");
        } else {
            waiting(job, lines);
            state.plan.unitsOf(job.request.team()).forEach(unit -> lines.add(describe(unit)));
            unusableServers(lines);
        }
        shortfall(job.request.team(), lines);
        return lines;
    }

    private void running(TrackedJob job, List<String> lines) {
        lines.add("attempt " + job.attemptNumber + " on " + servers(job.attempt.placements) + ", "
                + (job.unit != null ? "inside the guarantee of the team" : "on borrowed capacity"));
        if (job.attempt.isStopping()) {
            lines.add("is being stopped");
        }
    }

    private void waiting(TrackedJob job, List<String> lines) {
        WaitingClass home = job.waitingClass;
        lines.add("waits; " + home.jobs.headMap(job.sequence).size() + " jobs of the same kind of team "
                + job.request.team() + " are older");
        lines.add("needs " + job.shape() + " with " + job.request.template().capabilities());
        if (!job.mayBorrow()) {
            lines.add("cannot be stopped, so it runs only inside the guarantee of the team");
        }
        if (!job.failedServers.isEmpty()) {
            lines.add("failed on " + job.failedServers);
        }
        if (!state.queue.withinQuota(job.request.team(), job.accelerators())) {
            lines.add("the team would exceed its quota of accelerators");
        }
        if (home.unitsFull) {
            lines.add("the guarantee of the team has no room for it");
        }
        if (home.demand.blocked) {
            lines.add("no free place of its shape exists");
        }
        if (home.impossibleSinceMilliseconds >= 0) {
            lines.add("no known set of backend servers could run it, for "
                    + (state.now - home.impossibleSinceMilliseconds) + " ms");
        }
    }

    private String describe(GuaranteeUnit unit) {
        String shape =
                "guaranteed " + unit.shape.parts() + " x " + unit.shape.part().accelerators() + " accelerators, "
                        + unit.shape.part().slots() + " slots: ";
        if (!unit.isPlaced()) {
            return shape + "no place";
        }
        String holders =
                unit.occupants.stream().map(job -> job.request.job().toString()).collect(Collectors.joining(", "));
        return shape
                + servers(unit.placements)
                + (holders.isEmpty() ? ", free" : ", held by " + holders)
                + lentTo(unit);
    }

    /** Attempts on the servers of a unit that run outside of it. */
    private String lentTo(GuaranteeUnit unit) {
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
        return others.isEmpty() ? "" : "; beside it run " + others;
    }

    private void unusableServers(List<String> lines) {
        List<String> names = state.cluster.servers().stream()
                .filter(server -> !server.isUsable(state.now))
                .map(ServerState::name)
                .sorted()
                .toList();
        if (!names.isEmpty()) {
            lines.add("take no work: " + names);
        }
    }

    /** The rule for a shortfall is that of {@link UnitPacker}. */
    private void shortfall(String team, List<String> lines) {
        long missing = state.plan.unitsOf(team).stream()
                .filter(unit -> !unit.isPlaced())
                .count();
        if (missing > 0) {
            lines.add("capacity is below the guarantees: " + missing + " guaranteed shapes of the team have no place;"
                    + " the team with the smallest placed part of its guarantee is served first");
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
