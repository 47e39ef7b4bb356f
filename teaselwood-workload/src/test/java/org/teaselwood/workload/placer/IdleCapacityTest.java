package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.record.JobPhase;

/**
 * Plays random load with trouble and checks the users' rule on lost jobs: none may have nothing running for three
 * seconds while there is capacity for it twice over and under half of the capacity is in use.
 *
 * <p>The load: jobs of all priorities, gangs in one rack, labels and limits per server, of which some can never be
 * done; bursts of urgent jobs that are cancelled; a server that fails everything for some time; capacity that shrinks
 * and grows; and a change of the placer.
 */
final class IdleCapacityTest {
    private static final int SERVERS = 8;
    private static final long STEP_MILLISECONDS = 50;
    private static final long LOAD_MILLISECONDS = 90_000;
    private static final long SETTLING_MILLISECONDS = 60_000;
    private static final long LOST_AFTER_MILLISECONDS = 3_000;

    private final PlacerScenario scenario = new PlacerScenario();
    private final Map<String, Long> idleSince = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private long longestIdle;
    private String longestIdleJob = "";

    private void submit(String id, Random random) {
        boolean gang = random.nextInt(4) == 0;
        int count = 1 + random.nextInt(3);
        String queue = List.of("urgent", "normal", "batch").get(random.nextInt(3));
        long work = 200 + random.nextInt(6_000);
        boolean hopeless = random.nextInt(8) == 0;
        for (int index = 0; index < count; index++) {
            String task = id + ".0.0." + index;
            scenario.workMilliseconds.put(task, work);
            if (hopeless) {
                scenario.servers.values().forEach(server -> server.endKinds.put(task, EndKind.FAILED));
            }
        }
        StepSpecification step = new StepSpecification(
                count,
                new Resources(1_000 + random.nextInt(4_000), 1_000, random.nextInt(gang ? 8 : 3)),
                Math.round(work * Math.pow(2, random.nextDouble(-1, 1))),
                List.of(),
                random.nextBoolean(),
                gang,
                gang,
                random.nextInt(5) == 0 ? "r" + random.nextInt(3) : "",
                "",
                random.nextInt(6) == 0 ? 1 + random.nextInt(2) : 0,
                false,
                false,
                0,
                0);
        scenario.submit(new JobSpecification(
                id, queue, random.nextBoolean() ? "team" : "other", "payload", List.of(step), 0, 0, 0));
    }

    private void disturb(long at, Random random) {
        List<FakeServer> servers = List.copyOf(scenario.servers.values());
        FakeServer server = servers.get(random.nextInt(servers.size()));
        switch (random.nextInt(5)) {
            case 0 -> server.endKind = EndKind.FAILED;
            case 1 -> servers.forEach(other -> other.endKind = EndKind.DONE);
            case 2 -> server.changeCapacity(new Resources(8_000, 32_768, 2));
            case 3 -> servers.forEach(other -> other.changeCapacity(PlacerScenario.SERVER));
            default -> {
                for (int job = 0; job < 6; job++) {
                    scenario.submit("burst" + at + "-" + job, "urgent", PlacerScenario.step(2, 8));
                }
                scenario.run(random.nextInt(1_000));
                for (int job = 0; job < 6; job++) {
                    scenario.placer.jobCancelled("burst" + at + "-" + job, scenario.now);
                }
            }
        }
    }

    /** Returns what is free on each server by its current capacity. */
    private Map<FakeServer, Resources> free() {
        Map<FakeServer, Resources> free = new HashMap<>();
        scenario.servers.values().forEach(server -> {
            Resources left = capacity(server);
            for (String run : server.running.keySet()) {
                left = left.minus(scenario.accepted
                        .get(run.substring(0, run.indexOf('.')))
                        .steps()
                        .getFirst()
                        .reserved());
            }
            free.put(server, left);
        });
        return free;
    }

    private static Resources capacity(FakeServer server) {
        return new Resources(
                server.description.milliCores(),
                server.description.memoryMebibytes(),
                server.description.accelerators());
    }

