package org.teaselwood.policy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.teaselwood.policy.PolicyFixture.PLAIN;
import static org.teaselwood.policy.PolicyFixture.attempt;
import static org.teaselwood.policy.PolicyFixture.ends;
import static org.teaselwood.policy.PolicyFixture.guarantee;
import static org.teaselwood.policy.PolicyFixture.places;
import static org.teaselwood.policy.PolicyFixture.preemptions;
import static org.teaselwood.policy.PolicyFixture.server;
import static org.teaselwood.policy.PolicyFixture.shape;
import static org.teaselwood.policy.PolicyFixture.team;
import static org.teaselwood.policy.PolicyFixture.template;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.policy.PolicyDecision.Place;
import org.teaselwood.policy.PolicyDecision.Preempt;
import org.teaselwood.policy.PolicyDecision.Probe;
import org.teaselwood.policy.PolicyDecision.Quarantine;
import org.teaselwood.policy.PolicyDecision.Throttle;

/** Guarantees, borrowing, preemption and the handling of failing work. */
class GuaranteeSchedulerTest {
    private static final Shape HALF = shape(1, 4, Level.SERVER);
    private static final Shape ONE = shape(1, 1, Level.SERVER);

    private final PolicyFixture fixture = new PolicyFixture(new GuaranteeScheduler());

    private void borrowEverything(int count, String team, Shape shape, boolean checkpointable) {
        for (int index = 0; index < count; index++) {
            String job = team + index;
            fixture.submit(fixture.request(job, team, template(shape, checkpointable), true, false));
            fixture.started(job, 1);
        }
    }

    /** Guards against a team that cannot reclaim its guaranteed shape from borrowers (P1). */
    @Test
    void a_team_reclaims_its_guarantee_from_borrowers() {
        fixture.withServers(3, 4).withTeams(team("a", 100, guarantee(shape(2, 4, Level.RACK), 1)), team("b", 100));
        borrowEverything(12, "b", ONE, true);
        fixture.nowMilliseconds = 60_000;
        List<Preempt> victims = preemptions(fixture.submit(fixture.request("gang", "a", shape(2, 4, Level.RACK))));
        assertThat(victims).hasSize(8);
        assertThat(victims.getFirst().graceMilliseconds()).isAtMost(3_000L);
        fixture.nowMilliseconds += 3_000;
        Place place = null;
        for (Preempt victim : victims) {
            assertThat(place).isNull();
            fixture.send(new PolicyEvent.AttemptCheckpointed(victim.attempt()));
            List<PolicyDecision> made =
                    fixture.send(new PolicyEvent.AttemptEnded(victim.attempt(), AttemptResult.STOPPED, List.of()));
            place = places(made).stream()
                    .filter(decision -> decision.attempt().equals(attempt("gang", 1)))
                    .findFirst()
                    .orElse(null);
        }
        assertThat(place.guaranteed()).isTrue();
    }

    /** Guards against preemption of costly work while cheaper work holds an equivalent position. */
    @Test
    void the_cheapest_victims_are_chosen() {
        fixture.withServers(2, 4).withTeams(team("a", 100, guarantee(HALF, 2)), team("b", 100));
        fixture.submit(fixture.request("costly", "b", template(HALF, false), true, false));
        fixture.started("costly", 1);
        fixture.submit(fixture.request("cheap", "b", template(HALF, true), true, false));
        fixture.started("cheap", 1);
        fixture.nowMilliseconds = 600_000;
        assertThat(preemptions(fixture.submit(fixture.request("x", "a", HALF))).stream()
                        .map(Preempt::attempt))
                .containsExactly(attempt("cheap", 1));
    }

    /** Guards against preemption for a guarantee whose unit can move to free capacity. */
    @Test
    void an_empty_unit_moves_to_free_capacity_instead_of_preempting() {
        fixture.withServers(2, 4).withTeams(team("a", 100, guarantee(HALF, 1)), team("b", 100));
        fixture.submit(fixture.request("b0", "b", HALF));
        fixture.submit(fixture.request("b1", "b", HALF));
        fixture.ended("b0", 1, AttemptResult.SUCCEEDED);
        List<PolicyDecision> made = fixture.submit(fixture.request("x", "a", HALF));
        assertThat(preemptions(made)).isEmpty();
        assertThat(places(made).getFirst().guaranteed()).isTrue();
    }

