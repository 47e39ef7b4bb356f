package org.teaselwood.entry.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.store.configuration.AcceptedChange;
import org.teaselwood.store.configuration.ConfigurationKeys;
import org.teaselwood.store.configuration.ConfigurationSnapshot;

/**
 * Applies configuration changes one after the other. Confined to one thread.
 *
 * <p>Each round reads all documents, looks up the identifier of the change, and sends the transaction if the change was
 * not accepted and the head has not moved. When the reply to the transaction is lost, the round is repeated until the
 * result is certain: the identifier is present, so the change was accepted; or the head has moved without it, so that
 * the transaction, which compares the head, can never apply; or the transaction is sent again, which is safe because it
 * compares the head and the identifier. Reading back alone is not sufficient, because a delayed transaction can still
 * apply later.
 */
final class ChangeExecutor {
    /** Time limit of one change, after which it is refused; its outcome is unknown if its transaction was sent. */
    static final long TIME_LIMIT_MILLISECONDS = 8_000;

    private static final long RETRY_MILLISECONDS = 250;
    private static final int MAXIMUM_WAITING = 64;
    private static final int MAXIMUM_UNCERTAIN_DIGESTS = 1_024;

    private final ConfigurationCore core;
    private final PendingStoreCalls calls;
    private final ConfigurationEffects effects;
    private final GuaranteeCheck guaranteeCheck;
    private final Deque<Request> waiting = new ArrayDeque<>();
    /** Digests of changes that were sent and whose outcome is unknown; the oldest is dropped first. */
    private final Set<String> uncertainDigests = new LinkedHashSet<>();

    private ActiveChange active;

    private record Request(long frontToken, ConfigurationChange change, boolean dryRun, String digest) {}

    /** Change that is being applied. */
    private static final class ActiveChange {
        private final Request request;
        private final long deadline;
        /** Time of the next round, 0 while waiting for a reply. */
        private long nextRoundAt;

        ActiveChange(Request request, long deadline) {
            this.request = request;
            this.deadline = deadline;
        }

        String identifier() {
            return request.change().identifier();
        }

        String digest() {
            return request.digest();
        }
    }

    ChangeExecutor(
            ConfigurationCore core,
            PendingStoreCalls calls,
            ConfigurationEffects effects,
            GuaranteeCheck guaranteeCheck) {
        this.core = core;
        this.calls = calls;
        this.effects = effects;
        this.guaranteeCheck = guaranteeCheck;
    }