    private void observe() {
        Map<FakeServer, Resources> free = free();
        double freeCores =
                free.values().stream().mapToDouble(Resources::equivalentCores).sum();
        double cores = free.keySet().stream()
                .mapToDouble(server -> capacity(server).equivalentCores())
                .sum();
        scenario.accepted.values().forEach(job -> {
            JobPhase phase = scenario.phase(job.id());
            boolean running = free.keySet().stream()
                    .anyMatch(
                            server -> server.running.keySet().stream().anyMatch(run -> run.startsWith(job.id() + ".")));
            int started = (int) free.keySet().stream()
                    .flatMap(server -> server.starts.stream())
                    .filter(start -> start.task().startsWith(job.id() + "."))
                    .count();
            boolean startedMore = !Integer.valueOf(started).equals(starts.put(job.id(), started));
            boolean waits = (phase == JobPhase.QUEUED || phase == JobPhase.RUNNING)
                    && !running
                    && !startedMore
                    && freeCores > cores / 2
                    && fits(job.steps().getFirst(), 2, free);
            if (!waits) {
                idleSince.remove(job.id());
                return;
            }
            long idle = scenario.now - idleSince.computeIfAbsent(job.id(), id -> scenario.now);
            if (idle > longestIdle) {
                longestIdle = idle;
                longestIdleJob = job.toString();
            }
        });
    }

    /** Returns whether the gang, or one task of another step, fits the given number of times. */
    private static boolean fits(StepSpecification step, int times, Map<FakeServer, Resources> free) {
        int limit = step.maximumPerServer() == 0 ? Integer.MAX_VALUE : step.maximumPerServer();
        int fitting = 0;
        for (Map.Entry<FakeServer, Resources> server : free.entrySet()) {
            if (step.selector().isEmpty()
                    || server.getKey().description.labels().contains(step.selector())) {
                Resources left = server.getValue();
                for (int task = 0; task < limit && left.covers(step.reserved()) && task < 100; task++) {
                    left = left.minus(step.reserved());
                    fitting++;
                }
            }
        }
        return fitting >= times * (step.gang() ? step.count() : 1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void no_job_waits_for_three_seconds_while_its_capacity_is_free_twice_over(long seed) {
        Random random = new Random(seed);
        for (int server = 0; server < SERVERS; server++) {
            scenario.server("s" + server, "r" + server % 3);
        }
        scenario.run(600);
        long intervalMilliseconds = 200 + 100 * (seed % 4);
        for (long at = 0; at < LOAD_MILLISECONDS + SETTLING_MILLISECONDS; at += STEP_MILLISECONDS) {
            if (at < LOAD_MILLISECONDS && at % intervalMilliseconds == 0) {
                submit("job" + at, random);
            }
            if (at < LOAD_MILLISECONDS && at % 3_000 == 0) {
                disturb(at, random);
            }
            if (at == LOAD_MILLISECONDS / 2) {
                scenario.elect();
            }
            if (at == LOAD_MILLISECONDS) {
                scenario.servers.values().forEach(server -> server.changeCapacity(PlacerScenario.SERVER));
            }
            scenario.run(STEP_MILLISECONDS);
            observe();
            scenario.accepted.keySet().removeIf(this::isEnded);
        }
        assertWithMessage("longest wait of %s", longestIdleJob)
                .that(longestIdle)
                .isLessThan(LOST_AFTER_MILLISECONDS);
        Map<FakeServer, Resources> free = free();
        scenario.accepted.values().removeIf(job -> !fits(job.steps().getFirst(), 1, free));
        assertWithMessage("open jobs that fit").that(scenario.accepted.keySet()).isEmpty();
    }

    private boolean isEnded(String job) {
        JobPhase phase = scenario.phase(job);
        return phase != JobPhase.QUEUED
                && phase != JobPhase.RUNNING
                && scenario.servers.values().stream()
                        .noneMatch(
                                server -> server.running.keySet().stream().anyMatch(run -> run.startsWith(job + ".")));
    }
}