    /** Guards against accepting guarantees that the cluster cannot meet. */
    @Test
    void guarantees_that_cannot_be_packed_are_refused() {
        fixture.withServers(3, 4);
        Configuration fits = new Configuration(1, Map.of(), Map.of("a", team("a", 1, guarantee(HALF, 3))), Map.of());
        fixture.scheduler.checkGuarantees(fits);
        Configuration tooMany = new Configuration(
                1, Map.of(), Map.of("a", team("a", 1, guarantee(shape(1, 3, Level.SERVER), 4))), Map.of());
        TeaselwoodException refused =
                assertThrows(TeaselwoodException.class, () -> fixture.scheduler.checkGuarantees(tooMany));
        assertThat(refused.kind()).isEqualTo(ErrorKind.GUARANTEES_DO_NOT_FIT);
    }

    /** Guards against running work on borrowed capacity that is neither idempotent nor checkpointable. */
    @Test
    void work_that_cannot_be_preempted_runs_only_inside_its_guarantee() {
        fixture.withServers(2, 4).withTeams(team("a", 100, guarantee(HALF, 1)));
        Template fixed = template(HALF, false);
        assertThat(places(fixture.submit(fixture.request("x", "a", fixed, false, false))))
                .hasSize(1);
        assertThat(fixture.submit(fixture.request("y", "a", fixed, false, false)))
                .isEmpty();
        assertThat(places(fixture.ended("x", 1, AttemptResult.SUCCEEDED))).hasSize(1);
    }

    /**
     * Guards against a guarantee that is still marked as full after it was freed while no job of the class was waiting.
     */
    @Test
    void a_guarantee_that_was_full_is_tried_again_by_the_next_job() {
        fixture.withServers(2, 4).withTeams(team("a", 9, guarantee(HALF, 1)), team("b", 9));
        fixture.submit(fixture.request("first", "a", HALF));
        fixture.submit(fixture.request("other", "b", HALF));
        fixture.submit(fixture.request("second", "a", HALF));
        fixture.send(new PolicyEvent.JobCancelled(new JobIdentifier("second")));
        fixture.ended("first", 1, AttemptResult.SUCCEEDED);
        fixture.submit(fixture.request("third", "b", HALF));
        assertThat(preemptions(fixture.submit(fixture.request("fourth", "a", HALF))))
                .hasSize(1);
    }

    /** Guards against urgent work that waits for ordinary work of its own team. */
    @Test
    void urgent_work_preempts_ordinary_work_of_its_team() {
        fixture.withServers(1, 4).withTeams(team("a", 100, guarantee(HALF, 1)));
        fixture.submit(fixture.request("ordinary", "a", HALF));
        fixture.started("ordinary", 1);
        fixture.nowMilliseconds = 1_000;
        List<Preempt> victims =
                preemptions(fixture.submit(fixture.request("urgent", "a", template(HALF, true), true, true)));
        assertThat(victims.stream().map(Preempt::attempt)).containsExactly(attempt("ordinary", 1));
        assertThat(places(fixture.ended("ordinary", 1, AttemptResult.STOPPED))
                        .getFirst()
                        .attempt())
                .isEqualTo(attempt("urgent", 1));
    }

    /** Guards against guarantees that stay unplaced after the loss of a server although other servers have capacity. */
    @Test
    void a_lost_server_is_replaced_by_moving_work_that_can_be_checkpointed() {
        fixture.withServers(3, 4)
                .withTeams(team("a", 9, guarantee(HALF, 1)), team("b", 9, guarantee(shape(2, 1, Level.SERVER), 1)));
        fixture.submit(fixture.request("a0", "a", HALF));
        fixture.submit(fixture.request("b0", "b", shape(2, 1, Level.SERVER)));
        String lost =
                places(fixture.decisions).getFirst().placements().getFirst().server();
        fixture.send(new PolicyEvent.ServerLost(lost));
        assertThat(places(fixture.ended("a0", 1, AttemptResult.LOST, lost))
                        .getFirst()
                        .guaranteed())
                .isTrue();
    }

