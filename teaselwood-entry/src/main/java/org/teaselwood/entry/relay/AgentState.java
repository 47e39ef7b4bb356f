package org.teaselwood.entry.relay;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.AgentMessage.AgentHello;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;
import org.teaselwood.protocol.message.TaskSpecification;

/**
 * Last reported state of an agent: its hello with all later changes. Released parts are left out; where a fence
 * matters, the placer requests it again. Confined to one thread.
 */
public final class AgentState {
    private final BackendServer server;
    private final String incarnation;
    private final Map<PartKey, HeldPart> parts = new TreeMap<>();
    /** Specifications of holds that were sent and are not answered yet. */
    private final Map<PartKey, TaskSpecification> unansweredHolds = new TreeMap<>();

    private Term term;
    private long revision;
    private boolean leaving;

    /** Creates the state of an agent from its hello. */
    public AgentState(AgentHello hello) {
        server = hello.server();
        incarnation = hello.incarnation();
        term = hello.term();
        revision = hello.configurationRevision();
        leaving = hello.leaving();
        hello.parts().stream()
                .filter(part -> part.report().phase() != PartPhase.RELEASED)
                .forEach(part -> parts.put(keyOf(part.report()), part));
    }

    /** Applies a message of the agent. */
    public void apply(AgentMessage message) {
        switch (message) {
            case AgentMessage.PartChanged changed -> applyReport(changed.report());
            case AgentMessage.PartReply reply -> applyReport(reply.report());
            case AgentMessage.StaleTerm stale -> observeTerm(stale.highest());
            case AgentMessage.AgentLeaving ignored -> leaving = true;
            case AgentMessage.AgentHello ignored -> {}
            case AgentMessage.AgentHeartbeat ignored -> {}
            case AgentMessage.PartUsage ignored -> {}
            case AgentMessage.AnswerPart ignored -> {}
        }
    }

    /** Records the specification that a hold carries. */
    public void holdSent(PartKey part, TaskSpecification specification) {
        unansweredHolds.put(part, specification);
    }

    /** Discards an attempt that the agent was ordered to forget. */
    public void discardAttempt(AttemptIdentifier attempt) {
        parts.keySet().removeIf(part -> part.attempt().equals(attempt));
        unansweredHolds.keySet().removeIf(part -> part.attempt().equals(attempt));
    }

    /** Records a term that the agent has seen; a lower one than the highest has no effect. */
    public void observeTerm(Term seen) {
        if (seen.compareTo(term) > 0) {
            term = seen;
        }
    }

    /** Records a configuration revision that was sent to the agent. */
    public void observeRevision(long sentRevision) {
        revision = Math.max(revision, sentRevision);
    }

    /** Returns the state as the hello that the agent would send now. */
    public AgentHello hello() {
        return new AgentHello(server, incarnation, term, revision, leaving, List.copyOf(parts.values()));
    }

    /** Returns the description of the backend server. */
    public BackendServer server() {
        return server;
    }

    /** Returns the incarnation of the agent. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the highest term that the agent has seen. */
    public Term term() {
        return term;
    }

    /** Returns whether the agent is shutting down and accepts no new work. */
    public boolean leaving() {
        return leaving;
    }

    /** Returns the parts that the agent holds or keeps a record of, in order. */
    public Map<PartKey, HeldPart> parts() {
        return parts;
    }

    private void applyReport(PartReport report) {
        PartKey key = keyOf(report);
        TaskSpecification first = unansweredHolds.remove(key);
        HeldPart known = parts.get(key);
        TaskSpecification specification = known == null ? first : known.specification();
        if (report.phase() == PartPhase.RELEASED) {
            parts.remove(key);
        } else if (specification != null) {
            parts.put(key, new HeldPart(report, specification));
        }
    }

    private static PartKey keyOf(PartReport report) {
        return new PartKey(report.attempt(), report.part());
    }
}
