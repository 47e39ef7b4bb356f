package org.teaselwood.entry.placer;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.ServiceState;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;
import org.teaselwood.protocol.message.RegionView;

/** Makes the view of the region that operators see. */
final class RegionReport {
    private RegionReport() {}

    static RegionView of(PlacerState state, Membership membership, Scheduler scheduler) {
        Map<String, Integer> waiting = new TreeMap<>();
        Map<String, Integer> running = new TreeMap<>();
        state.table().unfinished().forEach(job -> {
            boolean runs = job.state() == JobState.RUNNING || job.state() == JobState.STOPPING;
            (runs ? running : waiting).merge(job.team(), 1, Integer::sum);
        });
        return new RegionView(
                state.context().settings().region(),
                state.context().self(),
                state.term(),
                state.context().configuration().revision(),
                membership.lowestRevision(),
                state.context().store().reachable(),
                scheduler.fragmentation(),
                membership.addresses(),
                state.directory().all().stream()
                        .map(agent -> serverView(state, agent))
                        .toList(),
                waiting,
                running);
    }

    private static RegionView.ServerView serverView(PlacerState state, KnownAgent agent) {
        List<HeldPart> held = agent.state().parts().values().stream()
                .filter(part -> part.report().phase().holdsResources())
                .toList();
        List<PartReport> reports = held.stream().map(HeldPart::report).toList();
        List<String> teams = reports.stream()
                .map(report -> teamOf(state, report.attempt().job()))
                .toList();
        return new RegionView.ServerView(agent.server(), condition(state, agent), reports, teams);
    }

    private static String teamOf(PlacerState state, JobIdentifier job) {
        return state.table().find(job).map(Job::team).orElse("");
    }

    private static String condition(PlacerState state, KnownAgent agent) {
        ServiceState service = state.context().configuration().stateOf(agent.name());
        if (agent.silent()) {
            return "suspect";
        } else if (agent.state().leaving()) {
            return "leaving";
        }
        return switch (service) {
            case IN_SERVICE -> "in-service";
            case DRAINING -> "draining";
            case OUT_OF_SERVICE -> "out-of-service";
        };
    }
}