    /** Guards against a shortfall that one team bears alone, or that no explanation mentions. */
    @Test
    void a_shortfall_is_shared_and_explained() {
        fixture.withServers(4, 4).withTeams(team("a", 9, guarantee(HALF, 2)), team("b", 9, guarantee(HALF, 2)));
        fixture.send(new PolicyEvent.ServerLost("s00"));
        fixture.send(new PolicyEvent.ServerLost("s01"));
        fixture.tick(1_000);
        GuaranteePlan plan = ((GuaranteeScheduler) fixture.scheduler).plan();
        assertThat(plan.unitsOf("a").stream().filter(GuaranteeUnit::isPlaced)).hasSize(1);
        assertThat(plan.unitsOf("b").stream().filter(GuaranteeUnit::isPlaced)).hasSize(1);
        fixture.submit(fixture.request("x", "a", HALF));
        assertThat(fixture.scheduler
                        .explain(new JobIdentifier("x"), fixture.nowMilliseconds)
                        .getLast())
                .contains("capacity is below the guarantees");
    }

    /**
     * Guards against a faulty server that fails one job after another, and against blaming the jobs for its failures.
     */
    @Test
    void a_server_that_fails_different_jobs_is_quarantined_and_probed() {
        fixture.withServers(2, 4);
        for (int index = 0; index < 3; index++) {
            String job = "j" + index;
            fixture.submit(fixture.request(job, "t", HALF));
            String used =
                    places(fixture.decisions).getLast().placements().getFirst().server();
            fixture.ended(job, 1, AttemptResult.FAILED, used);
            fixture.ended(job, 2, AttemptResult.SUCCEEDED);
        }
        assertThat(fixture.decisions).contains(new Quarantine("s00"));
        fixture.submit(fixture.request("one", "t", HALF));
        fixture.submit(fixture.request("two", "t", HALF));
        assertThat(places(fixture.decisions).getLast().attempt()).isEqualTo(attempt("one", 1));
        assertThat(fixture.tick(ServerHealth.FIRST_PROBE_DELAY_MILLISECONDS)).contains(new Probe("s00"));
        assertThat(places(fixture.send(new PolicyEvent.ProbeEnded("s00", true))))
                .hasSize(1);
    }

    /**
     * Guards against unlimited retries of jobs that always fail: their failures quarantine servers, and failures on
     * quarantined servers are not counted against the jobs.
     */
    @Test
    void a_burst_of_jobs_that_always_fail_ends_although_it_quarantines_servers() {
        fixture.withServers(6, 4);
        IntStream.range(0, 6).forEach(index -> fixture.submit(fixture.request("j" + index, "t", HALF)));
        int handled = 0;
        for (int round = 0; round < 100 && ends(fixture.decisions).size() < 6; round++) {
            List<PolicyDecision> made = List.copyOf(fixture.decisions.subList(handled, fixture.decisions.size()));
            handled = fixture.decisions.size();
            fixture.tick(20_000);
            made.stream()
                    .filter(Probe.class::isInstance)
                    .forEach(probe -> fixture.send(new PolicyEvent.ProbeEnded(((Probe) probe).server(), true)));
            places(made).forEach(place -> {
                fixture.send(new PolicyEvent.AttemptStarted(place.attempt()));
                String server = place.placements().getFirst().server();
                fixture.send(new PolicyEvent.AttemptEnded(place.attempt(), AttemptResult.FAILED, List.of(server)));
            });
        }
        assertThat(fixture.decisions.stream()
                        .filter(Quarantine.class::isInstance)
                        .toList())
                .isNotEmpty();
        assertThat(ends(fixture.decisions)).hasSize(6);
    }

    /** Guards against a job that failed once and was then stopped, and is never retried although a server is free. */
    @Test
    void a_job_that_failed_and_was_stopped_runs_again_when_its_server_returns() {
        fixture.withServers(2, 4);
        Shape whole = shape(1, 4, Level.SERVER);
        fixture.submit(fixture.request("x", "t", whole));
        String first =
                places(fixture.decisions).getFirst().placements().getFirst().server();
        String second = first.equals("s00") ? "s01" : "s00";
        fixture.started("x", 1);
        fixture.ended("x", 1, AttemptResult.FAILED, first);
        fixture.started("x", 2);
        fixture.send(new PolicyEvent.ServerCordoned(second));
        fixture.ended("x", 2, AttemptResult.STOPPED);
        fixture.tick(1_000);
        int index = Integer.parseInt(second.substring(1));
        fixture.send(new PolicyEvent.ServerJoined(server(index, 4, PLAIN)));
        assertThat(places(fixture.tick(1_000))).hasSize(1);
    }

