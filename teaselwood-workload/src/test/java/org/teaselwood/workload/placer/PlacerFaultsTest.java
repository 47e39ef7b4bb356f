package org.teaselwood.workload.placer;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.EndKind;
import org.teaselwood.protocol.message.WorkMessage.EndedTask;
import org.teaselwood.workload.model.TaskName;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.record.JobPhase;
import org.teaselwood.workload.record.JobRecord;
import org.teaselwood.workload.record.TaskRecord;
import org.teaselwood.workload.record.WorkloadJson;

/**
 * Runs random jobs under random faults in virtual time and checks the invariants of the placer: no task runs twice at
 * once or again after a stored success, no success is acknowledged before it is stored, no server is overloaded, no
 * gang stays incomplete beyond the gang wait timeout, every job ends once the faults have ended, and none fails before
 * one of its tasks has used all its attempts or two of its servers have crashed.
 */
final class PlacerFaultsTest {
    private static final int SEEDS = 60;
    private static final int STEPS = 300;
    private static final long SLICE_MILLISECONDS = 100;
    private static final int SERVERS = 6;
    private static final int MAXIMUM_ATTEMPTS = 3;

    /** Number of crashed servers after which a task that they had started may be given up. */
    private static final int CRASHES = 2;

    /** Keeps the incarnations of the agents of a restarted VM apart from those of restarted agents. */
    private static final long AGENT_INCARNATION_STEP = 1_000;

    /** Longer than a lease, so that some runs are still active when the lease of a disconnected server expires. */
    private static final int LONGEST_WORK_MILLISECONDS = 12_000;

    private final PlacerScenario scenario = new PlacerScenario();
    private final Map<String, Long> disconnectedSince = new HashMap<>();
    private final Set<String> succeeded = new HashSet<>();
    private final Map<String, Long> incompleteSince = new HashMap<>();
    private final Map<String, Integer> checkedStarts = new HashMap<>();
    private final Map<String, Long> checkedRevisions = new HashMap<>();
    private final List<FakeServer> crashedVms = new ArrayList<>();
    private int incarnations;

    @ParameterizedTest
    @MethodSource("seeds")
    void invariants_hold_under_random_faults(long seed) {
        Random random = new Random(seed);
        for (int index = 0; index < SERVERS; index++) {
            startIncarnation("vm" + index, "r" + index / 3);
        }
        for (int step = 0; step < STEPS; step++) {
            injectEvent(random, step);
            advance(seed);
        }
        scenario.storeAvailable = true;
        scenario.losesWriteAnswers = false;
        scenario.servers.values().forEach(server -> server.deliversAnswers = true);
        scenario.servers.values().forEach(server -> server.losesAcknowledgements = false);
        disconnectedSince.keySet().stream().toList().forEach(this::reconnect);
        for (int step = 0; step < 3_000; step++) {
            advance(seed);
        }
        scenario.accepted
                .keySet()
                .forEach(job -> assertWithMessage("seed %s, job %s", seed, job)
                        .that(scenario.phase(job).isFinal())
                        .isTrue());
        assertWithMessage("seed %s", seed).that(scenario.runningTasks()).isEqualTo(0);
    }

