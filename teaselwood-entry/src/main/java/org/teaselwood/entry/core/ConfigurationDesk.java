package org.teaselwood.entry.core;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.teaselwood.entry.configuration.ConfigurationCore;
import org.teaselwood.entry.configuration.ConfigurationEffects;
import org.teaselwood.entry.configuration.GuaranteeCheck;
import org.teaselwood.model.Configuration;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;

/**
 * Connects the configuration core to the rest of the entry core. Changes are carried out by the placer alone, because
 * only it knows the backend servers on which the guarantees must be packed. Confined to the core's thread.
 */
final class ConfigurationDesk implements ConfigurationEffects {
    private static final long POLL_MILLISECONDS = 2_000;

    private final EntryContext context;
    private final Outbox outbox;
    private final BiConsumer<Requester, FrontReply> replies;
    private final Consumer<Configuration> applied;
    private final ConfigurationCore core;
    private final Map<Long, Requester> requesters = new TreeMap<>();
    private long nextStoreToken = 1;
    private long nextFrontToken = 1;
    private boolean started;

    ConfigurationDesk(
            EntryContext context,
            Outbox outbox,
            BiConsumer<Requester, FrontReply> replies,
            Consumer<Configuration> applied,
            GuaranteeCheck guaranteeCheck) {
        this.context = context;
        this.outbox = outbox;
        this.replies = replies;
        this.applied = applied;
        this.core = new ConfigurationCore(POLL_MILLISECONDS, this, next -> checkIfChanged(next, guaranteeCheck));
    }

    /** Reads the configuration at the first event, then whenever it is due. */
    void tick() {
        if (!started) {
            started = true;
            core.start(context.now());
        }
        core.tick(context.now());
    }

    void mayHaveChanged() {
        core.mayHaveChanged(context.now());
    }

    void peerReported(String peer, long revision) {
        core.peerReported(peer, revision, context.now());
    }

    void agentReported(long revision) {
        core.agentReported(revision, context.now());
    }

    void peerMessage(String peer, EntryMessage message) {
        core.peerMessage(peer, message, context.now());
    }

    void change(Requester requester, FrontRequest.ChangeConfiguration request) {
        long token = nextFrontToken++;
        requesters.put(token, requester);
        core.change(token, request.change(), request.dryRun(), context.now());
    }

    /** Puts an accepted configuration in force if it is newer. */
    void adopt(Configuration newer) {
        core.peerMessage(context.self(), new EntryMessage.ConfigurationDocument(newer), context.now());
        context.configurationProblem(core.notReadyReason().orElse(""));
    }

    /** Why the entry may not serve, empty when it may. */
    Optional<String> notReadyReason() {
        return core.notReadyReason();
    }

    @Override
    public long callStore(StoreCall call) {
        long token = nextStoreToken++;
        context.store().call(call, reply -> core.storeReplied(token, reply, context.now()));
        return token;
    }

    @Override
    public void sendToPeer(String peer, EntryMessage message) {
        outbox.toEntry(peer, message);
    }

    @Override
    public void reply(long frontToken, FrontReply reply) {
        Requester requester = requesters.remove(frontToken);
        if (requester != null) {
            replies.accept(requester, reply);
        }
    }

    @Override
    public void applied(Configuration configuration) {
        applied.accept(configuration);
    }

    @Override
    public void logged(String message) {
        context.effects().logged(message, "", "");
    }

    /** Draining must be possible while guarantees do not fit, for example after a rack was lost. */
    private void checkIfChanged(Configuration next, GuaranteeCheck guaranteeCheck) {
        if (!next.teams().equals(context.configuration().teams())) {
            guaranteeCheck.check(next);
        }
    }
}