    /** Guards against endless retries by a team whose work always fails. */
    @Test
    void a_failure_without_remaining_retry_budget_ends_the_job() {
        fixture.withServers(2, 4);
        for (int index = 0; index <= RetryBudget.CAPACITY; index++) {
            String job = "j" + index;
            fixture.submit(fixture.request(job, "t", ONE));
            fixture.ended(job, 1, AttemptResult.FAILED);
            fixture.send(new PolicyEvent.JobCancelled(new JobIdentifier(job)));
            fixture.ended(job, 2, AttemptResult.STOPPED);
        }
        assertThat(ends(fixture.decisions).getLast().kind()).isEqualTo(ErrorKind.RETRY_BUDGET_EXHAUSTED);
    }

    /** Guards against work that uses more than it declared at the expense of other work on the server. */
    @Test
    void overuse_is_throttled_and_then_stopped() {
        fixture.withServers(1, 4);
        fixture.submit(fixture.request("x", "t", ONE));
        for (int report = 0; report < AttemptEvents.REPORTS_BEFORE_STOP; report++) {
            fixture.send(new PolicyEvent.UsageReported(attempt("x", 1), 2.0, 0));
        }
        assertThat(fixture.decisions).contains(new Throttle(attempt("x", 1)));
        assertThat(preemptions(fixture.decisions)).hasSize(1);
    }

    /** Guards against starvation of a large gang by small jobs. */
    @Test
    void a_large_gang_preempts_small_borrowed_work_once_its_wait_exceeds_the_cost() {
        fixture.withServers(3, 4);
        borrowEverything(12, "b", ONE, true);
        fixture.submit(fixture.request("gang", "c", shape(3, 4, Level.RACK)));
        assertThat(preemptions(fixture.tick(1_000))).isEmpty();
        assertThat(preemptions(fixture.tick(20_000))).hasSize(12);
    }

    /** Guards against a job that waits indefinitely behind work that cannot be checkpointed. */
    @Test
    void an_overdue_job_preempts_any_later_borrowed_work() {
        fixture.withServers(1, 4);
        Shape two = shape(1, 2, Level.SERVER);
        fixture.submit(fixture.request("early", "b", template(two, false), true, false));
        fixture.submit(fixture.request("waits", "c", template(HALF, false), true, false));
        fixture.nowMilliseconds = 1;
        fixture.submit(fixture.request("late", "b", template(two, false), true, false));
        fixture.started("late", 1);
        fixture.ended("early", 1, AttemptResult.SUCCEEDED);
        assertThat(preemptions(fixture.tick(FairQueue.OVERDUE_MILLISECONDS - 2)))
                .isEmpty();
        assertThat(preemptions(fixture.tick(1)).stream().map(Preempt::attempt)).containsExactly(attempt("late", 1));
    }

    /** Guards against urgent work that is delayed by a large number of cancellations. */
    @Test
    void ten_thousand_cancellations_do_not_delay_urgent_work() {
        fixture.withServers(4, 4).withTeams(team("a", 10, guarantee(HALF, 1)), team("b", 20_000));
        borrowEverything(16, "b", ONE, true);
        for (int index = 0; index < 10_000; index++) {
            fixture.submit(fixture.request("w" + index, "b", ONE));
        }
        long before = System.nanoTime();
        for (int index = 0; index < 10_000; index++) {
            fixture.send(new PolicyEvent.JobCancelled(new JobIdentifier("w" + index)));
        }
        assertThat(preemptions(fixture.submit(fixture.request("urgent", "a", template(HALF, true), true, true))))
                .hasSize(4);
        // The cancellations take tens of milliseconds in total; the bound only fails if each of them causes a search.
        assertThat(System.nanoTime() - before).isLessThan(2_000_000_000L);
    }

