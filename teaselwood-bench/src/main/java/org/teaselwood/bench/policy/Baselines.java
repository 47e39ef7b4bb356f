package org.teaselwood.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.Team;
import org.teaselwood.policy.FirstFitScheduler;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.policy.ServerState;

/** Baseline policies for the comparison with the guarantee policy. Stateless. */
final class Baselines {
    private Baselines() {}

    /** Returns a first-fit policy in order of arrival that skips jobs that do not fit. */
    static Scheduler firstFit() {
        return new FirstFitScheduler();
    }

    /** Returns a best-fit policy in order of arrival, in which a job that does not fit blocks all later ones. */
    static Scheduler bestFit() {
        Comparator<ServerState> fullestFirst =
                Comparator.comparingInt(ServerState::freeAcceleratorCount).thenComparing(ServerState::name);
        return new FirstFitScheduler(fullestFirst, true, (team, server) -> true);
    }

    /** Returns a first-fit policy in a static partition of the cluster, sized by the teams' guarantees and weights. */
    static Scheduler staticSplit(Deployment deployment) {
        Map<String, String> owners = owners(deployment);
        return new FirstFitScheduler(null, false, (team, server) -> team.equals(owners.get(server)));
    }

    /**
     * Returns the owning team by server. Assigns servers in order of their names, so that partitions cover whole racks
     * where possible. The size of a team's partition is the mean of its share of the guaranteed accelerators and its
     * share of the weights.
     */
    private static Map<String, String> owners(Deployment deployment) {
        List<Team> teams = new ArrayList<>(deployment.configuration().teams().values());
        teams.sort(Comparator.<Team>comparingInt(team -> -guaranteed(team)).thenComparing(Team::name));
        double totalGuaranteed = teams.stream().mapToInt(Baselines::guaranteed).sum();
        double totalWeight = teams.stream().mapToInt(Team::weight).sum();
        Map<String, String> owners = new HashMap<>();
        double partitionEnd = 0;
        int next = 0;
        List<BackendServer> servers = deployment.servers();
        for (Team team : teams) {
            partitionEnd += servers.size() * (guaranteed(team) / totalGuaranteed + team.weight() / totalWeight) / 2;
            int end = Math.max(next, (int) Math.round(partitionEnd));
            for (int index = next; index < Math.min(end, servers.size()); index++) {
                owners.put(servers.get(index).name(), team.name());
            }
            next = end;
        }
        return owners;
    }

    private static int guaranteed(Team team) {
        return team.guarantees().stream()
                .mapToInt(guarantee -> accelerators(guarantee) * guarantee.count())
                .sum();
    }

    private static int accelerators(Guarantee guarantee) {
        return guarantee.shape().totalAccelerators();
    }
}
