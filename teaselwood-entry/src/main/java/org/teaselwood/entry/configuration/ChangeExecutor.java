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
 * Carries out changes, one after the other. Confined to one thread.
 *
 * <p>Each round reads all documents, looks for the change's identifier, and sends the transaction if the change was not
 * accepted and the head has not moved. When the reply to the transaction is lost, the same round is repeated until the
 * answer is certain: the identifier is there (accepted); or the head has moved without it, and the transaction never
 * applies, because it compares the head; or the transaction is sent again, which is safe because it compares the head
 * and the identifier. Reading back alone would not do: a transaction that is delayed can still apply later.
 */
final class ChangeExecutor {
    /** Longest work on one change before its caller is told that the result is not known. */
    static final long LONGEST_MILLISECONDS = 8_000;

    private static final long RETRY_MILLISECONDS = 250;
    private static final int MAXIMUM_WAITING = 64;
    private static final int MAXIMUM_UNCERTAIN = 1_024;

    private final ConfigurationCore core;
    private final PendingStoreCalls calls;
    private final ConfigurationEffects effects;
    private final GuaranteeCheck guaranteeCheck;
    private final Deque<Request> waiting = new ArrayDeque<>();
    /** Digests of changes that were sent and whose result is not known; the oldest is forgotten first. */
    private final Set<String> uncertain = new LinkedHashSet<>();

    private Active active;

    private record Request(long frontToken, ConfigurationChange change, boolean dryRun, String digest) {}

    /** The change that is carried out now. */
    private static final class Active {
        private final Request request;
        private final long deadline;
        /** Time of the next round, 0 while a reply is awaited. */
        private long nextRound;

        Active(Request request, long deadline) {
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
            // The same identifier may have been accepted earlier, so the outcome is not known here.
            effects.reply(
                    frontToken, refusal(Outcome.UNKNOWN, ErrorKind.OVERLOADED, "too many configuration changes wait"));
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
            finish(notCertain("no answer in time"), nowMilliseconds);
        } else if (active.nextRound != 0 && nowMilliseconds >= active.nextRound) {
            round(nowMilliseconds);
        }
    }

    private void startNext(long nowMilliseconds) {
        if (active == null && !waiting.isEmpty()) {
            active = new Active(waiting.poll(), nowMilliseconds + LONGEST_MILLISECONDS);
            round(nowMilliseconds);
        }
    }

    private void round(long nowMilliseconds) {
        Active change = active;
        change.nextRound = 0;
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
        if (uncertain.contains(active.digest())) {
            retryLater(nowMilliseconds);
        } else {
            finish(notCertain(detail), nowMilliseconds);
        }
    }

    private void decide(ConfigurationSnapshot snapshot, long nowMilliseconds) {
        if (snapshot.configuration().revision() < core.current().revision()) {
            core.log("the key-value service answered with an older configuration than the one in force");
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
            finish(moved(revision, change.baseRevision()), nowMilliseconds);
        } else {
            send(snapshot, nowMilliseconds);
        }
    }

    private FrontReply resultOf(AcceptedChange accepted) {
        return accepted.digest().equals(active.request.digest())
                ? new FrontReply.ConfigurationReply(core.current())
                : FrontReply.Refused.of(
                        ErrorKind.BAD_REQUEST, "the identifier was used for another change, which was accepted");
    }

    /**
     * Records of old changes are removed, so that a change with an old base may have been accepted long ago; and a base
     * that lies ahead shows that the service's answer may be out of date.
     */
    private static FrontReply moved(long revision, long baseRevision) {
        boolean recordKept =
                baseRevision >= revision - ConfigurationSnapshot.RETAINED_CHANGES && baseRevision <= revision;
        Outcome outcome = recordKept ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return refusal(outcome, ErrorKind.REVISION_MOVED, revision, baseRevision);
    }

    private void send(ConfigurationSnapshot snapshot, long nowMilliseconds) {
        Active change = active;
        Configuration next = ChangePlan.apply(snapshot.configuration(), change.request.change());
        // A transaction that may have been sent was checked before, and refusing it now could prove untrue.
        if (!uncertain.contains(change.digest())) {
            guaranteeCheck.check(next);
        }
        if (change.request.dryRun()) {
            finish(new FrontReply.ConfigurationReply(next), nowMilliseconds);
            return;
        }
        StoreCall call = new StoreCall.Transact(snapshot.transactionTo(next, change.identifier(), change.digest()));
        remember(change.digest());
        calls.call(call, nowMilliseconds, (reply, now) -> transacted(change, next, reply, now));
    }

    private void transacted(Active change, Configuration next, StoreReply reply, long nowMilliseconds) {
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
            round(nowMilliseconds);
        } else {
            retryLater(nowMilliseconds);
        }
    }

    private void retryLater(long nowMilliseconds) {
        active.nextRound = nowMilliseconds + RETRY_MILLISECONDS;
    }

    private FrontReply notCertain(String detail) {
        return uncertain.contains(active.digest())
                ? FrontReply.Refused.of(ErrorKind.CHANGE_UNCERTAIN, active.identifier())
                : FrontReply.Refused.of(ErrorKind.STORE_UNAVAILABLE, detail);
    }

    private void finish(FrontReply reply, long nowMilliseconds) {
        Active finished = active;
        active = null;
        boolean resolved =
                !(reply instanceof FrontReply.Refused refused) || refused.kind() != ErrorKind.CHANGE_UNCERTAIN;
        if (resolved && !finished.request.dryRun()) {
            uncertain.remove(finished.digest());
        }
        effects.reply(finished.request.frontToken(), reply);
        startNext(nowMilliseconds);
    }

    private void remember(String digest) {
        uncertain.add(digest);
        if (uncertain.size() > MAXIMUM_UNCERTAIN) {
            uncertain.remove(List.copyOf(uncertain).getFirst());
        }
    }

    private static FrontReply refusal(Outcome outcome, ErrorKind kind, Object... arguments) {
        return new FrontReply.Refused(kind, kind.message(arguments), outcome);
    }
}