    /**
     * Guards against a unit that is moved to the known parts of a gang, and can then never hold a complete gang again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void a_partly_adopted_gang_does_not_shrink_the_guarantee(boolean otherServerKnown) {
        Shape gang = PolicyFixture.shape(2, 4, Level.REGION);
        PolicyFixture fixture = new PolicyFixture(new GuaranteeScheduler());
        fixture.withTeams(PolicyFixture.team("a", 10, PolicyFixture.guarantee(gang, 1)));
        fixture.withServers(2, 4);
        fixture.send(new PolicyEvent.JobAdopted(
                fixture.request("j1", "a", gang),
                PolicyFixture.attempt("j1", 1),
                otherServerKnown
                        ? List.of(new PartPlacement(0, "s00", 0), new PartPlacement(1, "s01", -1))
                        : List.of(new PartPlacement(0, "s00", 0)),
                true,
                0));
        fixture.ended("j1", 1, AttemptResult.CANCELLED);
        fixture.tick(1_000);
        Template inside = PolicyFixture.template(gang, false);
        List<PolicyDecision> made = fixture.submit(fixture.request("j2", "a", inside, false, false));
        assertThat(PolicyFixture.places(made).getFirst().placements().stream().map(PartPlacement::server))
                .containsExactly("s00", "s01");
    }

    /**
     * Guards against jobs of the same template that preempt each other in turn, because the learned run times of their
     * class are short.
     */
    @Test
    void long_jobs_of_one_template_do_not_preempt_each_other() {
        Shape one = PolicyFixture.shape(1, 4, Level.SERVER);
        PolicyFixture fixture = new PolicyFixture(new GuaranteeScheduler());
        fixture.withTeams(PolicyFixture.team("a", 10)).withServers(1, 4);
        for (int index = 0; index < 20; index++) {
            fixture.submit(fixture.request("short" + index, "a", one));
            fixture.started("short" + index, 1);
            fixture.nowMilliseconds += 2_000;
            fixture.ended("short" + index, 1, AttemptResult.SUCCEEDED);
        }
        fixture.submit(fixture.request("long", "a", one));
        fixture.started("long", 1);
        fixture.submit(fixture.request("next", "a", one));
        for (int second = 0; second < 600; second++) {
            fixture.tick(1_000);
        }
        assertThat(PolicyFixture.preemptions(fixture.decisions)).isEmpty();
    }

    /** Guards against guarantees without cores, memory and slots if servers join after the configuration is set. */
    @Test
    void unspecified_amounts_of_a_guarantee_are_filled_in_when_servers_join() {
        Shape open = new Shape(1, PartResources.ofAccelerators(4), Level.SERVER);
        GuaranteeScheduler scheduler = new GuaranteeScheduler();
        PolicyFixture fixture = new PolicyFixture(scheduler);
        fixture.withTeams(PolicyFixture.team("a", 10, PolicyFixture.guarantee(open, 1)));
        fixture.withServers(1, 4);
        fixture.tick(1_000);
        assertThat(scheduler.plan().units().getFirst().shape.part()).isEqualTo(new PartResources(4, 8, 32, 131_072));
    }

    /** Guards against a takeover that loses the guaranteed state of running work or starts the work twice. */
    @Test
    void adopted_guaranteed_work_enters_its_unit() {
        fixture.withServers(3, 4).withTeams(team("a", 10, guarantee(HALF, 1)));
        fixture.send(new PolicyEvent.JobAdopted(
                fixture.request("x", "a", HALF), attempt("x", 4), List.of(new PartPlacement(0, "s02", 0)), true, 0));
        GuaranteeUnit unit =
                ((GuaranteeScheduler) fixture.scheduler).plan().unitsOf("a").getFirst();
        assertThat(unit.area.keySet()).containsExactly("s02");
        assertThat(unit.occupants).hasSize(1);
        assertThat(places(fixture.tick(1_000))).isEmpty();
        fixture.ended("x", 4, AttemptResult.LOST);
        assertThat(places(fixture.decisions).getLast().attempt()).isEqualTo(attempt("x", 5));
    }

    /** Guards against work on a server that has enough resources but lacks the capability. */
    @Test
    void work_never_runs_on_a_server_without_the_capability() {
        fixture.send(new PolicyEvent.ServerJoined(server(0, 8, Set.of("other"))));
        fixture.send(new PolicyEvent.ServerJoined(server(1, 4, PLAIN)));
        fixture.submit(fixture.request("x", "t", HALF));
        assertThat(places(fixture.decisions).getFirst().placements().getFirst().server())
                .isEqualTo("s01");
    }
}
