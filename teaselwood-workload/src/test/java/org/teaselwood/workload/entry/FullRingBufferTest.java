package org.teaselwood.workload.entry;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.placer.AgentConnection;
import org.teaselwood.workload.record.WorkloadJson;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Guards against the loss of an event that nobody repeats while messages of agents fill the ring buffer: the placer
 * would wait for ever for the outcome of a write, or never learn of an accepted job.
 */
final class FullRingBufferTest {
    private static final long TERM = 5;
    private static final int RING_BUFFER_EVENTS = 64;
    private static final long WAIT_SECONDS = 5;
    private static final long REPORT_INTERVAL_MILLISECONDS = 50;
    private static final String JOB = "00000000000000a1";

    private final LinkedBlockingQueue<CompletableFuture<TransactionResult>> writes = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<WorkMessage.StartTask> starts = new LinkedBlockingQueue<>();
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch gate = new CountDownLatch(1);
    private final PlacerEventHandler placerEvents = new PlacerEventHandler(
            new HeldStore(),
            AdviceService.unavailable(),
            new WorkloadTimings(6_000, 3_000, 200, 120_000),
            (name, team, queue, milliseconds) -> {},
            new IgnoredTermEvents());
    private final DutyThread<PlacerEvent> thread =
            new DutyThread<>("placer", RING_BUFFER_EVENTS, 10, () -> System.nanoTime() / 1_000_000, placerEvents);
    private volatile boolean blocksNextAnswer;
    private long operation;

    private final AgentConnection connection = new AgentConnection() {
        @Override
        public long sequenceNumber() {
            return 1;
        }

        @Override
        public void send(WorkMessage message) {
            if (message instanceof WorkMessage.StartTask start) {
                starts.add(start);
            }
            if (blocksNextAnswer) {
                blocked.countDown();
                awaitGate();
            }
        }
    };

    /** Store whose writes of records are answered by the test. */
    private final class HeldStore implements KeyValueService {
        @Override
        public Uni<Optional<KeyValue>> get(String key) {
            return Uni.createFrom().item(Optional.empty());
        }

        @Override
        public Uni<List<KeyValue>> list(String prefix) {
            return Uni.createFrom().item(List.of());
        }

        @Override
        public Uni<TransactionResult> transact(KeyValueTransaction transaction) {
            if (transaction.conditions().size() == 1) {
                return Uni.createFrom().item(new TransactionResult(true, 10));
            }
            CompletableFuture<TransactionResult> result = new CompletableFuture<>();
            writes.add(result);
            return Uni.createFrom().completionStage(result);
        }

        @Override
        public Uni<Long> grantLease(long seconds) {
            return Uni.createFrom().item(1L);
        }

        @Override
        public Uni<Void> renewLease(long lease) {
            return Uni.createFrom().voidItem();
        }

        @Override
        public AutoCloseable watch(String prefix, WatchListener listener) {
            return () -> {};
        }

        @Override
        public void close() {}
    }

    @BeforeEach
    void elect() {
        placerEvents.runOn(thread);
        QueueSettings queue = new QueueSettings("normal", "service", 1, 3, 3, 1_000, Optional.empty());
        placerEvents.offer(
                new PlacerEvent.ConfigurationChanged(new WorkloadConfiguration(1, Map.of("normal", queue), Map.of())));
        placerEvents.renewed(System.nanoTime() / 1_000_000 + TimeUnit.MINUTES.toMillis(1));
        placerEvents.offer(new PlacerEvent.Elected(TERM));
    }

    @AfterEach
    void stop() {
        gate.countDown();
        thread.close();
    }

    @Test
    void the_outcome_of_a_write_is_not_lost_when_the_ring_buffer_is_full() throws Exception {
        submit();
        CompletableFuture<TransactionResult> write = reportUntilWritten();
        fillRingBuffer();
        write.complete(new TransactionResult(true, 11));
        gate.countDown();
        assertThat(starts.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }

    @Test
    void an_accepted_job_is_not_lost_when_the_ring_buffer_is_full() throws Exception {
        fillRingBuffer();
        submit();
        gate.countDown();
        assertThat(reportUntilWritten()).isNotNull();
    }

    private void submit() {
        StepSpecification step = new StepSpecification(
                1,
                new Resources(1_000, 1_000, 1),
                1_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                0,
                0);
        JobSpecification job = new JobSpecification(JOB, "normal", "team", "payload", List.of(step), 0, 0, 0);
        placerEvents.offer(new PlacerEvent.RequestsReceived(
                List.of(new KeyValue(WorkloadKeys.accepted(JOB), WorkloadJson.encode(job), 9))));
    }

    /** Repeats reports until the placer writes the record of the job; returns null if it never does. */
    private CompletableFuture<TransactionResult> reportUntilWritten() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        CompletableFuture<TransactionResult> write = null;
        while (write == null && System.nanoTime() < deadline) {
            report();
            write = writes.poll(REPORT_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
        return write;
    }

    /** Blocks the duty thread and offers messages until the ring buffer is full. */
    private void fillRingBuffer() throws InterruptedException {
        blocksNextAnswer = true;
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!blocked.await(REPORT_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS) && System.nanoTime() < deadline) {
            report();
        }
        blocksNextAnswer = false;
        for (int count = 0; count <= RING_BUFFER_EVENTS; count++) {
            report();
        }
    }

    private void awaitGate() {
        try {
            gate.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void report() {
        WorkMessage.ServerDescription description = new WorkMessage.ServerDescription(
                "i-1", 1, "vm", "service", "centre", "rack", List.of("rack"), 32_000, 131_072, 8);
        placerEvents.offer(new PlacerEvent.MessageReceived(
                connection,
                new WorkMessage.ServerReport(
                        description, 1, TERM, false, true, operation, ++operation, List.of(), List.of())));
    }
}
