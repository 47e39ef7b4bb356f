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

/** The policies that ours is compared with. Stateless. */
final class Baselines {
    private Baselines() {}

    /** In order of arrival, each job at the first place that fits; jobs that do not fit are passed over. */
    static Scheduler firstFit() {
        return new FirstFitScheduler();
    }

    /** In order of arrival on the fullest servers that fit; a job that does not fit holds up all later ones. */
    static Scheduler bestFit() {
        Comparator<ServerState> fullest =
                Comparator.comparingInt(ServerState::freeAcceleratorCount).thenComparing(ServerState::name);
        return new FirstFitScheduler(fullest, true, (team, server) -> true);
    }

    /** First-come first-fit inside fixed slices of the cluster, sized by the guarantees and weights of the teams. */
    static Scheduler staticSplit(Deployment deployment) {
        Map<String, String> owners = owners(deployment);
        return new FirstFitScheduler(null, false, (team, server) -> team.equals(owners.get(server)));
    }

    /**
     * Servers go to teams rack by rack, in order of names, so that slices keep whole racks where they can. A team's
     * size is the mean of its share of the guaranteed accelerators and its share of the weights.
     */
    private static Map<String, String> owners(Deployment deployment) {
        List<Team> teams = new ArrayList<>(deployment.configuration().teams().values());
        teams.sort(Comparator.<Team>comparingInt(team -> -guaranteed(team)).thenComparing(Team::name));
        double allGuaranteed = teams.stream().mapToInt(Baselines::guaranteed).sum();
        double allWeights = teams.stream().mapToInt(Team::weight).sum();
        Map<String, String> owners = new HashMap<>();
        double due = 0;
        int next = 0;
        List<BackendServer> servers = deployment.servers();
        for (Team team : teams) {
            due += servers.size() * (guaranteed(team) / allGuaranteed + team.weight() / allWeights) / 2;
            int end = Math.max(next, (int) Math.round(due));
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
