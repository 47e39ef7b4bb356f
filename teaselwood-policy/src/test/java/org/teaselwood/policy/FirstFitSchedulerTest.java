package org.teaselwood.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.teaselwood.policy.PolicyFixture.ends;
import static org.teaselwood.policy.PolicyFixture.places;
import static org.teaselwood.policy.PolicyFixture.shape;
import static org.teaselwood.policy.PolicyFixture.team;
import static org.teaselwood.policy.PolicyFixture.template;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;

/** Placement rules that do not depend on guarantees. */
class FirstFitSchedulerTest {
    private final PolicyFixture fixture = new PolicyFixture(new FirstFitScheduler());

    /** Guards against a gang that starts with some of its parts missing, and against one that spans two racks. */
    @Test
    void a_gang_waits_until_one_rack_holds_all_its_parts() {
        fixture.withServers(6, 4);
        fixture.submit(fixture.request("a", "t", shape(1, 4, Level.SERVER)));
        fixture.submit(fixture.request("b", "t", shape(3, 4, Level.RACK)));
        assertThat(places(fixture.decisions).getLast().placements())
                .containsExactly(
                        new PartPlacement(0, "s03", 0), new PartPlacement(1, "s04", 0), new PartPlacement(2, "s05", 0));
        assertThat(places(fixture.submit(fixture.request("c", "t", shape(3, 4, Level.RACK)))))
                .isEmpty();
        assertThat(places(fixture.ended("a", 1, AttemptResult.SUCCEEDED))).hasSize(1);
    }

    /** Guards against two parts that share an accelerator, and against a part whose accelerators are not adjacent. */
    @Test
    void parts_take_adjacent_free_accelerators() {
        fixture.withServers(1, 8);
        fixture.submit(fixture.request("a", "t", shape(1, 3, Level.SERVER)));
        fixture.submit(fixture.request("b", "t", shape(1, 2, Level.SERVER)));
        fixture.submit(fixture.request("c", "t", shape(1, 3, Level.SERVER)));
        fixture.ended("a", 1, AttemptResult.SUCCEEDED);
        fixture.ended("c", 1, AttemptResult.SUCCEEDED);
        assertThat(fixture.submit(fixture.request("d", "t", shape(1, 4, Level.SERVER))))
                .isEmpty();
        List<PolicyDecision> made = fixture.submit(fixture.request("e", "t", shape(2, 3, Level.SERVER)));
        assertThat(places(made).getFirst().placements())
                .containsExactly(new PartPlacement(0, "s00", 0), new PartPlacement(1, "s00", 5));
    }

    /** Guards against work on a server without the capability, and against overcommitted slots, cores and memory. */
    @Test
    void capabilities_slots_cores_and_memory_are_respected() {
        fixture.withServers(1, 8);
        fixture.send(new PolicyEvent.ServerJoined(PolicyFixture.server(1, 0, Set.of("render"))));
        List<PartResources> full = List.of(
                new PartResources(0, 5, 0, 0), new PartResources(0, 0, 20, 0), new PartResources(0, 0, 0, 70_000));
        for (int index = 0; index < full.size(); index++) {
            Shape shape = new Shape(1, full.get(index), Level.SERVER);
            assertThat(places(fixture.submit(fixture.request("a" + index, "t", shape))))
                    .hasSize(1);
            assertThat(places(fixture.submit(fixture.request("b" + index, "t", shape))))
                    .isEmpty();
        }
    }

    /** Guards against a retry on a server where the job failed, and against endless retries. */
    @Test
    void a_job_that_fails_on_three_distinct_servers_ends() {
        fixture.withServers(4, 1);
        fixture.submit(fixture.request("a", "t", shape(1, 1, Level.SERVER)));
        for (int number = 1; number <= 3; number++) {
            String server =
                    places(fixture.decisions).getLast().placements().getFirst().server();
            assertThat(server).isEqualTo("s0" + (number - 1));
            fixture.ended("a", number, AttemptResult.FAILED, server);
        }
        assertThat(ends(fixture.decisions).getFirst().kind()).isEqualTo(ErrorKind.ATTEMPTS_EXHAUSTED);
    }

    /** Guards against a second run of work that is not idempotent and may already have run. */
    @Test
    void lost_work_runs_again_only_when_it_is_idempotent() {
        fixture.withServers(2, 1);
        fixture.submit(fixture.request("a", "t", shape(1, 1, Level.SERVER)));
        fixture.submit(fixture.request("b", "t", template(shape(1, 1, Level.SERVER), false), false, false));
        fixture.started("a", 1);
        fixture.started("b", 1);
        fixture.send(new PolicyEvent.ServerLost("s00"));
        assertThat(places(fixture.ended("a", 1, AttemptResult.LOST, "s00"))).isEmpty();
        fixture.send(new PolicyEvent.ServerLost("s01"));
        assertThat(ends(fixture.ended("b", 1, AttemptResult.LOST, "s01"))
                        .getFirst()
                        .kind())
                .isEqualTo(ErrorKind.MAY_HAVE_RUN);
        assertThat(places(fixture.send(new PolicyEvent.ServerJoined(PolicyFixture.server(0, 1, PolicyFixture.PLAIN)))))
                .hasSize(1);
    }

    /** Guards against a cancelled job that is placed later, or placed again after its attempt ended. */
    @Test
    void a_cancelled_job_never_starts_again() {
        fixture.withServers(1, 1);
        fixture.submit(fixture.request("a", "t", shape(1, 1, Level.SERVER)));
        fixture.submit(fixture.request("b", "t", shape(1, 1, Level.SERVER)));
        fixture.send(new PolicyEvent.JobCancelled(new JobIdentifier("a")));
        fixture.send(new PolicyEvent.JobCancelled(new JobIdentifier("b")));
        assertThat(fixture.ended("a", 1, AttemptResult.STOPPED)).isEmpty();
        assertThat(fixture.tick(1_000)).isEmpty();
    }

    /** Guards against a job that can never run and waits indefinitely, and against ending such a job too early. */
    @Test
    void an_impossible_job_ends_after_the_stated_wait() {
        fixture.withServers(1, 1);
        fixture.submit(fixture.request("a", "t", shape(1, 2, Level.SERVER)));
        fixture.tick(1_000);
        assertThat(fixture.tick(FirstFitScheduler.IMPOSSIBLE_WAIT_MILLISECONDS - 1))
                .isEmpty();
        assertThat(ends(fixture.tick(1)).getFirst().kind()).isEqualTo(ErrorKind.IMPOSSIBLE);
    }

    /** Guards against an unbounded queue. */
    @Test
    void a_full_queue_refuses_the_next_job() {
        fixture.withTeams(team("t", 1));
        fixture.submit(fixture.request("a", "t", shape(1, 1, Level.SERVER)));
        assertThat(ends(fixture.submit(fixture.request("b", "t", shape(1, 1, Level.SERVER))))
                        .getFirst()
                        .kind())
                .isEqualTo(ErrorKind.QUEUE_FULL);
    }
}
