package org.teaselwood.entry.configuration;

import java.util.Optional;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.Configuration;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.store.configuration.ConfigurationSnapshot;

/**
 * The configuration of one entry: reads it from the key-value service, carries out changes, and exchanges it with
 * peers. Pure and deterministic; confined to the thread of the entry core.
 *
 * <p>Invariant: the revision in force only rises, and every configuration in force is one whole accepted revision. A
 * configuration therefore comes from one of three sources only: one list of all documents, which the service answers
 * from a single state; a transaction that the service has confirmed; or a peer's whole configuration. Whatever is not
 * newer than the one in force is ignored, so an answer that was delayed, or a service that lost its newest writes,
 * cannot bring an older one back.
 *
 * <p>How to plug it in: call {@link #start} once, {@link #tick} on every tick, {@link #mayHaveChanged} when the watch
 * reports news or was opened again, {@link #storeReplied} with the reply to every call made through
 * {@link ConfigurationEffects#callStore}, {@link #peerReported} and {@link #agentReported} for every hello and
 * heartbeat that carries a revision, {@link #peerMessage} for the two configuration messages, and {@link #change} for a
 * front's request. Every change is answered exactly once, at most {@value ChangeExecutor#LONGEST_MILLISECONDS} ms after
 * its turn has come.
 */
public final class ConfigurationCore {
    private final ConfigurationEffects effects;
    private final PendingStoreCalls calls;
    private final ConfigurationReader reader;
    private final ChangeExecutor changes;
    private final PeerConfigurations peers;
    private Configuration current = Configuration.EMPTY;
    /** Whether a whole configuration was read since the start; an empty one counts when the service says so. */
    private boolean complete;

    private long highestReported;

    /**
     * A core without a configuration.
     *
     * @param pollMilliseconds time after which the head is read when no news has come
     */
    public ConfigurationCore(long pollMilliseconds, ConfigurationEffects effects, GuaranteeCheck guaranteeCheck) {
        this.effects = effects;
        this.calls = new PendingStoreCalls(effects);
        this.reader = new ConfigurationReader(this, calls, pollMilliseconds);
        this.changes = new ChangeExecutor(this, calls, effects, guaranteeCheck);
        this.peers = new PeerConfigurations(this, effects);
    }

    /** Begins to read the configuration. */
    public void start(long nowMilliseconds) {
        reader.read(nowMilliseconds);
    }

    /** Time has passed. */
    public void tick(long nowMilliseconds) {
        calls.expire(nowMilliseconds);
        reader.tick(nowMilliseconds);
        changes.tick(nowMilliseconds);
        peers.tick(nowMilliseconds);
    }

    /** The watch reported news, or was opened again. */
    public void mayHaveChanged(long nowMilliseconds) {
        reader.read(nowMilliseconds);
    }

    /**
     * The key-value service replied.
     *
     * @return false when no call of this core with the token waits any more
     */
    public boolean storeReplied(long token, StoreReply reply, long nowMilliseconds) {
        return calls.replied(token, reply, nowMilliseconds);
    }

    /** A peer reported the revision that it has in force. */
    public void peerReported(String peer, long revision, long nowMilliseconds) {
        peers.reported(peer, revision);
        raiseReported(revision, nowMilliseconds);
    }

    /** An agent reported the highest revision that it was told. */
    public void agentReported(long revision, long nowMilliseconds) {
        raiseReported(revision, nowMilliseconds);
    }

    /** A peer is gone; it is asked nothing any more. What it reported still counts. */
    public void peerGone(String peer) {
        peers.gone(peer);
    }

    /** A peer sent a message; other messages than the two of the configuration are ignored. */
    public void peerMessage(String peer, EntryMessage message, long nowMilliseconds) {
        switch (message) {
            case EntryMessage.ConfigurationRequest request -> peers.requested(peer, request.revision());
            case EntryMessage.ConfigurationDocument document -> apply(document.configuration());
            default -> {
                // Not about the configuration.
            }
        }
    }

    /**
     * A front asks for a change. The answer is ConfigurationReply with a configuration that contains the change (or
     * would, for a dry run), or Refused.
     *
     * @param frontToken token of the reply
     * @param dryRun whether the change is only checked
     */
    public void change(long frontToken, ConfigurationChange change, boolean dryRun, long nowMilliseconds) {
        changes.request(frontToken, change, dryRun, nowMilliseconds);
    }

    /** The configuration in force. */
    public Configuration current() {
        return current;
    }

    /** The highest revision that this entry, an agent or a peer has had in force, as far as is known here. */
    public long highestReported() {
        return Math.max(highestReported, current.revision());
    }

    /** Whether the entry may serve with the configuration in force. */
    public boolean isReady() {
        return notReadyReason().isEmpty();
    }

    /** Why the entry may not serve, empty when it may. */
    public Optional<String> notReadyReason() {
        if (isBehind()) {
            return Optional.of("configuration revision " + current.revision() + " is older than " + highestReported);
        }
        return complete ? Optional.empty() : Optional.of("no configuration has been read yet");
    }

    boolean isBehind() {
        return current.revision() < highestReported;
    }

    boolean isComplete() {
        return complete;
    }

    boolean storeIsDown() {
        return reader.storeIsDown();
    }

    /** Puts the configuration of a snapshot in force if it is newer. */
    void apply(ConfigurationSnapshot snapshot) {
        complete = true;
        apply(snapshot.configuration());
    }

    /** Puts an accepted configuration in force if it is newer. */
    void apply(Configuration accepted) {
        if (accepted.revision() > current.revision()) {
            complete = true;
            current = accepted;
            effects.applied(accepted);
        }
    }

    void log(String message) {
        effects.logged(message);
    }

    private void raiseReported(long revision, long nowMilliseconds) {
        if (revision > highestReported) {
            highestReported = revision;
            if (isBehind()) {
                reader.read(nowMilliseconds);
            }
        }
    }
}