    void request(long frontToken, ConfigurationChange change, boolean dryRun, long nowMilliseconds) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            // An earlier request with the same identifier may have been accepted, so the outcome is unknown.
            effects.reply(
                    frontToken,
                    refusal(Outcome.UNKNOWN, ErrorKind.OVERLOADED, "too many configuration changes are queued"));
            return;
        }
        try {
            waiting.add(new Request(frontToken, change, dryRun, ChangePlan.digestOf(change)));
        } catch (TeaselwoodException exception) {
            effects.reply(frontToken, FrontReply.Refused.of(exception));
            return;
        }
        startNext(nowMilliseconds);
    }

    void tick(long nowMilliseconds) {
        if (active == null) {
            return;
        }
        if (nowMilliseconds >= active.deadline) {
            finish(refusalWithoutResult("the change did not complete in time"), nowMilliseconds);
        } else if (active.nextRoundAt != 0 && nowMilliseconds >= active.nextRoundAt) {
            startRound(nowMilliseconds);
        }
    }

    private void startNext(long nowMilliseconds) {
        if (active == null && !waiting.isEmpty()) {
            active = new ActiveChange(waiting.poll(), nowMilliseconds + TIME_LIMIT_MILLISECONDS);
            startRound(nowMilliseconds);
        }
    }

    private void startRound(long nowMilliseconds) {
        ActiveChange change = active;
        change.nextRoundAt = 0;
        calls.call(new StoreCall.ListPrefix(ConfigurationKeys.PREFIX), nowMilliseconds, (reply, now) -> {
            if (change == active) {
                documentsRead(reply, now);
            }
        });
    }

    private void documentsRead(StoreReply reply, long nowMilliseconds) {
        if (!(reply instanceof StoreReply.Values values)) {
            readFailed(
                    reply instanceof StoreReply.Unavailable failure ? failure.detail() : "unexpected reply",
                    nowMilliseconds);
            return;
        }
        ConfigurationSnapshot snapshot;
        try {
            snapshot = ConfigurationSnapshot.decode(values.values());
        } catch (TeaselwoodException exception) {
            readFailed(exception.getMessage(), nowMilliseconds);
            return;
        }
        try {
            decide(snapshot, nowMilliseconds);
        } catch (TeaselwoodException exception) {
            finish(FrontReply.Refused.of(exception), nowMilliseconds);
        }
    }

    private void readFailed(String detail, long nowMilliseconds) {
        if (uncertainDigests.contains(active.digest())) {
            retryLater(nowMilliseconds);
        } else {
            finish(refusalWithoutResult(detail), nowMilliseconds);
        }
    }

    private void decide(ConfigurationSnapshot snapshot, long nowMilliseconds) {
        if (snapshot.configuration().revision() < core.current().revision()) {
            core.log("the key-value service returned an older configuration than the one in force");
            retryLater(nowMilliseconds);
            return;
        }
        core.apply(snapshot);
        ConfigurationChange change = active.request.change();
        AcceptedChange accepted = snapshot.changes().get(change.identifier());
        long revision = snapshot.configuration().revision();
        if (accepted != null) {
            finish(resultOf(accepted), nowMilliseconds);
        } else if (revision != change.baseRevision()) {
            finish(revisionMoved(revision, change.baseRevision()), nowMilliseconds);
        } else {
            send(snapshot, nowMilliseconds);
        }
    }

    private FrontReply resultOf(AcceptedChange accepted) {
        return accepted.digest().equals(active.request.digest())
                ? new FrontReply.ConfigurationReply(core.current())
                : FrontReply.Refused.of(
                        ErrorKind.BAD_REQUEST, "the identifier belongs to another change, which was accepted");
    }

    /**
     * Returns the refusal of a change whose base is not the current revision. The outcome is unknown if the record of
     * the change may have been removed because its base is old, or if the base is ahead of the revision that was read,
     * which shows that the service may have returned outdated data.
     */
    private static FrontReply revisionMoved(long revision, long baseRevision) {
        boolean recordKept =
                baseRevision >= revision - ConfigurationSnapshot.RETAINED_CHANGES && baseRevision <= revision;
        Outcome outcome = recordKept ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return refusal(outcome, ErrorKind.REVISION_MOVED, revision, baseRevision);
    }

    private void send(ConfigurationSnapshot snapshot, long nowMilliseconds) {
        ActiveChange change = active;
        Configuration next = ChangePlan.apply(snapshot.configuration(), change.request.change());
        // A change that was sent before has passed the check already and may have been applied: a refusal now could
        // be false.
        if (!uncertainDigests.contains(change.digest())) {
            guaranteeCheck.check(next);
        }
        if (change.request.dryRun()) {
            finish(new FrontReply.ConfigurationReply(next), nowMilliseconds);
            return;
        }
        StoreCall call = new StoreCall.Transact(snapshot.transactionTo(next, change.identifier(), change.digest()));
        addUncertainDigest(change.digest());
        calls.call(call, nowMilliseconds, (reply, now) -> transacted(change, next, reply, now));
    }

    private void transacted(ActiveChange change, Configuration next, StoreReply reply, long nowMilliseconds) {
        boolean applied = reply instanceof StoreReply.Transacted(var result) && result.applied();
        if (applied) {
            core.apply(next);
        }
        if (change != active) {
            return;
        }
        if (applied) {
            finish(new FrontReply.ConfigurationReply(next), nowMilliseconds);
        } else if (reply instanceof StoreReply.Transacted) {
            startRound(nowMilliseconds);
        } else {
            retryLater(nowMilliseconds);
        }
    }

    private void retryLater(long nowMilliseconds) {
        active.nextRoundAt = nowMilliseconds + RETRY_MILLISECONDS;
    }

    private FrontReply refusalWithoutResult(String detail) {
        return uncertainDigests.contains(active.digest())
                ? FrontReply.Refused.of(ErrorKind.CHANGE_UNCERTAIN, active.identifier())
                : FrontReply.Refused.of(ErrorKind.STORE_UNAVAILABLE, detail);
    }

    private void finish(FrontReply reply, long nowMilliseconds) {
        ActiveChange finished = active;
        active = null;
        boolean resolved =
                !(reply instanceof FrontReply.Refused refused) || refused.kind() != ErrorKind.CHANGE_UNCERTAIN;
        if (resolved && !finished.request.dryRun()) {
            uncertainDigests.remove(finished.digest());
        }
        effects.reply(finished.request.frontToken(), reply);
        startNext(nowMilliseconds);
    }

    private void addUncertainDigest(String digest) {
        uncertainDigests.add(digest);
        if (uncertainDigests.size() > MAXIMUM_UNCERTAIN_DIGESTS) {
            uncertainDigests.remove(List.copyOf(uncertainDigests).getFirst());
        }
    }

    private static FrontReply refusal(Outcome outcome, ErrorKind kind, Object... arguments) {
        return new FrontReply.Refused(kind, kind.message(arguments), outcome);
    }
}
