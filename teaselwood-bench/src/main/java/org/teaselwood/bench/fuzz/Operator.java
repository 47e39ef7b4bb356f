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
    private static final int MAXIMUM_ATTEMPTS = 300;

    private final SimulatedCluster cluster;
    /** Revision of the latest accepted state change by server; replies may arrive out of order. */
    private final Map<String, Long> latestChange = new TreeMap<>();

    private final Map<String, Long> acceptedAtByServer = new TreeMap<>();
    private List<String> outOfServiceServers = List.of();
    private int changes;

    Operator(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Queries the configuration revision in force at an entry and reports it to the oracle. */
    static void queryRevision(SimulatedCluster cluster, FakeEntry entry) {
        entry.sendRequest(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
            if (reply instanceof FrontReply.ConfigurationReply shown) {
                cluster.oracle()
                        .revisionInForce(
                                entry.address().entry(),
                                shown.configuration().revision(),
                                cluster.time().nowMilliseconds());
            }
        });
    }

    /** Publishes the initial configuration, with retries until it is accepted. */
    void publishInitialConfiguration() {
        publish(Workload.initialConfiguration(), MAXIMUM_ATTEMPTS, revision -> {});
    }

    /** Publishes the service state of a backend server, unless another change is accepted first. */
    void publishState(String server, ServiceState state) {
        List<FakeEntry> ready = cluster.readyEntries();
        if (ready.isEmpty()) {
            return;
        }
        FakeEntry entry = ready.get(cluster.random().nextInt(ready.size()));
        entry.sendRequest(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
            if (reply instanceof FrontReply.ConfigurationReply shown) {
                changes++;
                publish(
                        Workload.stateChange(
                                "change-" + changes, shown.configuration().revision(), server, state),
                        MAXIMUM_ATTEMPTS,
                        revision -> handleAcceptedState(server, state, revision));
            }
        });
    }

    /** Queries which backend servers are not in service, because a change whose outcome is unknown may be in force. */
    void queryOutOfServiceServers() {
        List<FakeEntry> ready = cluster.readyEntries();
        if (!ready.isEmpty()) {
            ready.getFirst().sendRequest(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
                if (reply instanceof FrontReply.ConfigurationReply shown) {
                    outOfServiceServers = cluster.agents().stream()
                            .map(agent -> agent.server().name())
                            .filter(server -> shown.configuration().stateOf(server) != ServiceState.IN_SERVICE)
                            .toList();
                }
            });
        }
    }

    /** Returns the backend servers that were not in service at the last query. */
    List<String> outOfServiceServers() {
        return outOfServiceServers;
    }

    private void publish(ConfigurationChange change, int attemptsLeft, LongConsumer accepted) {
        List<FakeEntry> ready = cluster.readyEntries();
        if (attemptsLeft == 0) {
            return;
        }
        if (ready.isEmpty()) {
            cluster.time().schedule(RETRY_MILLISECONDS, () -> publish(change, attemptsLeft - 1, accepted));
            return;
        }
        FakeEntry entry = ready.get(cluster.random().nextInt(ready.size()));
        boolean[] replied = {false};
        entry.sendRequest(new FrontRequest.ChangeConfiguration(Principal.OPERATOR, change, false), reply -> {
            replied[0] = true;
            switch (reply) {
                case FrontReply.ConfigurationReply done -> {
                    scheduleInForceCheck(done.configuration().revision(), entry.region());
                    accepted.accept(done.configuration().revision());
                }
                case FrontReply.Refused refused -> handleRefusal(change, refused, attemptsLeft, accepted);
                default -> cluster.oracle().report("P8", cluster.time().nowMilliseconds(), "unexpected reply " + reply);
            }
        });
        cluster.time().schedule(10 * RETRY_MILLISECONDS, () -> {
            if (!replied[0]) {
                publish(change, attemptsLeft - 1, accepted);
            }
        });
    }

    private void handleRefusal(
            ConfigurationChange change, FrontReply.Refused refused, int attemptsLeft, LongConsumer accepted) {
        switch (refused.kind()) {
            case REVISION_MOVED -> {
                // Another operator's change was accepted first, so this change is abandoned.
            }
            case BAD_CONFIGURATION ->
                cluster.oracle()
                        .report(
                                "P8",
                                cluster.time().nowMilliseconds(),
                                "a valid configuration change was refused: " + refused.message());
            default -> cluster.time().schedule(RETRY_MILLISECONDS, () -> publish(change, attemptsLeft - 1, accepted));
        }
    }

    private void scheduleInForceCheck(long revision, String region) {
        long acceptedAtMilliseconds = cluster.time().nowMilliseconds();
        cluster.time()
                .schedule(
                        Oracle.CONFIGURATION_MILLISECONDS,
                        () -> checkInForce(revision, region, acceptedAtMilliseconds));
    }

    /** Checks that all ready entries have the revision in force, unless there was a fault since it was accepted. */
    private void checkInForce(long revision, String region, long acceptedAtMilliseconds) {
        if (cluster.hadProcessOrNetworkFaultWithin(cluster.time().nowMilliseconds() - acceptedAtMilliseconds)) {
            return;
        }
        // During an outage of the key-value service, only the region that accepted the change can learn of it.
        boolean hadFault = cluster.hadFaultWithin(cluster.time().nowMilliseconds() - acceptedAtMilliseconds);
        cluster.readyEntries().stream()
                .filter(entry -> !hadFault || entry.region().equals(region))
                .forEach(entry -> entry.sendRequest(new FrontRequest.QueryConfiguration(Principal.OPERATOR), reply -> {
                    if (reply instanceof FrontReply.ConfigurationReply shown
                            && shown.configuration().revision() < revision) {
                        cluster.oracle()
                                .report(
                                        "P8",
                                        cluster.time().nowMilliseconds(),
                                        entry.address().entry() + " still has revision "
                                                + shown.configuration().revision() + " in force instead of "
                                                + revision);
                    }
                }));
    }

    /** Checks that the agent itself refuses new work, so that a message still in flight cannot start any. */
    private void checkAgentRefuses(String server) {
        cluster.agents().stream()
                .filter(agent -> agent.server().name().equals(server))
                .filter(agent -> !agent.node().isDead() && !agent.refusesNewWork())
                .forEach(agent -> cluster.oracle()
                        .report(
                                "P8",
                                cluster.time().nowMilliseconds(),
                                "the agent of " + server
                                        + " still accepts new work although the server is not in service"));
    }

    private void handleAcceptedState(String server, ServiceState state, long revision) {
        if (latestChange.getOrDefault(server, 0L) > revision) {
            return;
        }
        latestChange.put(server, revision);
        long now = cluster.time().nowMilliseconds();
        acceptedAtByServer.put(server, now);
        if (state == ServiceState.IN_SERVICE) {
            cluster.oracle().serverInService(server);
        } else {
            markOutOfServiceWhenFaultFree(server, now);
        }
    }

    /** The bound for a state change applies once it has passed without faults. */
    private void markOutOfServiceWhenFaultFree(String server, long acceptedAtMilliseconds) {
        cluster.time().schedule(Oracle.CONFIGURATION_MILLISECONDS, () -> {
            if (acceptedAtByServer.get(server) != acceptedAtMilliseconds) {
                return;
            }
            if (cluster.hadFaultWithin(Oracle.CONFIGURATION_MILLISECONDS)) {
                markOutOfServiceWhenFaultFree(server, acceptedAtMilliseconds);
            } else {
                checkAgentRefuses(server);
                cluster.oracle().serverOutOfService(server, cluster.time().nowMilliseconds());
            }
        });
    }
}
