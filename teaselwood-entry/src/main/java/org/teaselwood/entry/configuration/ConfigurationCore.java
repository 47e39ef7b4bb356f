package org.teaselwood.entry.configuration;

import java.util.Optional;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.Configuration;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.store.configuration.ConfigurationSnapshot;

/**
 * Configuration of one entry: reads it from the key-value service, applies changes, and exchanges it with peers.
 * Deterministic and without I/O of its own; confined to the thread of the entry core.
 *
 * <p>Invariant: the revision in force never falls, and every configuration in force is one complete accepted revision.
 * A configuration is therefore taken from one of three sources only: a list of all documents, which the service answers
 * from a single state; a transaction that the service has confirmed; or a peer's complete configuration. A
 * configuration that is not newer than the one in force is ignored, so that neither a delayed reply nor a service that
 * lost its latest writes can restore an older one.
 *
 * <p>Usage: call {@link #start} once, {@link #tick} on every tick, {@link #mayHaveChanged} when the watch reports a
 * change or was reopened, {@link #storeReplied} with the reply to every call made through {@link
 * ConfigurationEffects#callStore}, {@link #peerReported} and {@link #agentReported} for every hello and heartbeat that
 * carries a revision, {@link #peerMessage} for the two configuration messages, and {@link #change} for a change
 * requested by a front end. Every change is answered exactly once, at most {@value
 * ChangeExecutor#TIME_LIMIT_MILLISECONDS} ms after its processing has begun.
 */
public final class ConfigurationCore {
    private final ConfigurationEffects effects;
    private final PendingStoreCalls calls;
    private final ConfigurationReader reader;
    private final ChangeExecutor changes;
    private final PeerConfigurations peers;
    private Configuration current = Configuration.EMPTY;
    /** Whether a complete configuration was read since the start. An empty one counts if the service returned it. */
    private boolean complete;

    private long highestReported;

    /**
     * Creates a core without a configuration.
     *
     * @param pollMilliseconds interval in milliseconds at which the head is read if the watch reports no change
     */
    public ConfigurationCore(long pollMilliseconds, ConfigurationEffects effects, GuaranteeCheck guaranteeCheck) {
        this.effects = effects;
        this.calls = new PendingStoreCalls(effects);
        this.reader = new ConfigurationReader(this, calls, pollMilliseconds);
        this.changes = new ChangeExecutor(this, calls, effects, guaranteeCheck);
        this.peers = new PeerConfigurations(this, effects);
    }

    /** Starts reading the configuration. */
    public void start(long nowMilliseconds) {
        reader.read(nowMilliseconds);
    }

    /** Handles time-outs, due reads and due rounds of a change. */
    public void tick(long nowMilliseconds) {
        calls.expire(nowMilliseconds);
        reader.tick(nowMilliseconds);
        changes.tick(nowMilliseconds);
        peers.tick(nowMilliseconds);
    }

    /** Reads the configuration because the watch reported a change or was reopened. */
    public void mayHaveChanged(long nowMilliseconds) {
        reader.read(nowMilliseconds);
    }

    /**
     * Handles a reply of the key-value service.
     *
     * @return false if no call of this core waits for a reply with this token
     */
    public boolean storeReplied(long token, StoreReply reply, long nowMilliseconds) {
        return calls.replied(token, reply, nowMilliseconds);
    }

    /** Records the revision that a peer reported as in force. */
    public void peerReported(String peer, long revision, long nowMilliseconds) {
        peers.reported(peer, revision);
        observeRevision(revision, nowMilliseconds);
    }

    /** Records the highest revision that an agent has received from any entry. */
    public void agentReported(long revision, long nowMilliseconds) {
        observeRevision(revision, nowMilliseconds);
    }

    /** Removes a peer, so that it gets no more requests. The revision that it reported still counts. */
    public void peerGone(String peer) {
        peers.gone(peer);
    }

    /** Handles a configuration message of a peer. Other messages are ignored. */
    public void peerMessage(String peer, EntryMessage message, long nowMilliseconds) {
        switch (message) {
            case EntryMessage.ConfigurationRequest request -> peers.requested(peer, request.revision());
            case EntryMessage.ConfigurationDocument document -> apply(document.configuration());
            default -> {
                // Other messages do not concern the configuration.
            }
        }
    }

    /**
     * Applies a change requested by a front end. The reply is a ConfigurationReply with a configuration that contains
     * the change (or would contain it, for a dry run), or Refused.
     *
     * @param frontToken token of the reply
     * @param dryRun whether the change is only validated
     */
    public void change(long frontToken, ConfigurationChange change, boolean dryRun, long nowMilliseconds) {
        changes.request(frontToken, change, dryRun, nowMilliseconds);
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return current;
    }

    /** Returns the highest revision known to have been in force at this entry, a peer or an agent. */
    public long highestReported() {
        return Math.max(highestReported, current.revision());
    }

    /** Returns whether the entry may serve with the configuration in force. */
    public boolean isReady() {
        return notReadyReason().isEmpty();
    }

    /** Returns why the entry may not serve, or empty if it may. */
    public Optional<String> notReadyReason() {
        if (isBehind()) {
            return Optional.of("configuration revision " + current.revision()
                    + " is older than the highest known revision " + highestReported);
        }
        return complete ? Optional.empty() : Optional.of("no configuration has been read yet");
    }

    boolean isBehind() {
        return current.revision() < highestReported;
    }

    boolean isComplete() {
        return complete;
    }

    boolean isStoreUnavailable() {
        return reader.isStoreUnavailable();
    }

    /** Applies the configuration of a snapshot if it is newer than the one in force. */
    void apply(ConfigurationSnapshot snapshot) {
        complete = true;
        apply(snapshot.configuration());
    }

    /** Applies an accepted configuration if it is newer than the one in force. */
    void apply(Configuration accepted) {
        if (accepted.revision() > current.revision()) {
            complete = true;
            current = accepted;
            effects.applied(accepted);
        }
    }

    void log(String message) {
        effects.log(message);
    }

    private void observeRevision(long revision, long nowMilliseconds) {
        if (revision > highestReported) {
            highestReported = revision;
            if (isBehind()) {
                reader.read(nowMilliseconds);
            }
        }
    }
}
