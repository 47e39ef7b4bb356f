package org.teaselwood.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Shape;

/** Computes the share of idle accelerators that cannot serve the largest waiting or guaranteed shape. Stateless. */
public final class Fragmentation {
    private static final Comparator<Need> BY_SIZE = Comparator.<Need>comparingInt(
                    need -> need.shape().totalAccelerators())
            .thenComparingInt(need -> need.shape().part().accelerators())
            .thenComparing(need -> need.shape().adjacency(), Comparator.reverseOrder())
            .thenComparing(need -> need.shape().toString())
            .thenComparing(need -> need.capabilities().toString());

    private Fragmentation() {}

    /** Returns the fragmentation of a cluster, or 0 if no accelerator is idle or no shape needs accelerators. */
    static double compute(Cluster cluster, Collection<TrackedJob> waiting, Configuration configuration) {
        Stream<Need> waits = waiting.stream()
                .map(job -> new Need(job.shape(), job.request.template().capabilities()));
        Stream<Need> guaranteed = configuration.teams().values().stream()
                .flatMap(team -> team.guarantees().stream())
                .map(guarantee -> new Need(guarantee.shape(), guarantee.capabilities()));
        Optional<Need> largest = Stream.concat(waits, guaranteed).max(BY_SIZE);
        return largest.filter(need -> need.shape().part().accelerators() > 0)
                .map(need -> compute(cluster, need.shape(), need.capabilities()))
                .orElse(0.0);
    }

    /** Returns the share of the idle accelerators of capable servers that cannot serve the shape. */
    public static double compute(Cluster cluster, Shape shape, Set<String> capabilities) {
        long idle = 0;
        long useful = 0;
        for (Map.Entry<String, List<ServerState>> cell :
                cluster.cells(shape.adjacency()).entrySet()) {
            long parts = 0;
            for (ServerState server : cell.getValue()) {
                if (server.isAvailable() && Cluster.isCapable(server, capabilities)) {
                    idle += server.freeAcceleratorCount();
                    parts += server.countFittingParts(shape.part());
                }
            }
            useful += parts / shape.parts() * shape.totalAccelerators();
        }
        return idle == 0 ? 0 : 1.0 - (double) useful / idle;
    }

    private record Need(Shape shape, Set<String> capabilities) {}
}
