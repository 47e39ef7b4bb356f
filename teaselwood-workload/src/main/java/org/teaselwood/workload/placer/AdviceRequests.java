package org.teaselwood.workload.placer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.model.AdviceSettings;

/**
 * Asks the advice service which backend servers may run a step. Mutable; confined to the placer's duty thread.
 *
 * <p>The service handles one call of a VM at a time, so that the most urgent step would wait behind a long queue of
 * calls. Therefore only a few calls are in flight, and each pass offers its steps in order of urgency.
 */
final class AdviceRequests {
    private static final Logger LOGGER = LoggerFactory.getLogger(AdviceRequests.class);

    /** Calls in flight: one that the service handles and one on the network. */
    private static final int MAXIMUM_CALLS = 2;

    /**
     * Smallest limit on the servers in a call; the objective of a job allows for one call with this
     * many servers per step.
     */
    private static final int MINIMUM_SERVER_LIMIT = 30;

    /** Limit of the service on the servers in one call. */
    private static final int MAXIMUM_SERVERS_PER_CALL = 100;

    /** Allowance for the network round trip and short overload, added to the service's processing time. */
    private static final long ANSWER_SLACK_MILLISECONDS = 1_000;

    /** Retry delay after a call without an answer. */
    private static final long RETRY_DELAY_MILLISECONDS = 200;

    private final PlacerEffects effects;
    private final Map<String, Call> calls = new HashMap<>();
    private long retryAt;

    private record Call(StepState step, AdviceSettings settings, List<ServerState> servers) {}

    AdviceRequests(PlacerEffects effects) {
        this.effects = effects;
    }

    /**
     * Requests advice on servers that the step could use, those with enough free resources first. Does nothing if a
     * call for the step is in flight, the number of calls is at its limit or the retry delay has not passed.
     *
     * @param servers candidate servers; the stream is evaluated only if a call can be made
     */
    void request(
            StepState step, AdviceSettings settings, Stream<ServerState> servers, FreeCapacity freeCapacity, long now) {
        if (calls.containsKey(step.name()) || calls.size() >= MAXIMUM_CALLS || now < retryAt) {
            return;
        }
        int waiting = (int) step.tasks.stream().filter(TaskState::isWaiting).count();
        List<ServerState> chosen = servers.sorted(Comparator.comparingInt((ServerState server) ->
                                freeCapacity.freeOn(server).covers(step.specification.reserved()) ? 0 : 1)
                        .thenComparingInt(server -> -freeCapacity.freeOn(server).accelerators())
                        .thenComparing(server -> server.id))
                .limit(Math.clamp(2L * waiting, MINIMUM_SERVER_LIMIT, MAXIMUM_SERVERS_PER_CALL))
                .toList();
        if (chosen.isEmpty()) {
            return;
        }
        calls.put(step.name(), new Call(step, settings, chosen));
        long limit = MAXIMUM_CALLS * settings.responseMilliseconds(chosen.size()) + ANSWER_SLACK_MILLISECONDS;
        effects.requestAdvice(
                step.name(), chosen.stream().map(server -> server.id).toList(), limit);
    }

    /**
     * Processes an answer of the service.
     *
     * @param allowed tickets of the permitted servers by identifier
     */
    void answered(String step, Map<String, String> allowed, long now) {
        Call call = calls.remove(step);
        if (call == null) {
            return;
        }
        LOGGER.info(
                "step {} may run on {} of {} backend servers",
                step,
                allowed.size(),
                call.servers().size());
        call.step().advice.answered(call.servers(), allowed, call.settings(), now);
    }

    /** Records that the service has not answered. */
    void failed(String step, long now) {
        if (calls.remove(step) != null) {
            retryAt = now + RETRY_DELAY_MILLISECONDS;
        }
    }
}
