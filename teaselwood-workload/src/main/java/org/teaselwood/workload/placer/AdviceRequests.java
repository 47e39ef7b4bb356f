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
 * Asks the advice service which backend servers may run a step. Confined to the placer's duty thread.
 *
 * <p>The service handles one call of a VM at a time, so that a queue of calls would make the most urgent step wait for
 * all others; only a few calls are under way, and each pass hands in its steps in the order of their urgency.
 */
final class AdviceRequests {
    private static final Logger LOGGER = LoggerFactory.getLogger(AdviceRequests.class);

    /** One call is being handled and one is on its way. */
    private static final int MAXIMUM_CALLS = 2;

    /** Servers in a call, at least; the objective of a job allows for one call on this many for each step. */
    private static final int USUAL_SERVERS = 30;

    /** The service takes no more in one call. */
    private static final int MAXIMUM_SERVERS = 100;

    /** Added to the time that the service takes: the way there and back, and a busy moment. */
    private static final long ANSWER_SLACK_MILLISECONDS = 1_000;

    /** After a call without an answer the next waits this long. */
    private static final long RETRY_MILLISECONDS = 200;

    private final PlacerEffects effects;
    private final Map<String, Call> calls = new HashMap<>();
    private long retryAt;

    private record Call(StepState step, AdviceSettings settings, List<ServerState> servers) {}

    AdviceRequests(PlacerEffects effects) {
        this.effects = effects;
    }

    /**
     * Asks about servers that the step could use, those with room first.
     *
     * @param servers servers that may be asked about; they are looked up only if a call can be made
     */
    void ask(StepState step, AdviceSettings settings, Stream<ServerState> servers, Room room, long now) {
        if (calls.containsKey(step.name()) || calls.size() >= MAXIMUM_CALLS || now < retryAt) {
            return;
        }
        int waiting = (int) step.tasks.stream().filter(TaskState::waits).count();
        List<ServerState> chosen = servers.sorted(Comparator.comparingInt((ServerState server) ->
                                room.freeOf(server).covers(step.specification.reserved()) ? 0 : 1)
                        .thenComparingInt(server -> -room.freeOf(server).accelerators())
                        .thenComparing(server -> server.id))
                .limit(Math.clamp(2L * waiting, USUAL_SERVERS, MAXIMUM_SERVERS))
                .toList();
        if (chosen.isEmpty()) {
            return;
        }
        calls.put(step.name(), new Call(step, settings, chosen));
        long limit = MAXIMUM_CALLS * settings.answerMilliseconds(chosen.size()) + ANSWER_SLACK_MILLISECONDS;
        effects.advise(step.name(), chosen.stream().map(server -> server.id).toList(), limit);
    }

    /** The service has answered with the tickets of the permitted servers. */
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

    /** The service has not answered. */
    void failed(String step, long now) {
        if (calls.remove(step) != null) {
            retryAt = now + RETRY_MILLISECONDS;
        }
    }
}
