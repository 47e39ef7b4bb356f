package org.teaselwood.entry.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.policy.FirstFitScheduler;
import org.teaselwood.protocol.MessageCodec;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.message.Principal;

/**
 * Simulation of entries, agents and a key-value service in one thread and virtual time. Every message is encoded and
 * decoded by the codec.
 */
final class SimulatedRegion {
    static final String REGION = "r1";
    static final long DELAY_MILLISECONDS = 1;
    static final Principal TEAM = new Principal("winding", false);

    final FakeStore store = new FakeStore();
    final Map<String, Node> nodes = new TreeMap<>();
    final Map<String, FakeAgent> agents = new TreeMap<>();
    long now;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
    private final Map<Long, Link> links = new TreeMap<>();
    private final Set<Set<String>> partitionedPairs = new HashSet<>();
    private final List<EntryAddress> seeds = new ArrayList<>();
    private long sequence;
    private long nextLink = 1;

    private record Event(long time, long sequence, Runnable action) {}

    private record Link(long number, String first, String second) {
        String other(String name) {
            return name.equals(first) ? second : first;
        }
    }

    /** Simulated entry with its core. */
    final class Node implements EntryEffects {
        final EntryAddress address;
        final Map<Long, FrontReply> replies = new TreeMap<>();
        final EntryCore core;
        boolean running = true;
        boolean paused;
        boolean drained;
        boolean ready;
        private final Deque<EntryEvent> backlog = new ArrayDeque<>();
        private long nextToken = 1;

        Node(EntryAddress address, String incarnation) {
            this.address = address;
            core = new EntryCore(
                    EntryCoreSettings.of(address, REGION, incarnation, List.copyOf(seeds), 0),
                    FirstFitScheduler::new,
                    this);
        }

        void event(EntryEvent event) {
            if (running && paused) {
                backlog.add(event);
            } else if (running) {
                core.handle(event, now);
            }
        }

        /** Resumes after a pause. Events that arrived during the pause are handled first. */
        void resume() {
            paused = false;
            while (running && !backlog.isEmpty()) {
                core.handle(backlog.poll(), now);
            }
        }

        /** Sends a request and returns its token. */
        long ask(FrontRequest request) {
            long token = nextToken++;
            event(new EntryEvent.RequestReceived(token, request));
            return token;
        }

        @Override
        public void send(long link, Message message) {
            transmit(link, address.entry(), message);
        }

        @Override
        public void closeConnection(long link) {
            close(link);
        }

        @Override
        public void connect(EntryAddress target) {
            after(DELAY_MILLISECONDS, () -> {
                Node other = nodes.values().stream()
                        .filter(node -> node.running && node.address.port() == target.port())
                        .findFirst()
                        .orElse(null);
                if (other == null || isPartitioned(address.entry(), other.address.entry())) {
                    event(new EntryEvent.ConnectFailed(target));
                    return;
                }
                Link link = new Link(nextLink++, address.entry(), other.address.entry());
                links.put(link.number(), link);
                other.event(new EntryEvent.ConnectionAccepted(link.number()));
                event(new EntryEvent.ConnectionOpened(link.number(), target));
            });
        }

        @Override
        public void callStore(long token, StoreCall call) {
            after(2, () -> {
                StoreReply reply = store.call(call);
                after(2, () -> event(new EntryEvent.StoreReplied(token, reply)));
            });
        }

        @Override
        public void reply(long token, FrontReply reply) {
            replies.merge(token, reply, (first, second) -> {
                throw new AssertionError("two replies: " + first + " and " + second);
            });
        }

        @Override
        public void readinessChanged(boolean newReady, String reason) {
            ready = newReady;
        }

        @Override
        public void drained() {
            drained = true;
        }

        @Override
        public void recordDuration(String metric, String team, long milliseconds) {
            // The tests do not check metrics.
        }

        @Override
        public void log(String message, String job, String team) {
            // The tests do not check log lines.
        }
    }

    /** Starts a region with entries {@code e1}, {@code e2} and so on, and agents {@code w1}, {@code w2} and so on. */
    SimulatedRegion(int entries, int workers) {
        for (int index = 1; index <= entries; index++) {
            seeds.add(new EntryAddress("e" + index, "d1", "127.0.0.1", 7_000 + index));
        }
        seeds.forEach(seed -> startEntry(seed.entry(), "i1"));
        run(2_500);
        for (int index = 1; index <= workers; index++) {
            addAgent("w" + index, "a1", seeds.get(index % entries).entry());
        }
        run(500);
    }

    Node startEntry(String name, String incarnation) {
        EntryAddress address = seeds.stream()
                .filter(seed -> seed.entry().equals(name))
                .findFirst()
                .orElseThrow();
        Node node = new Node(address, incarnation);
        nodes.put(name, node);
        node.core.applyConfiguration(configuration(), now);
        tick(node);
        return node;
    }

    FakeAgent addAgent(String name, String incarnation, String entry) {
        FakeAgent agent = new FakeAgent(this, name, incarnation);
        agents.put(name, agent);
        connect(agent, entry);
        heartbeat(agent);
        return agent;
    }

    /** Connects an agent to an entry, closing its earlier connection. */
    void connect(FakeAgent agent, String entry) {
        disconnect(agent);
        Link link = new Link(nextLink++, agent.server.name(), entry);
        links.put(link.number(), link);
        nodes.get(entry).event(new EntryEvent.ConnectionAccepted(link.number()));
        transmit(link.number(), agent.server.name(), agent.hello());
        agent.repeatAnswers();
    }

