package org.teaselwood.entry.placer;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.model.JobState;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.ServiceState;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.RegionView;

/** Builds the view of the region for operators. */
final class RegionViews {
    private RegionViews() {}

    static RegionView of(PlacerState state, Membership membership, Scheduler scheduler) {
        Map<String, Integer> waiting = new TreeMap<>();
        Map<String, Integer> running = new TreeMap<>();
        state.table().unfinished().forEach(job -> {
            boolean runs = job.state() == JobState.RUNNING || job.state() == JobState.STOPPING;
            (runs ? running : waiting).merge(job.team(), 1, Integer::sum);
        });
        Map<String, List<Holder>> holders = holders(state);
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
                        .map(agent -> serverView(state, agent, holders))
                        .toList(),
                waiting,
                running);
    }

    private static RegionView.ServerView serverView(
            PlacerState state, KnownAgent agent, Map<String, List<Holder>> holders) {
        List<Holder> serverParts = holders.getOrDefault(agent.name(), List.of());
        return new RegionView.ServerView(
                agent.server(),
                condition(state, agent),
                serverParts.stream().map(Holder::report).toList(),
                serverParts.stream().map(Holder::team).toList());
    }

    /** Returns the parts that hold resources, by backend server. */
    private static Map<String, List<Holder>> holders(PlacerState state) {
        return state.attempts().stream()
                .flatMap(attempt -> attempt.parts().stream()
                        .filter(part -> part.phase() != null && part.phase().holdsResources())
                        .map(part -> holderOf(attempt, part)))
                .collect(Collectors.groupingBy(Holder::server));
    }

    private static Holder holderOf(Attempt attempt, AttemptPart part) {
        PartReport report = new PartReport(
                attempt.identifier(),
                part.index(),
                attempt.parts().size(),
                part.phase(),
                attempt.specification().resources(),
                part.firstAccelerator(),
                part.progress(),
                part.checkpoint(),
                "");
        return new Holder(part.server(), report, attempt.job().team());
    }

    /** A part that holds resources, and its team. Immutable. */
    private record Holder(String server, PartReport report, String team) {}

    private static String condition(PlacerState state, KnownAgent agent) {
        ServiceState service = state.context().configuration().stateOf(agent.name());
        if (agent.unresponsive()) {
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
