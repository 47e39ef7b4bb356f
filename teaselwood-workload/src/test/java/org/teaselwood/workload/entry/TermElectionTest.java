package org.teaselwood.workload.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.workload.record.WorkloadKeys;

/** Guards against entries without a working placer: one that has failed must not keep the others from being elected. */
final class TermElectionTest {
    private static final int PORT = 9;
    private static final long TIMEOUT_SECONDS = 5;

    private final Vertx vertx = Vertx.vertx();
    private final MemoryStore store = new MemoryStore();
    private final LinkedBlockingQueue<Elected> elections = new LinkedBlockingQueue<>();

    private record Elected(String entry, long term) {}

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void another_entry_is_elected_at_once_after_the_placer_has_failed() throws Exception {
        TermElection first = start("first");
        Elected before = nextElection();
        start("second");
        long failedAt = System.nanoTime();
        onLoop(() -> first.placerFailed(before.term()));
        Elected after = nextElection();
        assertThat(after.entry()).isEqualTo("second");
        assertThat(after.term()).isGreaterThan(before.term());
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failedAt)).isLessThan(1_000);
    }

    @Test
    void a_single_entry_is_elected_again_after_its_placer_has_failed() throws Exception {
        TermElection only = start("only");
        Elected before = nextElection();
        onLoop(() -> only.placerFailed(before.term()));
        assertThat(nextElection().term()).isGreaterThan(before.term());
    }

    @Test
    void the_failure_of_an_earlier_term_does_not_end_the_current_one() throws Exception {
        TermElection only = start("only");
        Elected current = nextElection();
        onLoop(() -> only.placerFailed(current.term() - 1));
        assertThat(elections.poll(1, TimeUnit.SECONDS)).isNull();
    }

    /** Guards against an election key of another writer, which would keep all entries out of the election for ever. */
    @Test
    void an_entry_is_elected_in_place_of_an_invalid_election_key() throws Exception {
        store.put(WorkloadKeys.PLACER, "{\"entry\":\"e\",\"host\":\"h\",\"port\":70000}".getBytes(UTF_8));
        start("first");
        assertThat(nextElection().entry()).isEqualTo("first");
    }

    private TermElection start(String entry) throws Exception {
        TermElection election = new TermElection(
                vertx,
                MonotonicClock.system(),
                store,
                new TermElection.Candidate(entry, "127.0.0.1", PORT, 1),
                new TermElection.Listener() {
                    @Override
                    public void elected(long term) {
                        elections.add(new Elected(entry, term));
                    }

                    @Override
                    public void renewed(long sentAtMilliseconds) {}

                    @Override
                    public void steppedDown() {}
                });
        onLoop(() -> {
            election.setEligible(true);
            election.start();
        });
        return election;
    }

    private Elected nextElection() throws InterruptedException {
        Elected elected = elections.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(elected).isNotNull();
        return elected;
    }

    private void onLoop(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            action.run();
            done.complete(null);
        });
        done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
