package org.teaselwood.entry.core;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaselwood.entry.relay.PartKey;
import org.teaselwood.model.Answer;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.AgentMessage.AgentHello;
import org.teaselwood.protocol.message.AgentMessage.AnswerPart;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;
import org.teaselwood.protocol.message.AgentMessage.PartChanged;
import org.teaselwood.protocol.message.AgentMessage.PartReply;
import org.teaselwood.protocol.message.TaskSpecification;

/** Agent that follows the protocol and whose tasks are ended by the test. */
final class FakeAgent {
    final BackendServer server;
    final String incarnation;
    final Map<PartKey, HeldPart> parts = new TreeMap<>();
    /** Every start of a part; a part that is started twice is listed twice. */
    final List<PartKey> starts = new ArrayList<>();

    final List<AgentCommand> received = new ArrayList<>();
    /** Number of further holds that are refused. */
    int refusals;

    Term term = Term.NONE;
    boolean leaving;
    /** Whether Start messages to the agent are lost. */
    boolean ignoresStart;
    /** Whether all messages from and to the agent are lost although its connection is open. */
    boolean unresponsive;

    private final SimulatedRegion region;
    private final Set<PartKey> fenced = new TreeSet<>();
    private final Map<PartKey, byte[]> answers = new TreeMap<>();

    FakeAgent(SimulatedRegion region, String name, String incarnation) {
        this.region = region;
        this.incarnation = incarnation;
        server =
                new BackendServer(name, SimulatedRegion.REGION, "d1", "k1", Set.of("plan"), 8, 32, 131_072, 8, 64, 1.0);
    }

    AgentHello hello() {
        return new AgentHello(server, incarnation, term, 0, leaving, List.copyOf(parts.values()));
    }

    /** Sends all answers again, as after a hello. */
    void repeatAnswers() {
        answers.keySet().forEach(this::sendAnswer);
    }

    void handle(AgentCommand command) {
        if (unresponsive || ignoresStart && command instanceof AgentCommand.Start) {
            return;
        }
        received.add(command);
        switch (command) {
            case AgentCommand.Hold hold
            when admits(hold.term()) -> hold(new PartKey(hold.attempt(), hold.part()), hold);
            case AgentCommand.Commit commit
            when admits(commit.term()) ->
                advance("Commit", new PartKey(commit.attempt(), commit.part()), PartPhase.COMMITTED);
            case AgentCommand.Start start
            when admits(start.term()) ->
                advance("Start", new PartKey(start.attempt(), start.part()), PartPhase.STARTED);
            case AgentCommand.Stop stop when admits(stop.term()) -> stop(new PartKey(stop.attempt(), stop.part()));
            case AgentCommand.Release release
            when admits(release.term()) -> release("Release", new PartKey(release.attempt(), release.part()));
            case AgentCommand.RenewGang renewal -> admits(renewal.term());
            case AgentCommand.ForgetAttempt forget when admits(forget.term()) -> forget(forget.attempt());
            default -> {
                // Replies of the relay need no handling.
            }
        }
    }

    /** Ends a running part successfully with an answer. */
    void succeed(PartKey key, String answer) {
        answers.put(key, answer.getBytes(StandardCharsets.UTF_8));
        change(key, PartPhase.SUCCEEDED, "");
        region.fromAgent(this, new PartChanged(parts.get(key).report()));
        sendAnswer(key);
    }

    /** Ends a part in another phase. */
    void end(PartKey key, PartPhase phase, String failure) {
        change(key, phase, failure);
        region.fromAgent(this, new PartChanged(parts.get(key).report()));
    }

    List<PartKey> running() {
        return parts.entrySet().stream()
                .filter(entry -> entry.getValue().report().phase() == PartPhase.STARTED)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void sendAnswer(PartKey key) {
        Answer answer = Answer.of(answers.get(key));
        region.fromAgent(
                this, new AnswerPart(key.attempt(), key.part(), answer.content(), answer.length(), answer.checksum()));
    }

    private boolean admits(Term given) {
        if (given.compareTo(term) < 0) {
            region.fromAgent(this, new AgentMessage.StaleTerm(given, term));
            return false;
        }
        term = given;
        return true;
    }

    private void hold(PartKey key, AgentCommand.Hold hold) {
        if (!parts.containsKey(key) && (refusals > 0 || fenced.contains(key) || leaving)) {
            refusals = Math.max(0, refusals - 1);
            fenced.add(key);
            region.fromAgent(this, new PartReply("Hold", released(key), "insufficient-resources", "test"));
            return;
        }
        TaskSpecification specification = hold.specification();
        parts.putIfAbsent(
                key,
                new HeldPart(
                        new PartReport(
                                hold.attempt(),
                                hold.part(),
                                specification.parts(),
                                PartPhase.HELD,
                                specification.resources(),
                                hold.firstAccelerator(),
                                0,
                                0,
                                ""),
                        specification));
        reply("Hold", key);
    }

    private void advance(String request, PartKey key, PartPhase phase) {
        if (!parts.containsKey(key)) {
            fenced.add(key);
            region.fromAgent(this, new PartReply(request, released(key), "attempt-fenced", "test"));
            return;
        }
        if (parts.get(key).report().phase().ordinal() < phase.ordinal()) {
            change(key, phase, "");
            if (phase == PartPhase.STARTED) {
                starts.add(key);
            }
        }
        reply(request, key);
        if (answers.containsKey(key)) {
            sendAnswer(key);
        }
    }

    private void stop(PartKey key) {
        if (parts.containsKey(key) && parts.get(key).report().phase().mayHaveRun()) {
            if (parts.get(key).report().phase().holdsResources()) {
                change(key, PartPhase.STOPPED, "");
            }
            reply("Stop", key);
        } else {
            release("Stop", key);
        }
    }

    private void release(String request, PartKey key) {
        HeldPart part = parts.get(key);
        if (part != null && part.report().phase().mayHaveRun()) {
            reply(request, key);
            return;
        }
        parts.remove(key);
        fenced.add(key);
        region.fromAgent(this, new PartReply(request, released(key), "", ""));
    }

    private void forget(AttemptIdentifier attempt) {
        parts.keySet().removeIf(key -> key.attempt().equals(attempt));
        answers.keySet().removeIf(key -> key.attempt().equals(attempt));
    }

    private void reply(String request, PartKey key) {
        region.fromAgent(this, new PartReply(request, parts.get(key).report(), "", ""));
    }

    private void change(PartKey key, PartPhase phase, String failure) {
        PartReport old = parts.get(key).report();
        PartReport report = new PartReport(
                old.attempt(),
                old.part(),
                old.parts(),
                phase,
                old.resources(),
                old.firstAccelerator(),
                old.progressPercent(),
                old.checkpoint(),
                failure);
        parts.put(key, new HeldPart(report, parts.get(key).specification()));
    }

    private static PartReport released(PartKey key) {
        return new PartReport(
                key.attempt(), key.part(), 1, PartPhase.RELEASED, new PartResources(0, 0, 0, 0), -1, 0, 0, "");
    }
}
