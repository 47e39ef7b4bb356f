package org.teaselwood.policy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.teaselwood.policy.PolicyFixture.guarantee;
import static org.teaselwood.policy.PolicyFixture.shape;
import static org.teaselwood.policy.PolicyFixture.team;
import static org.teaselwood.policy.PolicyFixture.template;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Level;
import org.teaselwood.model.Shape;
import org.teaselwood.policy.PolicyDecision.Place;
import org.teaselwood.policy.PolicyDecision.Preempt;

/** Random events with fixed seeds; the invariants are recomputed from scratch after every event. */
class RandomEventsTest {
    private static final int SERVERS = 9;
    private static final int ACCELERATORS = 8;
    private static final List<Shape> SHAPES = List.of(
            shape(1, 1, Level.SERVER),
            shape(1, 4, Level.SERVER),
            shape(2, 2, Level.SERVER),
            shape(3, 8, Level.RACK),
            shape(2, 4, Level.RACK),
            shape(8, 1, Level.DATA_CENTRE),
            shape(5, 3, Level.REGION));

    private final Map<AttemptIdentifier, Place> open = new TreeMap<>();
    private final Map<JobIdentifier, Shape> shapes = new HashMap<>();
    private final List<Preempt> stopping = new ArrayList<>();
    private int nextJob;

    /** Guards against overlapping units, guaranteed work outside its unit, and accelerators that are assigned twice. */
    @Test
    void units_never_overlap_and_contain_all_guaranteed_work() {
        for (int seed = 0; seed < 20; seed++) {
            run(seed, 1_500);
        }
    }

    /** Guards against decisions that depend on anything other than the events. */
    @Test
    void equal_events_give_equal_decisions() {
        assertThat(run(7, 1_500)).isEqualTo(run(7, 1_500));
    }

    private List<PolicyDecision> run(int seed, int events) {
        open.clear();
        stopping.clear();
        shapes.clear();
        nextJob = 0;
        Random random = new Random(seed);
        GuaranteeScheduler scheduler = new GuaranteeScheduler();
        PolicyFixture fixture = new PolicyFixture(scheduler).withServers(SERVERS, ACCELERATORS);
        fixture.withTeams(
                team("a", 30, guarantee(SHAPES.get(3), 1)),
                team("b", 30, guarantee(SHAPES.get(1), 3), guarantee(SHAPES.get(5), 1)),
                team("c", 30, guarantee(SHAPES.get(4), 1)));
        for (int index = 0; index < events; index++) {
            fixture.nowMilliseconds += random.nextInt(4_000);
            List<PolicyDecision> made = fixture.send(event(random, fixture));
            made.stream()
                    .filter(Place.class::isInstance)
                    .map(Place.class::cast)
                    .forEach(place -> open.put(place.attempt(), place));
            stopping.addAll(PolicyFixture.preemptions(made));
            assertInvariants(scheduler, "seed " + seed + ", event " + index);
        }
        return List.copyOf(fixture.decisions);
    }

    private PolicyEvent event(Random random, PolicyFixture fixture) {
        int choice = random.nextInt(100);
        if (!stopping.isEmpty() && choice < 50) {
            AttemptIdentifier attempt = stopping.removeFirst().attempt();
            return open.containsKey(attempt) ? ended(attempt, AttemptResult.STOPPED) : new PolicyEvent.Tick();
        }
        if (choice < 30) {
            Shape shape = SHAPES.get(random.nextInt(SHAPES.size()));
            String team = List.of("a", "b", "c").get(random.nextInt(3));
            JobRequest request = fixture.request(
                    "j" + nextJob++,
                    team,
                    template(shape, random.nextBoolean()),
                    random.nextInt(5) > 0,
                    random.nextInt(20) == 0);
            shapes.put(request.job(), shape);
            return new PolicyEvent.JobSubmitted(request);
        }
        if (choice < 70 && !open.isEmpty()) {
            AttemptIdentifier attempt = List.copyOf(open.keySet()).get(random.nextInt(open.size()));
            return choice < 45
                    ? new PolicyEvent.AttemptStarted(attempt)
                    : ended(attempt, AttemptResult.values()[random.nextInt(AttemptResult.values().length)]);
        }
        String server = "s0" + random.nextInt(SERVERS);
        return switch (choice) {
            case 70, 71 -> new PolicyEvent.ServerLost(server);
            case 72, 73 -> new PolicyEvent.ServerCordoned(server);
            case 74, 75 -> new PolicyEvent.ProbeEnded(server, true);
            case 76, 77, 78, 79, 80, 81, 82, 83 ->
                new PolicyEvent.ServerJoined(
                        PolicyFixture.server(server.charAt(2) - '0', ACCELERATORS, PolicyFixture.PLAIN));
            case 84, 85, 86 -> new PolicyEvent.JobCancelled(new JobIdentifier("j" + random.nextInt(nextJob + 1)));
            default -> new PolicyEvent.Tick();
        };
    }

    private PolicyEvent ended(AttemptIdentifier attempt, AttemptResult result) {
        Place place = open.remove(attempt);
        return new PolicyEvent.AttemptEnded(
                attempt, result, List.of(place.placements().getFirst().server()));
    }

    private static String cell(Level level, String server) {
        int index = server.charAt(2) - '0';
        return Cluster.cellName(level, PolicyFixture.server(index, ACCELERATORS, PolicyFixture.PLAIN));
    }

    private void assertInvariants(GuaranteeScheduler scheduler, String context) {
        Map<String, Long> unitArea = new TreeMap<>();
        for (GuaranteeUnit unit : scheduler.plan().units()) {
            for (PartPlacement placement : unit.placements) {
                long range = ServerState.rangeMask(
                        placement.firstAccelerator(), unit.shape.part().accelerators());
                long before = unitArea.getOrDefault(placement.server(), 0L);
                assertWithMessage(context + ": units overlap")
                        .that(before & range)
                        .isEqualTo(0);
                unitArea.put(placement.server(), before | range);
            }
            for (TrackedJob job : unit.occupants) {
                for (PartPlacement placement : job.positions()) {
                    long range = ServerState.rangeMask(
                            placement.firstAccelerator(), job.shape().part().accelerators());
                    assertWithMessage(context + ": guaranteed work outside its unit")
                            .that(range & ~unit.area.get(placement.server()).accelerators)
                            .isEqualTo(0);
                }
            }
        }
        Map<String, Long> held = new TreeMap<>();
        open.values().forEach(place -> {
            Shape shape = shapes.get(place.attempt().job());
            assertWithMessage(context + ": gang is incomplete")
                    .that(place.placements())
                    .hasSize(shape.parts());
            for (PartPlacement placement : place.placements()) {
                long range = ServerState.rangeMask(
                        placement.firstAccelerator(), shape.part().accelerators());
                long before = held.getOrDefault(placement.server(), 0L);
                assertWithMessage(context + ": accelerator held by two attempts")
                        .that(before & range)
                        .isEqualTo(0);
                held.put(placement.server(), before | range);
            }
        });
        for (ServerState server : scheduler.cluster().servers()) {
            assertWithMessage(context + ": accelerators held on " + server.name())
                    .that(server.held.accelerators)
                    .isEqualTo(held.getOrDefault(server.name(), 0L));
            assertWithMessage(context + ": accelerators of units on " + server.name())
                    .that(server.unitArea.accelerators)
                    .isEqualTo(unitArea.getOrDefault(server.name(), 0L));
        }
    }
}
