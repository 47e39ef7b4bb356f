package org.teaselwood.agent.core;

import java.util.Locale;
import java.util.stream.Collectors;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.protocol.message.AgentMessage;

/** Formats messages as text for scenarios. */
final class ScenarioText {
    private ScenarioText() {}

    static String of(AgentMessage message) {
        return switch (message) {
            case AgentMessage.AgentHello hello ->
                "hello" + (hello.leaving() ? " leaving" : "") + " term "
                        + hello.term().number()
                        + hello.parts().stream()
                                .map(part -> ", " + of(part.report()))
                                .collect(Collectors.joining());
            case AgentMessage.PartReply reply ->
                "reply " + reply.request().toLowerCase(Locale.ROOT) + " " + of(reply.report())
                        + (reply.refusal().isEmpty() ? "" : " " + reply.refusal());
            case AgentMessage.PartChanged changed -> "changed " + of(changed.report());
            case AgentMessage.AnswerPart answer ->
                "answer " + answer.attempt() + "/" + answer.part() + " " + answer.length();
            case AgentMessage.StaleTerm stale ->
                "stale " + stale.refused().number() + " " + stale.highest().number();
            case AgentMessage.AgentLeaving ignored -> "leaving";
            default -> message.toString();
        };
    }

    private static String of(PartReport report) {
        String text = report.attempt() + "/" + report.part() + " " + report.phase();
        if (report.phase() == PartPhase.RUNNING && report.progressPercent() > 0) {
            text += " " + report.progressPercent() + "%";
        }
        return report.checkpoint() == 0 ? text : text + " checkpoint " + report.checkpoint();
    }
}