    /** Returns the largest number of failed attempts of a task of the job; the members of a gang share theirs. */
    private int mostFailedAttempts(String job) {
        boolean gang = scenario.accepted.get(job).steps().getFirst().gang();
        return scenario.allServers.stream()
                .flatMap(server -> server.failures.stream())
                .filter(end -> end.task().startsWith(job + "."))
                .collect(Collectors.groupingBy(
                        end -> gang ? end.task().substring(0, end.task().lastIndexOf('.')) : end.task(),
                        Collectors.mapping(EndedTask::attempt, Collectors.toSet())))
                .values()
                .stream()
                .mapToInt(Set::size)
                .max()
                .orElse(0);
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private void injectEvent(Random random, int step) {
        List<String> alive = scenario.servers.keySet().stream().toList();
        String server = alive.get(random.nextInt(alive.size()));
        switch (random.nextInt(26)) {
            case 0, 1, 2, 3 -> submit(random, step);
            case 4 -> disconnect(server);
            case 5 -> reconnectOneOf(random);
            case 7 -> crash(server);
            case 25 -> scenario.servers.get(server).crash(scenario.now);
            case 8 -> scenario.elect();
            case 9 -> scenario.storeAvailable = false;
            case 10, 11 -> scenario.storeAvailable = true;
            case 12 ->
                scenario.accepted.keySet().stream()
                        .skip(random.nextInt(Math.max(1, scenario.accepted.size())))
                        .findFirst()
                        .ifPresent(job -> scenario.placer.jobCancelled(job, scenario.now));
            case 13 -> scenario.servers.get(server).endKind = random.nextBoolean() ? EndKind.FAILED : EndKind.DONE;
            case 14 -> electWithoutStore();
            case 18 -> scenario.losesWriteAnswers = true;
            case 21 -> scenario.servers.get(server).refusesStarts = 1 + random.nextInt(3);
            case 22 -> scenario.servers.get(server).deliversAnswers = random.nextInt(4) > 0;
            case 19, 20 -> scenario.losesWriteAnswers = false;
            case 6 -> scenario.writeLatencyMilliseconds = random.nextInt(300);
            case 15 -> scenario.servers.get(server).deliverLateReports(scenario.placer, scenario.now);
            case 16 -> restartAgent(server);
            case 17 -> {
                // The connection is replaced, and messages of the old connection arrive late.
                scenario.connect(scenario.servers.get(server));
                scenario.servers.get(server).deliverLateReports(scenario.placer, scenario.now);
            }
            case 24 -> scenario.servers.get(server).losesAcknowledgements = random.nextInt(3) > 0;
            default -> scenario.servers.get(server).answersOrders = random.nextInt(4) > 0;
        }
        scenario.servers.values().forEach(present -> present.stalled = false);
    }

    /**
     * Reconnects a random server in one call of three, so that disconnections last for seconds and some leases expire.
     */
    private void reconnectOneOf(Random random) {
        if (!disconnectedSince.isEmpty() && random.nextInt(3) == 0) {
            reconnect(disconnectedSince.keySet().stream()
                    .skip(random.nextInt(disconnectedSince.size()))
                    .findFirst()
                    .orElseThrow());
        }
    }

    /** Replaces the placer while its last writes have not taken effect. */
    private void electWithoutStore() {
        scenario.storeAvailable = false;
        scenario.run(300);
        scenario.elect();
    }

    private void submit(Random random, int step) {
        String queue = List.of("urgent", "normal", "batch").get(random.nextInt(3));
        int count = 1 + random.nextInt(4);
        int accelerators = 1 + random.nextInt(4);
        long work = 500 + random.nextInt(LONGEST_WORK_MILLISECONDS);
        for (int index = 0; index < count; index++) {
            scenario.workMilliseconds.put("job" + step + ".0.0." + index, work);
        }
        scenario.submit(
                "job" + step,
                queue,
                random.nextBoolean()
                        ? PlacerScenario.gang(count, accelerators)
                        : PlacerScenario.step(count, accelerators),
                PlacerScenario.step(1, 1, false, false, List.of(0)));
    }

    private void restartAgent(String server) {
        FakeServer present = scenario.servers.get(server);
        if (present.connected) {
            present.dropConnection(scenario.placer);
            present.restartAgent();
            scenario.connect(present);
        }
    }

    private void disconnect(String server) {
        if (disconnectedSince.putIfAbsent(server, scenario.now) == null) {
            FakeServer present = scenario.servers.get(server);
            present.connected = false;
            present.dropConnection(scenario.placer);
        }
    }

    private void reconnect(String server) {
        disconnectedSince.remove(server);
        FakeServer present = scenario.servers.get(server);
        if (present != null) {
            present.connected = true;
            scenario.connect(present);
        }
    }

    private void crash(String server) {
        disconnectedSince.remove(server);
        FakeServer gone = scenario.servers.remove(server);
        gone.dropConnection(scenario.placer);
        crashedVms.add(gone);
        startIncarnation(gone.description.host(), gone.description.rack()).agentIncarnation =
                AGENT_INCARNATION_STEP * incarnations;
    }

    private FakeServer startIncarnation(String host, String rack) {
        return scenario.server("s" + ++incarnations, host, rack);
    }

    private void advance(long seed) {
        scenario.run(SLICE_MILLISECONDS);
        disconnectedSince
                .keySet()
                .removeIf(server -> !scenario.servers.containsKey(server) || scenario.servers.get(server).connected);
        long leaseEnd =
                WorkloadTimings.CONTACT_TIMEOUT_MILLISECONDS + PlacerScenario.TIMINGS.maximumLeaseMilliseconds();
        disconnectedSince.forEach((server, since) -> {
            if (scenario.now - since > leaseEnd) {
                scenario.servers.get(server).expireLease();
            }
        });
        check(seed);
    }

    private void check(long seed) {
        Map<String, Integer> running = new HashMap<>();
        scenario.servers.values().forEach(server -> {
            int taken = 0;
            for (String key : server.running.keySet()) {
                running.merge(key.substring(0, key.indexOf('#')), 1, Integer::sum);
                taken += acceleratorsOf(key.substring(0, key.indexOf('#')));
            }
            assertWithMessage("seed %s, accelerators of %s", seed, server.description.server())
                    .that(taken)
                    .isAtMost(PlacerScenario.SERVER.accelerators());
            checkStarts(seed, server);
        });
        running.forEach((task, count) -> assertWithMessage("seed %s, runs of %s at %s", seed, task, scenario.now)
                .that(count)
                .isEqualTo(1));
        scenario.servers.values().stream()
                .flatMap(server -> server.acknowledgedSuccesses.stream())
                .filter(succeeded::add)
                .forEach(task -> checkStored(seed, task));
        checkGangs(seed, running.keySet());
        checkFailedJobs(seed);
    }

    private void checkFailedJobs(long seed) {
        List<String> changed = scenario.store.entrySet().stream()
                .filter(value -> !Objects.equals(
                        checkedRevisions.put(value.getKey(), value.getValue().revision()),
                        value.getValue().revision()))
                .map(Map.Entry::getKey)
                .toList();
        changed.stream()
                .filter(job -> scenario.phase(job) == JobPhase.FAILED)
                .forEach(job -> assertWithMessage("seed %s, attempts of failed job %s", seed, job)
                        .that(mostFailedAttempts(job) >= MAXIMUM_ATTEMPTS || mostCrashes(job) >= CRASHES)
                        .isTrue());
    }

    /** Returns the largest number of servers that crashed after they had started the same task of the job. */
    private long mostCrashes(String job) {
        return Stream.concat(crashedVms.stream(), scenario.crashed.stream())
                .flatMap(server -> server.starts.stream()
                        .map(WorkMessage.StartTask::task)
                        .filter(task -> task.startsWith(job + "."))
                        .distinct())
                .collect(Collectors.groupingBy(task -> task, Collectors.counting()))
                .values()
                .stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    private void checkStored(long seed, String task) {
        TaskName name = TaskName.parse(task).orElseThrow();
        PlacerScenario.StoredValue value = scenario.store.get(name.job());
        assertWithMessage("seed %s, acknowledged end of %s", seed, task)
                .that(value)
                .isNotNull();
        JobRecord record = WorkloadJson.decodeRecord(value.value());
        // The ends of tasks need not be stored once their job is cancelled or has failed.
        boolean abandoned = record.phase() == JobPhase.CANCELLED || record.phase() == JobPhase.FAILED;
        boolean stored = record.steps().stream()
                .filter(step -> step.occurrence() == name.occurrence() && step.step() == name.step())
                .anyMatch(step -> step.tasks().get(name.index()).done());
        assertWithMessage("seed %s, acknowledged end of %s is stored", seed, task)
                .that(abandoned || stored)
                .isTrue();
    }

    /**
     * Returns whether a member of the gang runs, or is on record, on a server that is disconnected, has crashed or does
     * not answer orders, so that the placer cannot know its state.
     */
    private boolean isAffectedByFault(String job) {
        Stream<String> present = scenario.servers.entrySet().stream()
                .filter(server ->
                        server.getValue().running.keySet().stream().anyMatch(key -> key.startsWith(job + ".0.0.")))
                .map(Map.Entry::getKey);
        Stream<String> onRecord = WorkloadJson.decodeRecord(
                        scenario.store.get(job).value())
                .steps()
                .stream()
                .flatMap(step -> step.tasks().stream())
                .map(TaskRecord::server);
        return Stream.concat(present, onRecord)
                .anyMatch(server -> disconnectedSince.containsKey(server)
                        || scenario.servers.containsKey(server) && losesAnswers(scenario.servers.get(server)));
    }

    private static boolean losesAnswers(FakeServer server) {
        return !server.answersOrders || !server.deliversAnswers || server.isCrashed();
    }

    /**
     * Checks that, in the absence of faults, no gang has only some of its members running for longer than
     * the gang wait timeout.
     */
    private void checkGangs(long seed, Set<String> running) {
        scenario.accepted.values().stream()
                .filter(job -> job.steps().getFirst().gang())
                .forEach(job -> {
                    int members = job.steps().getFirst().count();
                    long present = IntStream.range(0, members)
                            .filter(index -> running.contains(job.id() + ".0.0." + index))
                            .count();
                    if (present == 0 || present == members || !scenario.storeAvailable || isAffectedByFault(job.id())) {
                        incompleteSince.remove(job.id());
                        return;
                    }
                    long since = incompleteSince.computeIfAbsent(job.id(), key -> scenario.now);
                    assertWithMessage("seed %s, milliseconds for which gang %s is incomplete", seed, job.id())
                            .that(scenario.now - since)
                            .isAtMost(PlacerScenario.TIMINGS.gangWaitTimeoutMilliseconds());
                });
    }

    private void checkStarts(long seed, FakeServer server) {
        int seen = checkedStarts.getOrDefault(server.description.server(), 0);
        List<WorkMessage.StartTask> starts = server.starts;
        starts.stream()
                .skip(seen)
                .forEach(start -> assertWithMessage("seed %s, start after success", seed)
                        .that(succeeded)
                        .doesNotContain(start.task()));
        checkedStarts.put(server.description.server(), starts.size());
    }

    private int acceleratorsOf(String task) {
        String[] fields = task.split("\\.");
        return scenario.accepted
                .get(fields[0])
                .steps()
                .get(Integer.parseInt(fields[2]))
                .resources()
                .accelerators();
    }
}
