package org.teaselwood.agent.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;
import org.teaselwood.standins.worker.BuiltInCommand;
import org.teaselwood.standins.worker.WorkerEngine;
import org.teaselwood.standins.worker.WorkerFaults;

/**
 * Runs one scenario, line by line, on an agent core and a simulated worker in virtual time. The header of
 * agent-scenarios.txt describes the syntax.
 */
final class ScenarioRunner implements AgentEffects {
    private static final long TICK_MILLISECONDS = 100;
    private static final BackendServer SERVER =
            new BackendServer("w1", "r", "d", "k", Set.of(), 8, 32, 1000, 8, 64, 1.0);

    private final WorkerEngine worker = new WorkerEngine(1, 1_000);
    private final Deque<AgentEvent> replies = new ArrayDeque<>();
    private final List<String> effects = new ArrayList<>();
    private AgentCore core;
    private boolean reachable = true;
    private boolean repliesToHeartbeats = true;
    private long now = 1_000;
    private long link;

    /** Runs the lines; returns the same text with the actual effects in place of the expected ones. */
    String run(String scenario) {
        List<String> actual = new ArrayList<>();
        restart();
        effects.clear();
        for (String line : scenario.lines().toList()) {
            if (line.startsWith("<")) {
                continue;
            }
            actual.add(line);
            runLine(line);
            effects.forEach(effect -> actual.add("< " + effect));
            effects.clear();
        }
        return String.join("\n", actual);
    }

    private void runLine(String line) {
        List<String> words = Arrays.asList(line.split(" "));
        switch (words.getFirst()) {
            case ">" -> handle(new AgentEvent.CommandReceived(link, command(words.subList(1, words.size()))));
            case "+" -> advance(Long.parseLong(words.get(1)));
            case "pause" -> now += Long.parseLong(words.get(1));
            case "reconnect" -> reconnect();
            case "restart" -> restart();
            case "leave" -> handle(new AgentEvent.ShutdownRequested());
            case "entry" -> repliesToHeartbeats = words.get(1).equals("answers");
            case "worker" -> injectFault(words.get(1));
            case "runs" -> effects.add(worker.runs().toString());
            default -> throw new IllegalArgumentException(line);
        }
    }

    private AgentCommand command(List<String> words) {
        Options options = new Options(words);
        Term term = new Term(options.number("term", 1), "e1");
        AttemptIdentifier attempt =
                new AttemptIdentifier(new JobIdentifier(words.get(1)), options.number("attempt", 1));
        int part = options.number("part", 0);
        return switch (words.getFirst()) {
            case "hold" ->
                new AgentCommand.Hold(term, attempt, part, options.number("at", 0), specification(options), 10_000);
            case "commit" -> new AgentCommand.Commit(term, attempt, part, 10_000);
            case "start" -> new AgentCommand.Start(term, attempt, part);
            case "stop" -> new AgentCommand.Stop(term, attempt, part, options.number("grace", 0), "test");
            case "release" -> new AgentCommand.Release(term, attempt, part);
            case "renew" -> new AgentCommand.RenewGang(term, List.of(attempt));
            case "forget" -> new AgentCommand.ForgetAttempt(term, attempt);
            case "service" ->
                new AgentCommand.ServiceStateChanged(options.number("revision", 1), ServiceState.valueOf(words.get(1)));
            default -> throw new IllegalArgumentException(words.toString());
        };
    }

    private static TaskSpecification specification(Options options) {
        return new TaskSpecification(
                "team",
                "template",
                options.text("command", "transform"),
                Map.of(
                        BuiltInCommand.RUN_MILLISECONDS,
                        options.text("run", "1000"),
                        BuiltInCommand.ANSWER_BYTES,
                        options.text("bytes", "9")),
                new PartResources(
                        options.number("accelerators", 2),
                        options.number("slots", 0),
                        options.number("cores", 0),
                        options.number("memory", 0)),
                options.number("parts", 1),
                options.number("servers", 1),
                false,
                false,
                true,
                options.text("checkpointable", "no").equals("yes"),
                0,
                "key",
                options.text("resume", ""));
    }

    private void injectFault(String fault) {
        switch (fault) {
            case "unreachable" -> reachable = false;
            case "reachable" -> reachable = true;
            case "loses" -> worker.loseTasks();
            case "fails" -> worker.setFaults(new WorkerFaults(true, 1.0), now);
            default -> throw new IllegalArgumentException(fault);
        }
    }

    private void advance(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
            now += Math.min(TICK_MILLISECONDS, milliseconds - passed);
            handle(new AgentEvent.Tick());
        }
    }

    private void reconnect() {
        handle(new AgentEvent.ConnectionClosed(link));
        link++;
        handle(new AgentEvent.ConnectionOpened(link));
    }

    private void restart() {
        replies.clear();
        core = new AgentCore(SERVER, "incarnation-" + link, this);
        handle(new AgentEvent.ProcessStarted());
        reconnect();
    }

    private void handle(AgentEvent event) {
        core.handle(event, now);
        while (!replies.isEmpty()) {
            core.handle(replies.poll(), now);
        }
    }

    @Override
    public void send(long to, AgentMessage message) {
        switch (message) {
            case AgentMessage.AgentHeartbeat heartbeat -> {
                if (repliesToHeartbeats) {
                    replies.add(
                            new AgentEvent.CommandReceived(to, new AgentCommand.HeartbeatReply(heartbeat.sequence())));
                }
            }
            case AgentMessage.PartUsage ignored -> {
                // No scenario checks usage.
            }
            default -> effects.add(ScenarioText.of(message));
        }
    }

    @Override
    public void closeConnection(long closed) {
        effects.add("close");
    }

    @Override
    public void callWorker(long token, WorkerCall call) {
        WorkerReply reply = reachable ? worker.handle(call, now) : new WorkerReply.Unavailable("refused");
        replies.add(new AgentEvent.WorkerReplied(token, reply));
    }

    @Override
    public void entriesReceived(String connectedEntry, List<EntryAddress> entries) {
        effects.add("entries " + entries.size());
    }

    @Override
    public void connectToAnotherEntry() {
        effects.add("change entry");
    }

    @Override
    public void drained() {
        effects.add("drained");
    }

    @Override
    public void log(String message, String job) {
        // No scenario checks log lines.
    }

    /** Options of a command: pairs of a name and a value after the first two words. */
    private record Options(List<String> words) {
        String text(String name, String defaultValue) {
            int index = words.indexOf(name);
            return index < 2 ? defaultValue : words.get(index + 1);
        }

        int number(String name, int defaultValue) {
            return Integer.parseInt(text(name, String.valueOf(defaultValue)));
        }
    }
}
