package org.teaselwood.entry.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.standins.keyvalue.InMemoryKeyValue;
import org.teaselwood.store.configuration.ConfigurationKeys;

/**
 * Simulation of the configuration cores of several entries with one key-value service in virtual time. Single-threaded.
 */
final class ConfigurationSimulation {
    /**
     * Time-out of the client of the key-value service in milliseconds; a call that is delayed longer may still
     * be executed.
     */
    static final long CLIENT_TIMEOUT_MILLISECONDS = 1_000;

    private static final long TICK_MILLISECONDS = 100;
    private static final long HEARTBEAT_MILLISECONDS = 500;

    final InMemoryKeyValue service = new InMemoryKeyValue();
    final List<Entry> entries = new ArrayList<>();
    final Map<Long, List<FrontReply>> replies = new HashMap<>();
    /** Time in milliseconds from a call to its execution, and from the execution to the reply. */
    LongSupplier delay = () -> 1;

    long now;

    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final Map<Long, Configuration> byRevision = new HashMap<>();
    private long sequence;

    private record Step(long time, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return time == other.time ? Long.compare(order, other.order) : Long.compare(time, other.time);
        }
    }

    ConfigurationSimulation(int entryCount) {
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Entry("entry-" + index));
        }
        service.watch(
                ConfigurationKeys.PREFIX,
                (changes, revision) -> entries.forEach(
                        entry -> after(delay.getAsLong(), entry.ifSameIncarnation(entry::watchNotified))));
        after(TICK_MILLISECONDS, this::tick);
        after(HEARTBEAT_MILLISECONDS, this::heartbeat);
    }

    void after(long milliseconds, Runnable action) {
        steps.add(new Step(now + milliseconds, sequence++, action));
    }

    void runFor(long milliseconds) {
        long end = now + milliseconds;
        while (steps.peek().time() <= end) {
            Step step = steps.poll();
            now = step.time();
            step.action().run();
        }
        now = end;
    }

    private void tick() {
        entries.forEach(entry -> entry.core.tick(now));
        after(TICK_MILLISECONDS, this::tick);
    }

    private void heartbeat() {
        for (Entry from : entries) {
            entries.stream().filter(to -> to != from).forEach(to -> {
                long revision = from.core.current().revision();
                after(1, to.ifSameIncarnation(() -> to.core.peerReported(from.name, revision, now)));
            });
        }
        after(HEARTBEAT_MILLISECONDS, this::heartbeat);
    }

    /** Simulated entry. A restart replaces its core and drops everything in transit to it. */
    final class Entry implements ConfigurationEffects {
        final String name;
        ConfigurationCore core;
        boolean disconnected;
        private long incarnation;
        private long highestApplied;

        Entry(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            incarnation++;
            highestApplied = 0;
            core = new ConfigurationCore(2_000, this, next -> {});
            core.start(now);
        }

        Runnable ifSameIncarnation(Runnable action) {
            long expected = incarnation;
            return () -> {
                if (incarnation == expected) {
                    action.run();
                }
            };
        }

        private void watchNotified() {
            if (!disconnected) {
                core.mayHaveChanged(now);
            }
        }

        @Override
        public long callStore(StoreCall call) {
            long token = sequence++;
            long delayBefore = delay.getAsLong();
            after(delayBefore, () -> {
                StoreReply reply = disconnected ? new StoreReply.Unavailable("cut off") : execute(call);
                after(delay.getAsLong(), ifSameIncarnation(() -> core.storeReplied(token, reply, now)));
            });
            StoreReply timeout = new StoreReply.Unavailable("timeout");
            after(CLIENT_TIMEOUT_MILLISECONDS, ifSameIncarnation(() -> core.storeReplied(token, timeout, now)));
            return token;
        }

        private StoreReply execute(StoreCall call) {
            try {
                return switch (call) {
                    case StoreCall.Get get -> new StoreReply.Value(service.get(get.key(), now));
                    case StoreCall.ListPrefix list -> new StoreReply.Values(service.list(list.prefix(), now));
                    case StoreCall.Transact transact ->
                        new StoreReply.Transacted(service.transact(transact.transaction(), now));
                };
            } catch (TeaselwoodException exception) {
                return new StoreReply.Unavailable(exception.getMessage());
            }
        }

        @Override
        public void sendToPeer(String peer, EntryMessage message) {
            Entry to = entries.stream()
                    .filter(entry -> entry.name.equals(peer))
                    .findFirst()
                    .orElseThrow();
            after(1, to.ifSameIncarnation(() -> to.core.peerMessage(name, message, now)));
        }

        @Override
        public void reply(long frontToken, FrontReply reply) {
            replies.computeIfAbsent(frontToken, key -> new ArrayList<>()).add(reply);
        }

        @Override
        public void applied(Configuration configuration) {
            assertThat(configuration.revision()).isGreaterThan(highestApplied);
            highestApplied = configuration.revision();
            Configuration first = byRevision.putIfAbsent(configuration.revision(), configuration);
            assertThat(first == null ? configuration : first).isEqualTo(configuration);
        }

        @Override
        public void log(String message) {
            assertThat(message).isNotEmpty();
        }
    }
}
