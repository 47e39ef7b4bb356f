package org.teaselwood.workload.agent;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.agent.BackendServerClient.LeaseRenewalRequest;

/**
 * Checks that the sender of a heartbeat runs at the address of the backend server. Mutable; confined to the agent's
 * event loop.
 *
 * <p>Invariant: only an incarnation that has answered a call under the identifier and with the start time of its
 * heartbeat is passed on. A heartbeat alone proves nothing: it may be delayed and name a dead incarnation, or come from
 * another writer. The calls extend no leases.
 */
final class IncarnationVerification {
    private static final Logger LOGGER = LoggerFactory.getLogger(IncarnationVerification.class);

    private static final long RETRY_DELAY_MILLISECONDS = 100;

    /** Calls for one heartbeat; the next heartbeat of the incarnation starts the verification again. */
    private static final int MAXIMUM_CALLS = 10;

    /** Incarnations that are verified at the same time; further heartbeats are ignored. */
    private static final int MAXIMUM_CANDIDATES = 8;

    private final Vertx vertx;
    private final BackendServerClient client;
    private final LongSupplier term;
    private final Consumer<ServerHeartbeat> verified;
    private final Map<Candidate, ServerHeartbeat> newestHeartbeats = new HashMap<>();

    /** Changes when all verifications are cancelled. */
    private long generation;

    private record Candidate(String server, long startMilliseconds) {}

    /**
     * Creates a verification without candidates.
     *
     * @param term fencing token of the calls
     * @param verified receives the newest heartbeat of an incarnation that has answered
     */
    IncarnationVerification(
            Vertx vertx, BackendServerClient client, LongSupplier term, Consumer<ServerHeartbeat> verified) {
        this.vertx = vertx;
        this.client = client;
        this.term = term;
        this.verified = verified;
    }

    /** Verifies the sender of a heartbeat; a verification of the same incarnation in progress uses the newer one. */
    void verify(ServerHeartbeat heartbeat) {
        Candidate candidate = new Candidate(
                heartbeat.description().server(), heartbeat.description().incarnation());
        ServerHeartbeat earlier = newestHeartbeats.get(candidate);
        if (earlier != null) {
            if (heartbeat.sequence() > earlier.sequence()) {
                newestHeartbeats.put(candidate, heartbeat);
            }
        } else if (newestHeartbeats.size() >= MAXIMUM_CANDIDATES) {
            LOGGER.warn(
                    "ignored a heartbeat of {}: {} other incarnations are being verified",
                    candidate.server(),
                    newestHeartbeats.size());
        } else {
            newestHeartbeats.put(candidate, heartbeat);
            call(candidate, 1, generation);
        }
    }

    /** Cancels all verifications, because an incarnation was accepted. */
    void cancelAll() {
        generation++;
        newestHeartbeats.clear();
    }

    private void call(Candidate candidate, int number, long callGeneration) {
        client.renewLeases(new LeaseRenewalRequest(candidate.server(), term.getAsLong(), 0, OptionalLong.empty(), 0))
                .onComplete(result -> {
                    if (callGeneration != generation) {
                        return;
                    }
                    if (result.succeeded() && result.result().startMilliseconds() == candidate.startMilliseconds()) {
                        verified.accept(newestHeartbeats.remove(candidate));
                    } else if (number < MAXIMUM_CALLS) {
                        LOGGER.debug("backend server {} has not confirmed its heartbeat", candidate, result.cause());
                        vertx.setTimer(
                                RETRY_DELAY_MILLISECONDS, timer -> callAgain(candidate, number + 1, callGeneration));
                    } else {
                        LOGGER.warn(
                                "ignored the heartbeats of {} started at {}: no such incarnation answers here",
                                candidate.server(),
                                candidate.startMilliseconds());
                        newestHeartbeats.remove(candidate);
                    }
                });
    }

    private void callAgain(Candidate candidate, int number, long callGeneration) {
        if (callGeneration == generation) {
            call(candidate, number, callGeneration);
        }
    }
}
