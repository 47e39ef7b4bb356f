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
 * Adapter between the configuration core and the rest of the entry core. Only the placer carries out changes, because
 * only it knows the backend servers on which the guarantees must be packed. Confined to the core's thread.
 */
final class ConfigurationAdapter implements ConfigurationEffects {
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

    ConfigurationAdapter(
            EntryContext context,
            Outbox outbox,
            BiConsumer<Requester, FrontReply> replies,
            Consumer<Configuration> applied,
            GuaranteeCheck guaranteeCheck) {
        this.context = context;
        this.outbox = outbox;
        this.replies = replies;
        this.applied = applied;
        this.core = new ConfigurationCore(POLL_MILLISECONDS, this, next -> checkIfTeamsChanged(next, guaranteeCheck));
    }

    /** Starts reading the configuration at the first tick, then polls it at a fixed interval. */
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

    /** Applies an accepted configuration if it is newer than the one in force. */
    void adopt(Configuration newer) {
        core.peerMessage(context.self(), new EntryMessage.ConfigurationDocument(newer), context.now());
        context.configurationProblem(core.notReadyReason().orElse(""));
    }

    /** Returns why the configuration does not allow the entry to serve, or empty if it does. */
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
    public void log(String message) {
        context.effects().log(message, "", "");
    }

    /**
     * Checks the guarantees only if a team changed. A server must remain drainable while the guarantees do not fit, for
     * example after the loss of a rack.
     */
    private void checkIfTeamsChanged(Configuration next, GuaranteeCheck guaranteeCheck) {
        if (!next.teams().equals(context.configuration().teams())) {
            guaranteeCheck.check(next);
        }
    }
}
