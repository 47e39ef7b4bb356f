package org.teaselwood.bench.policy;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.teaselwood.policy.GuaranteeScheduler;

/** Tests the simulation on a small cluster. */
class SimulationTest {
    private static SimulationStatistics run(long seed) {
        Deployment whole = Deployment.named("lab");
        Deployment cluster = new Deployment(
                whole.servers(), whole.configuration(), whole.classes(), 10_800_000, whole.largeAccelerators(), 1);
        return new Simulation(cluster, WorkStream.of(cluster, seed, 0.9), new GuaranteeScheduler(), seed).run();
    }

    /** Guards against a stream or a policy that depends on anything but the seed. */
    @Test
    void equal_seeds_give_equal_figures() {
        assertThat(run(3).slowdowns).isEqualTo(run(3).slowdowns);
    }

    /** Guards against partially placed gangs and against jobs that the simulation loses. */
    @Test
    void all_work_ends_and_no_gang_is_placed_in_part() {
        SimulationStatistics statistics = run(4);
        assertThat(statistics.gangViolations).isEqualTo(0);
        assertThat(statistics.unfinished).isEqualTo(0);
        assertThat(statistics.slowdowns).isNotEmpty();
    }

    /** Guards against a stream whose offered work differs from the requested load. */
    @Test
    void the_offered_work_is_the_load() {
        Deployment cluster = Deployment.named("lab");
        double offered = WorkStream.of(cluster, 1, 0.7).jobs().stream()
                .filter(job -> !job.request().template().name().endsWith("-wide"))
                .mapToDouble(job -> (double) job.runMilliseconds()
                        * job.request().template().shape().totalAccelerators())
                .sum();
        assertThat(offered / cluster.accelerators() / cluster.horizonMilliseconds())
                .isWithin(0.02)
                .of(0.7);
    }
}
