package org.teaselwood.workload.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.store.KeyValue;
import org.teaselwood.workload.agent.PlacerLink;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.record.WorkloadJson;
import org.teaselwood.workload.record.WorkloadKeys;

/** Guards against one odd item in the store that keeps the entries from reading all others. */
final class OddStoredItemsTest {
    private static final long TERM = 5;
    private static final long TIMEOUT_SECONDS = 5;
    private static final StepSpecification STEP = new StepSpecification(
            1, new Resources(1, 1, 0), 1, List.of(), false, false, false, "", "", 0, false, false, 0, 0);
    private static final JobSpecification JOB =
            new JobSpecification("00000000000000a1", "queue", "team", "payload", List.of(STEP), 0, 0, 0);

    private final MemoryStore store = new MemoryStore();

    /** Values that other writers may leave in place of an accepted job. */
    private static List<String> oddValues() {
        String valid = new String(WorkloadJson.encode(JOB), UTF_8);
        return List.of(
                "not JSON",
                "null",
                "[]",
                "{}",
                "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
                valid.replace("\"count\":1", "\"count\":-5"),
                valid.replace("\"count\":1", "\"count\":4294967297"),
                valid.replace("\"count\":1", "\"count\":1e300"),
                valid.replace("\"count\":1", "\"count\":" + "9".repeat(5_000)),
                valid.replace("\"occurrences\":0", "\"occurrences\":2147483647"),
                valid.replace("\"startAt\":0", "\"startAt\":9223372036854775807"),
                valid.replace("\"steps\":[", "\"steps\":null,\"former\":["));
    }

    @Test
    void a_placer_reads_the_jobs_beside_odd_items() throws Exception {
        List<String> values = oddValues();
        for (int number = 0; number < values.size(); number++) {
            store.put(
                    WorkloadKeys.accepted("0000000000000%03d".formatted(number)),
                    values.get(number).getBytes(UTF_8));
        }
        store.put(WorkloadKeys.accepted(JOB.id()), WorkloadJson.encode(JOB));
        store.put(WorkloadKeys.progress(JOB.id() + "x"), "[[".getBytes(UTF_8));
        PlacerEventHandler placerEvents = new PlacerEventHandler(
                store,
                AdviceService.unavailable(),
                new WorkloadTimings(6_000, 3_000, 200, 120_000),
                (name, team, queue, milliseconds) -> {},
                new IgnoredTermEvents());
        try (DutyThread<PlacerEvent> thread =
                new DutyThread<>("placer", 64, 10, MonotonicClock.system(), placerEvents)) {
            placerEvents.runOn(thread);
            QueueSettings queue = new QueueSettings("queue", "service", 1, 3, 3, 1_000, Optional.empty());
            placerEvents.offer(new PlacerEvent.ConfigurationChanged(
                    new WorkloadConfiguration(1, Map.of("queue", queue), Map.of())));
            // The condition of every write of a placer is the revision of the election key.
            store.put(WorkloadKeys.PLACER, "{}".getBytes(UTF_8));
            placerEvents.offer(new PlacerEvent.Elected(
                    store.item(WorkloadKeys.PLACER).orElseThrow().revision()));
            assertThat(awaitPending()).containsExactly("queue", 1);
        }
    }

    @Test
    void an_odd_accepted_job_is_refused_by_its_decoder() {
        for (String value : oddValues()) {
            boolean refused = false;
            try {
                WorkloadJson.decodeJob(JOB.id(), value.getBytes(UTF_8));
            } catch (TeaselwoodException expected) {
                refused = true;
            }
            assertWithMessage(value.substring(0, Math.min(200, value.length())))
                    .that(refused)
                    .isTrue();
        }
    }

    @Test
    void an_election_key_without_a_usable_address_names_no_placer() {
        for (String value : List.of(
                "{\"entry\":\"e\",\"host\":\"h\",\"port\":70000}",
                "{\"entry\":\"e\",\"host\":\"h\",\"port\":-1}",
                "{\"entry\":\"e\",\"host\":\"h\",\"port\":4294967376}",
                "{\"entry\":\"e\",\"host\":\"h\"}",
                "{\"entry\":\"e\",\"port\":80}",
                "null")) {
            assertWithMessage(value)
                    .that(PlacerLink.decode(new KeyValue(WorkloadKeys.PLACER, value.getBytes(UTF_8), TERM)))
                    .isEqualTo(Optional.empty());
        }
    }

    private Map<String, Integer> awaitPending() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadline) {
            if (store.item(WorkloadKeys.PENDING).isPresent()) {
                return WorkloadJson.decodePending(
                        store.item(WorkloadKeys.PENDING).orElseThrow().value());
            }
            Thread.sleep(10);
        }
        return Map.of();
    }
}
