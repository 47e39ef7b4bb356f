package org.teaselwood.entry.process;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.teaselwood.entry.core.EntryEffects;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.Outcome;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;

/** Core that replies to HTTP requests with the results of a function and records all events except ticks. */
final class ScriptedCore implements CoreFactory.Core {
    final List<EntryEvent> events = new CopyOnWriteArrayList<>();
    final EntryEffects effects;
    private final Function<FrontRequest, FrontReply> script;

    ScriptedCore(EntryEffects effects, Function<FrontRequest, FrontReply> script) {
        this.effects = effects;
        this.script = script;
        effects.readinessChanged(true, "");
    }

    @Override
    public void handle(EntryEvent event, long nowMilliseconds) {
        if (event instanceof EntryEvent.Tick) {
            return;
        }
        events.add(event);
        switch (event) {
            case EntryEvent.RequestReceived requested -> {
                FrontReply reply = script.apply(requested.request());
                if (reply != null) {
                    effects.reply(requested.token(), reply);
                }
            }
            case EntryEvent.ShutdownRequested ignored -> effects.drained();
            default -> {}
        }
    }

    <T extends EntryEvent> List<T> eventsOf(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static JobView view(String job, JobState state, long version, int answerLength, int answerChecksum) {
        return new JobView(
                new JobIdentifier(job),
                "trinidad",
                "key",
                "winding",
                "winding-plan",
                state,
                state.isFinal() ? Outcome.SUCCEEDED : Outcome.PENDING,
                version,
                1,
                50,
                0,
                0,
                0,
                true,
                "",
                "",
                answerLength,
                answerChecksum);
    }
}
