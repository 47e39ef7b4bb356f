package org.teaselwood.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.ServiceState;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.standins.keyvalue.KeyValueFaults;
import org.teaselwood.store.configuration.AcceptedChange;
import org.teaselwood.store.configuration.ConfigurationKeys;
import org.teaselwood.store.configuration.ConfigurationSnapshot;

/** Tests of the configuration core with an in-memory key-value service in virtual time. */
class ConfigurationCoreTest {
    private static final long SETTLING_MILLISECONDS = 10_000;
    private static final KeyValueFaults NONE = KeyValueFaults.NONE;

    /**
     * Change that is requested while the key-value service has faults. Immutable.
     *
     * @param faults faults of the service during the request
     * @param change the change
     * @param expected expected error kind, null if the change must be accepted
     * @param revision expected revision in force at the end
     */
    private record ChangeScenario(
            String name, KeyValueFaults faults, ConfigurationChange change, ErrorKind expected, long revision) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<ChangeScenario> cases() {
        ConfigurationChange good = drain("c-2", 1, "w-2");
        ConfigurationChange removal =
                new ConfigurationChange("c-2", 1, List.of(), List.of("absent"), List.of(), List.of(), Map.of());
        return Stream.of(
                new ChangeScenario("accepted", NONE, good, null, 2),
                new ChangeScenario("refused while down", KeyValueFaults.DOWN, good, ErrorKind.STORE_UNAVAILABLE, 1),
                new ChangeScenario(
                        "refused on errors", KeyValueFaults.ERROR_ANSWERS, good, ErrorKind.STORE_UNAVAILABLE, 1),
                new ChangeScenario("an older base", NONE, drain("c-2", 0, "w-2"), ErrorKind.REVISION_MOVED, 1),
                new ChangeScenario("a base that is ahead", NONE, drain("c-2", 2, "w-2"), ErrorKind.REVISION_MOVED, 1),
                new ChangeScenario("the same again", NONE, drain("c-1", 0, "w-1"), null, 1),
                new ChangeScenario(
                        "an identifier of another change", NONE, drain("c-1", 1, "w-2"), ErrorKind.BAD_REQUEST, 1),
                new ChangeScenario("a bad identifier", NONE, drain("C 2", 1, "w-2"), ErrorKind.BAD_REQUEST, 1),
                new ChangeScenario("a bad name", NONE, drain("c-2", 1, "W 2"), ErrorKind.BAD_CONFIGURATION, 1),
                new ChangeScenario("an absent template removed", NONE, removal, ErrorKind.BAD_CONFIGURATION, 1));
    }

    /** Guards against wrong replies to a change, and against a refused change that comes into force. */
    @ParameterizedTest
    @MethodSource("cases")
    void a_change_gets_the_correct_reply(ChangeScenario scenario) {
        ConfigurationSimulation simulation = withFirstChange(2);
        simulation.service.setFaults(scenario.faults);
        FrontReply reply = ask(simulation, 0, scenario.change);
        simulation.service.setFaults(NONE);
        simulation.runFor(SETTLING_MILLISECONDS);
        assertThat(kindOf(reply)).isEqualTo(scenario.expected);
        simulation.entries.forEach(
                entry -> assertThat(entry.core.current().revision()).isEqualTo(scenario.revision));
    }

