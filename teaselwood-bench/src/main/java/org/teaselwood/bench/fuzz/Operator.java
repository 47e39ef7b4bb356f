package org.teaselwood.bench.fuzz;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.teaselwood.model.ServiceState;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Principal;

/**
 * The operators of a run, who publish configuration changes and query the configuration in force. Confined to the
 * thread of the virtual time.
 */
final class Operator {
    private static final long RETRY_MILLISECONDS = 1_000;
    private static final int MAXIMUM_TRIES = 300;

    private final World world;
    /** Revision of the latest accepted state change by server; replies may arrive out of order. */
    private final Map<String, Long> newestChange = new TreeMap<>();

    private final Map<String, Long> acceptedAt = new TreeMap<>();
    private List<String> closed = List.of();
    private int changes;

    Operator(World world) {
        this.world = world;
    }

    /** Queries the configuration revision in force at an entry and reports it to the oracle. */
    static void showRevision(World world, FakeEntry entry) {
        entry.ask(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
            if (reply instanceof FrontReply.ConfigurationReply shown) {
                world.oracle()
                        .revisionShown(
                                entry.address().entry(),
                                shown.configuration().revision(),
                                world.time().nowMilliseconds());
            }
        });
    }

    /** Publishes the initial configuration, with retries until it is accepted. */
    void publishFirst() {
        publish(Workload.firstChange(), MAXIMUM_TRIES, revision -> {});
    }

    /** Publishes the service state of a backend server, unless another change is accepted first. */
    void publishState(String server, ServiceState state) {
        List<FakeEntry> ready = world.readyEntries();
        if (ready.isEmpty()) {
            return;
        }
        FakeEntry entry = ready.get(world.random().nextInt(ready.size()));
        entry.ask(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
            if (reply instanceof FrontReply.ConfigurationReply shown) {
                changes++;
                publish(
                        Workload.stateChange(
                                "change-" + changes, shown.configuration().revision(), server, state),
                        MAXIMUM_TRIES,
                        revision -> stateAccepted(server, state, revision));
            }
        });
    }

    /** Queries which backend servers are not in service, because a change whose outcome is unknown may be in force. */
    void lookUpClosedServers() {
        List<FakeEntry> ready = world.readyEntries();
        if (!ready.isEmpty()) {
            ready.getFirst().ask(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
                if (reply instanceof FrontReply.ConfigurationReply shown) {
                    closed = world.agents().stream()
                            .map(agent -> agent.server().name())
                            .filter(server -> shown.configuration().stateOf(server) != ServiceState.IN_SERVICE)
                            .toList();
                }
            });
        }
    }

    /** Returns the backend servers that were not in service at the last query. */
    List<String> closedServers() {
        return closed;
    }

    private void publish(ConfigurationChange change, int tries, LongConsumer accepted) {
        List<FakeEntry> ready = world.readyEntries();
        if (tries == 0) {
            return;
        }
        if (ready.isEmpty()) {
            world.time().schedule(RETRY_MILLISECONDS, () -> publish(change, tries - 1, accepted));
            return;
        }
        FakeEntry entry = ready.get(world.random().nextInt(ready.size()));
        boolean[] replied = {false};
        entry.ask(new FrontRequest.ChangeConfiguration(Principal.OPERATOR, change, false), reply -> {
            replied[0] = true;
            switch (reply) {
                case FrontReply.ConfigurationReply done -> {
                    checkLater(done.configuration().revision(), entry.region());
                    accepted.accept(done.configuration().revision());
                }
                case FrontReply.Refused refused -> refused(change, refused, tries, accepted);
                default -> world.oracle().report("P8", world.time().nowMilliseconds(), "unexpected reply " + reply);
            }
        });
        world.time().schedule(10 * RETRY_MILLISECONDS, () -> {
            if (!replied[0]) {
                publish(change, tries - 1, accepted);
            }
        });
    }

    private void refused(ConfigurationChange change, FrontReply.Refused refused, int tries, LongConsumer accepted) {
        switch (refused.kind()) {
            case REVISION_MOVED -> {
                // Another operator's change was accepted first, so this change is abandoned.
            }
            case BAD_CONFIGURATION ->
                world.oracle()
                        .report(
                                "P8",
                                world.time().nowMilliseconds(),
                                "a valid configuration change was refused: " + refused.message());
            default -> world.time().schedule(RETRY_MILLISECONDS, () -> publish(change, tries - 1, accepted));
        }
    }

    private void checkLater(long revision, String region) {
        long acceptedAtTime = world.time().nowMilliseconds();
        world.time().schedule(Oracle.CONFIGURATION_MILLISECONDS, () -> checkInForce(revision, region, acceptedAtTime));
    }

    /** Checks that all ready entries have the revision in force, unless there was a fault since it was accepted. */
    private void checkInForce(long revision, String region, long acceptedAtTime) {
        if (world.processesDisturbedSince(world.time().nowMilliseconds() - acceptedAtTime)) {
            return;
        }
        // During an outage of the key-value service, only the region that accepted the change can learn of it.
        boolean storeDisturbed = world.disturbedSince(world.time().nowMilliseconds() - acceptedAtTime);
        world.readyEntries().stream()
                .filter(entry -> !storeDisturbed || entry.region().equals(region))
                .forEach(entry -> entry.ask(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
                    if (reply instanceof FrontReply.ConfigurationReply shown
                            && shown.configuration().revision() < revision) {
                        world.oracle()
                                .report(
                                        "P8",
                                        world.time().nowMilliseconds(),
                                        entry.address().entry() + " still has revision "
                                                + shown.configuration().revision() + " in force instead of "
                                                + revision);
                    }
                }));
    }

    /** Checks that the agent itself refuses new work, so that a message still in flight cannot start any. */
    private void checkAgentRefuses(String server) {
        world.agents().stream()
                .filter(agent -> agent.server().name().equals(server))
                .filter(agent -> !agent.node().isDead() && !agent.refusesNewWork())
                .forEach(agent -> world.oracle()
                        .report(
                                "P8",
                                world.time().nowMilliseconds(),
                                "the agent of " + server
                                        + " still accepts new work although the server is not in service"));
    }

    private void stateAccepted(String server, ServiceState state, long revision) {
        if (newestChange.getOrDefault(server, 0L) > revision) {
            return;
        }
        newestChange.put(server, revision);
        long now = world.time().nowMilliseconds();
        acceptedAt.put(server, now);
        if (state == ServiceState.IN_SERVICE) {
            world.oracle().serverOpened(server);
        } else {
            closeWhenUndisturbed(server, now);
        }
    }

    /** The bound for a state change applies once it has passed without faults. */
    private void closeWhenUndisturbed(String server, long acceptedAtTime) {
        world.time().schedule(Oracle.CONFIGURATION_MILLISECONDS, () -> {
            if (acceptedAt.get(server) != acceptedAtTime) {
                return;
            }
            if (world.disturbedSince(Oracle.CONFIGURATION_MILLISECONDS)) {
                closeWhenUndisturbed(server, acceptedAtTime);
            } else {
                checkAgentRefuses(server);
                world.oracle().serverClosed(server, world.time().nowMilliseconds());
            }
        });
    }
}