    void disconnect(FakeAgent agent) {
        List.copyOf(links.values()).stream()
                .filter(link -> link.first().equals(agent.server.name()))
                .forEach(link -> close(link.number()));
    }

    void removeAgent(String name) {
        disconnect(agents.get(name));
        agents.remove(name);
    }

    /** Stops an entry abruptly. Its agents connect to another one. */
    void kill(String name, String fallback) {
        nodes.get(name).running = false;
        List<Link> lost = links.values().stream()
                .filter(link -> link.first().equals(name) || link.second().equals(name))
                .toList();
        lost.forEach(link -> close(link.number()));
        lost.stream()
                .filter(link -> agents.containsKey(link.first()))
                .forEach(link -> after(100, () -> reconnect(link.first(), fallback)));
    }

    private void reconnect(String name, String fallback) {
        if (agents.containsKey(name)) {
            connect(agents.get(name), fallback);
        }
    }

    void setPartitioned(String first, String second, boolean partitioned) {
        if (partitioned) {
            partitionedPairs.add(Set.of(first, second));
        } else {
            partitionedPairs.remove(Set.of(first, second));
        }
    }

    Node placer() {
        return nodes.values().stream()
                .filter(node -> node.running && node.core.placing())
                .findFirst()
                .orElseThrow();
    }

    Node other(Node node) {
        return nodes.values().stream()
                .filter(candidate -> candidate != node && candidate.running)
                .findFirst()
                .orElseThrow();
    }

    void fromAgent(FakeAgent agent, AgentMessage message) {
        links.values().stream()
                .filter(link -> !agent.unresponsive && link.first().equals(agent.server.name()))
                .findFirst()
                .ifPresent(link -> transmit(link.number(), agent.server.name(), message));
    }

    /** Runs the simulation for a time, in milliseconds. */
    void run(long milliseconds) {
        long end = now + milliseconds;
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }

    /** Runs the simulation until a condition holds or a time in milliseconds has passed. */
    boolean runUntil(long milliseconds, BooleanSupplier condition) {
        long end = now + milliseconds;
        while (now < end && !condition.getAsBoolean()) {
            run(10);
        }
        return condition.getAsBoolean();
    }

    FrontReply ask(Node node, FrontRequest request) {
        long token = node.ask(request);
        runUntil(15_000, () -> node.replies.containsKey(token));
        return node.replies.get(token);
    }

    static JobSubmission submission(String key, String template, boolean repeatable) {
        return new JobSubmission(key, true, "winding", template, Map.of(), 0, repeatable, false);
    }

    static FrontRequest submit(String key, String template, boolean repeatable) {
        return new FrontRequest.SubmitJob(TEAM, submission(key, template, repeatable));
    }

    private static Configuration configuration() {
        Map<String, Template> templates = new TreeMap<>();
        templates.put("plan", template("plan", WorkKind.JOB, 1, 4));
        templates.put("whole", template("whole", WorkKind.JOB, 1, 8));
        templates.put("gang", template("gang", WorkKind.JOB, 2, 8));
        templates.put("short", template("short", WorkKind.REQUEST, 1, 0));
        Team team = new Team("winding", List.of(), 1, 1_000, 1_000);
        return new Configuration(1, templates, Map.of("winding", team, "other", team), Map.of());
    }

    private static Template template(String name, WorkKind kind, int parts, int accelerators) {
        PartResources part = new PartResources(accelerators, kind == WorkKind.REQUEST ? 1 : 0, 1, 1);
        Shape shape = new Shape(parts, part, Level.REGION);
        return new Template(name, kind, shape, Set.of("plan"), List.of(), 1_000, true, 5, name);
    }

    private void tick(Node node) {
        node.event(new EntryEvent.Tick());
        if (node.running) {
            after(100, () -> tick(node));
        }
    }

    private void heartbeat(FakeAgent agent) {
        if (agents.get(agent.server.name()) == agent) {
            fromAgent(agent, new AgentMessage.AgentHeartbeat(now));
            after(2_000, () -> heartbeat(agent));
        }
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    private boolean isPartitioned(String first, String second) {
        return partitionedPairs.contains(Set.of(first, second));
    }

    private void transmit(long number, String sender, Message message) {
        Link link = links.get(number);
        if (link == null) {
            return;
        }
        byte[] frame = MessageCodec.encode(message);
        String receiver = link.other(sender);
        after(DELAY_MILLISECONDS, () -> {
            if (links.containsKey(number) && !isPartitioned(sender, receiver)) {
                deliver(number, receiver, MessageCodec.decode(frame));
            }
        });
    }

    private void deliver(long link, String receiver, Message message) {
        if (nodes.containsKey(receiver)) {
            nodes.get(receiver).event(new EntryEvent.MessageReceived(link, message));
        } else if (agents.containsKey(receiver) && message instanceof AgentCommand command) {
            agents.get(receiver).handle(command);
        }
    }

    private void close(long number) {
        Link link = links.remove(number);
        if (link != null) {
            List.of(link.first(), link.second()).stream()
                    .filter(nodes::containsKey)
                    .forEach(name -> after(
                            DELAY_MILLISECONDS, () -> nodes.get(name).event(new EntryEvent.ConnectionClosed(number))));
        }
    }
}