    /**
     * Guards against a change that is reported as refused because the reply of the key-value service was lost, and
     * against a repeated change that is applied twice.
     */
    @Test
    void a_change_with_a_lost_reply_is_uncertain_until_it_can_be_read_back() {
        ConfigurationSimulation simulation = withFirstChange(2);
        ConfigurationChange change = drain("c-2", 1, "w-2");
        simulation.delay = () -> 10;
        simulation.entries.get(0).core.change(100, change, false, simulation.now);
        simulation.runFor(25);
        simulation.service.setFaults(KeyValueFaults.REPLY_LOST);
        simulation.runFor(10);
        simulation.service.setFaults(KeyValueFaults.DOWN);
        simulation.runFor(SETTLING_MILLISECONDS);
        assertThat(kindOf(simulation.replies.get(100L).getFirst())).isEqualTo(ErrorKind.CHANGE_UNCERTAIN);
        assertThat(kindOf(ask(simulation, 1, change))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        simulation.service.setFaults(NONE);
        assertThat(kindOf(ask(simulation, 1, change))).isNull();
        assertThat(kindOf(ask(simulation, 0, change))).isNull();
        assertThat(simulation.entries.get(0).core.current().revision()).isEqualTo(2);
    }

    /** Guards against a dry run that writes. */
    @Test
    void a_dry_run_shows_the_result_and_changes_nothing() {
        ConfigurationSimulation simulation = withFirstChange(1);
        simulation.entries.get(0).core.change(100, drain("c-2", 1, "w-2"), true, simulation.now);
        simulation.runFor(SETTLING_MILLISECONDS);
        FrontReply.ConfigurationReply reply =
                (FrontReply.ConfigurationReply) simulation.replies.get(100L).getFirst();
        assertThat(reply.configuration().stateOf("w-2")).isEqualTo(ServiceState.DRAINING);
        assertThat(simulation.entries.get(0).core.current().revision()).isEqualTo(1);
    }

    /**
     * Guards against an entry that starts during an outage of the key-value service and serves an old configuration.
     */
    @Test
    void an_entry_that_starts_during_an_outage_is_ready_with_its_peers_configuration() {
        ConfigurationSimulation simulation = withFirstChange(2);
        simulation.service.setFaults(KeyValueFaults.DOWN);
        ConfigurationSimulation.Entry entry = simulation.entries.get(0);
        entry.restart();
        entry.core.agentReported(1, simulation.now);
        simulation.runFor(50);
        assertThat(entry.core.isReady()).isFalse();
        simulation.runFor(2_000);
        assertThat(entry.core.isReady()).isTrue();
        assertThat(entry.core.current())
                .isEqualTo(simulation.entries.get(1).core.current());
    }

    /**
     * Guards against an older configuration that comes into force because the key-value service lost its latest writes.
     */
    @Test
    void an_older_state_of_the_service_changes_nothing() {
        ConfigurationSimulation simulation = withFirstChange(2);
        ConfigurationSimulation older = new ConfigurationSimulation(0);
        ConfigurationSimulation.Entry entry = older.new Entry("entry-0");
        entry.core.peerMessage("p", documentOf(simulation), 0);
        older.runFor(SETTLING_MILLISECONDS);
        assertThat(entry.core.current().revision()).isEqualTo(1);
        entry.core.change(100, drain("c-2", 0, "w-2"), false, older.now);
        older.runFor(100_000);
        assertThat(older.service.get(ConfigurationKeys.HEAD, older.now)).isEmpty();
    }

    /**
     * Guards against violations of the invariant of {@link ConfigurationCore} and against false replies under
     * random faults.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void accepted_configurations_are_kept_and_replies_are_correct_under_random_faults(long firstSeed) {
        for (long seed = firstSeed * 1_000; seed < firstSeed * 1_000 + 20; seed++) {
            new RandomRun(seed).run();
        }
    }

    /** Simulation of random changes, faults, delays, disconnections and restarts. */
    private static final class RandomRun {
        private final Random random;
        private final ConfigurationSimulation simulation = new ConfigurationSimulation(3);
        private final Map<Long, ConfigurationChange> requested = new TreeMap<>();
        private long highestSentToAgents;

        RandomRun(long seed) {
            random = new Random(seed);
            simulation.delay = () -> random.nextInt(20) == 0 ? random.nextInt(4_000) : 1 + random.nextInt(60);
        }

        void run() {
            for (int step = 0; step < 120; step++) {
                performAction();
                simulation.runFor(random.nextInt(500));
                simulation.entries.forEach(this::checkReady);
            }
            simulation.service.setFaults(NONE);
            simulation.delay = () -> 1;
            simulation.entries.forEach(entry -> entry.disconnected = false);
            simulation.runFor(7_000);
            checkConvergence();
            simulation.runFor(600_000);
            checkAnswers();
        }

        private void performAction() {
            ConfigurationSimulation.Entry entry = simulation.entries.get(random.nextInt(3));
            switch (random.nextInt(10)) {
                case 0 -> simulation.service.setFaults(KeyValueFaults.DOWN);
                case 1 -> simulation.service.setFaults(KeyValueFaults.REPLY_LOST);
                case 2, 3 -> simulation.service.setFaults(NONE);
                case 4 -> entry.disconnected = !entry.disconnected;
                case 5 -> {
                    entry.restart();
                    entry.core.agentReported(highestSentToAgents, simulation.now);
                }
                case 6 -> resubmitAt(entry);
                default -> {
                    long base = entry.core.current().revision();
                    long token = requested.size();
                    ask(entry, drain("c-" + token, base, "w-" + random.nextInt(5)));
                }
            }
        }

        private void resubmitAt(ConfigurationSimulation.Entry entry) {
            if (!requested.isEmpty()) {
                ask(entry, new ArrayList<>(requested.values()).get(random.nextInt(requested.size())));
            }
        }

        private void ask(ConfigurationSimulation.Entry entry, ConfigurationChange change) {
            long token = requested.size();
            requested.put(token, change);
            entry.core.change(token, change, false, simulation.now);
        }

        private void checkReady(ConfigurationSimulation.Entry entry) {
            if (entry.core.isReady()) {
                assertThat(entry.core.current().revision()).isAtLeast(entry.core.highestReported());
                highestSentToAgents =
                        Math.max(highestSentToAgents, entry.core.current().revision());
            }
        }

        private ConfigurationSnapshot stored() {
            return ConfigurationSnapshot.decode(simulation.service.list(ConfigurationKeys.PREFIX, simulation.now));
        }

        private void checkConvergence() {
            simulation.entries.forEach(entry -> {
                assertThat(entry.core.current()).isEqualTo(stored().configuration());
                assertThat(entry.core.isReady()).isTrue();
            });
        }

        private void checkAnswers() {
            Map<String, AcceptedChange> accepted = stored().changes();
            requested.forEach((token, change) -> {
                List<FrontReply> replies = simulation.replies.getOrDefault(token, List.of());
                assertThat(replies.size()).isAtMost(1);
                replies.forEach(reply -> {
                    boolean stored = accepted.containsKey(change.identifier());
                    if (reply instanceof FrontReply.Refused refused) {
                        assertThat(refused.outcome() == Outcome.NOT_RUN && stored)
                                .isFalse();
                    } else {
                        assertThat(stored).isTrue();
                    }
                });
            });
        }
    }

    private static ConfigurationSimulation withFirstChange(int entries) {
        ConfigurationSimulation simulation = new ConfigurationSimulation(entries);
        assertThat(kindOf(ask(simulation, 0, drain("c-1", 0, "w-1")))).isNull();
        return simulation;
    }

    private static FrontReply ask(ConfigurationSimulation simulation, int entry, ConfigurationChange change) {
        long token = simulation.replies.size();
        simulation.entries.get(entry).core.change(token, change, false, simulation.now);
        simulation.runFor(SETTLING_MILLISECONDS);
        assertThat(simulation.replies.get(token)).hasSize(1);
        return simulation.replies.get(token).getFirst();
    }

    private static EntryMessage documentOf(ConfigurationSimulation simulation) {
        return new EntryMessage.ConfigurationDocument(
                simulation.entries.get(0).core.current());
    }

    private static ErrorKind kindOf(FrontReply reply) {
        return reply instanceof FrontReply.Refused refused ? refused.kind() : null;
    }

    private static ConfigurationChange drain(String identifier, long base, String server) {
        return new ConfigurationChange(
                identifier, base, List.of(), List.of(), List.of(), List.of(), Map.of(server, ServiceState.DRAINING));
    }
}
