package org.teaselwood.workload.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.protocol.message.WorkMessage.OrderResult;
import org.teaselwood.protocol.message.WorkMessage.ServerDescription;
import org.teaselwood.workload.model.WorkloadTimings;

/** Tests which orders the agent carries out and which it refuses, with a backend server that answers at once. */
final class WorkAgentTest {
    private static final long TERM = 7;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> started = new ArrayList<>();
    private final List<WorkMessage> sent = new ArrayList<>();
    private volatile long now = 100_000;
    private final WorkAgent agent =
            new WorkAgent(vertx, () -> now, new ImmediateClient(), new WorkloadTimings(6_000, 3_000, 200, 20_000));

    private final class ImmediateClient implements BackendServerClient {
        @Override
        public Future<LeaseRenewalResponse> renewLeases(LeaseRenewalRequest request) {
            return Future.succeededFuture(new LeaseRenewalResponse(1, 1_000, List.of(), List.of(), false));
        }

        @Override
        public Future<OrderResponse> start(StartRequest request) {
            started.add(request.task());
            return Future.succeededFuture(OrderResponse.DONE);
        }

        @Override
        public Future<OrderResponse> stop(StopRequest request) {
            return Future.succeededFuture(OrderResponse.DONE);
        }

        @Override
        public Future<OrderResponse> pace(PaceRequest request) {
            return Future.succeededFuture(OrderResponse.DONE);
        }
    }

    @BeforeEach
    void announce() throws Exception {
        ServerDescription description =
                new ServerDescription("i-1", 1, "vm", "service", "centre", "rack", List.of("rack"), 32_000, 131_072, 8);
        onLoop(() -> {
            agent.heartbeatReceived(new ServerHeartbeat(description, false, 1_000, 1));
            agent.connected(TERM, sent::add);
        });
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void a_start_that_is_delayed_longer_than_the_contact_time_is_refused() throws Exception {
        WorkMessage.StartTask order = order("job.0.0.0", now);
        now += WorkloadTimings.CONTACT_TIMEOUT_MILLISECONDS + 1;
        onLoop(() -> agent.received(order));
        assertThat(started).isEmpty();
        assertThat(outcomes()).containsExactly(OrderOutcome.UNAVAILABLE);
    }

    @Test
    void a_start_for_an_earlier_process_of_the_agent_is_refused() throws Exception {
        onLoop(() -> agent.received(order("job.0.0.0", now + 500_000)));
        assertThat(started).isEmpty();
    }

    @Test
    void a_start_that_arrives_in_time_is_carried_out() throws Exception {
        onLoop(() -> agent.received(order("job.0.0.0", now - 500)));
        assertThat(started).containsExactly("job.0.0.0");
        assertThat(outcomes()).containsExactly(OrderOutcome.STARTED);
    }

    @Test
    void an_order_of_an_earlier_term_is_dropped() throws Exception {
        onLoop(() ->
                agent.received(new WorkMessage.StartTask(TERM - 1, now, "i-1", 1, "job.0.0.0", 1, "payload", "", "")));
        assertThat(started).isEmpty();
    }

    private static WorkMessage.StartTask order(String task, long echoMilliseconds) {
        return new WorkMessage.StartTask(TERM, echoMilliseconds, "i-1", 1, task, 1, "payload", "", "");
    }

    private List<OrderOutcome> outcomes() {
        return sent.stream()
                .filter(OrderResult.class::isInstance)
                .map(message -> ((OrderResult) message).outcome())
                .toList();
    }

    private void onLoop(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            action.run();
            done.complete(null);
        });
        done.get(5, TimeUnit.SECONDS);
    }
}
