package org.teaselwood.workload.entry;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.placer.AgentConnection;

/**
 * Guards against a placer that continues to answer agents although it could not renew its election in time: agents
 * would renew leases of runs that its successor already considers ended.
 */
final class PlacerEventHandlerTest {
    private static final long TERM = 5;
    private static final long ANSWER_WAIT_MILLISECONDS = 200;
    private static final int MAXIMUM_ATTEMPTS = 50;

    private final LinkedBlockingQueue<WorkMessage> answers = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Long> failedTerms = new LinkedBlockingQueue<>();
    private final PlacerEventHandler placerEvents = new PlacerEventHandler(
            new EmptyStore(),
            AdviceService.unavailable(),
            new WorkloadTimings(6_000, 3_000, 200, 120_000),
            (name, team, queue, milliseconds) -> {},
            new PlacerEventHandler.TermListener() {
                @Override
                public void termLost(long term) {}

                @Override
                public void placerFailed(long term) {
                    failedTerms.add(term);
                }
            });
    private volatile long now = 100_000;
    private volatile boolean failsNextAnswer;
    private final DutyThread<PlacerEvent> thread = new DutyThread<>("placer", 64, 10, () -> now, placerEvents);
    private final AgentConnection connection = new AgentConnection() {
        @Override
        public long sequenceNumber() {
            return 1;
        }

        @Override
        public void send(WorkMessage message) {
            if (failsNextAnswer) {
                failsNextAnswer = false;
                throw new StackOverflowError("test");
            }
            answers.add(message);
        }
    };

    private static final class EmptyStore implements KeyValueService {
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
            return Uni.createFrom().failure(new IllegalStateException("the store does not answer"));
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
        placerEvents.offer(new PlacerEvent.ConfigurationChanged(new WorkloadConfiguration(1, Map.of(), Map.of())));
        placerEvents.renewed(now);
        placerEvents.offer(new PlacerEvent.Elected(TERM));
    }

    @AfterEach
    void stop() {
        thread.close();
    }

    @Test
    void agents_are_answered_while_the_election_is_renewed() throws Exception {
        awaitAnswer();
        now += 4_000;
        awaitAnswer();
    }

    @Test
    void agents_are_not_answered_after_the_election_lease_and_its_renewal_grace_have_expired() throws Exception {
        awaitAnswer();
        now += WorkloadTimings.ELECTION_LEASE_MILLISECONDS + WorkloadTimings.RENEWAL_GRACE_MILLISECONDS + 1;
        assertThat(isAnswered()).isFalse();
        placerEvents.renewed(now);
        awaitAnswer();
    }

    /** Guards against a placer whose thread has ended while its entry keeps the election. */
    @Test
    void a_placer_that_fails_with_an_error_gives_up_its_term_and_works_in_the_next_one() throws Exception {
        awaitAnswer();
        failsNextAnswer = true;
        assertThat(isAnswered()).isFalse();
        assertThat(failedTerms.poll(ANSWER_WAIT_MILLISECONDS, TimeUnit.MILLISECONDS))
                .isEqualTo(TERM);
        assertThat(isAnswered()).isFalse();
        placerEvents.offer(new PlacerEvent.Elected(TERM + 1));
        awaitAnswer();
    }

    /** Repeats reports until one is answered, because the placer may not have read the stored jobs yet. */
    private void awaitAnswer() throws InterruptedException {
        boolean answered = false;
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS && !answered; attempts++) {
            answered = isAnswered();
        }
        assertThat(answered).isTrue();
    }

    /** Returns whether a report that is sent now is answered within the wait time. */
    private boolean isAnswered() throws InterruptedException {
        answers.clear();
        WorkMessage.ServerDescription description = new WorkMessage.ServerDescription(
                "i-1", 1, "vm", "service", "centre", "rack", List.of("rack"), 32_000, 131_072, 8);
        placerEvents.offer(new PlacerEvent.MessageReceived(
                connection,
                new WorkMessage.ServerReport(description, 1, TERM, false, true, now, 1, List.of(), List.of())));
        return answers.poll(ANSWER_WAIT_MILLISECONDS, TimeUnit.MILLISECONDS) != null;
    }
}
