package org.teaselwood.entry.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.entry.placer.Placer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Outcome;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;

/**
 * The requests of this entry's fronts. Each goes to the placer and again to the next one when the placer changes, the
 * connection breaks or no reply comes; requests are idempotent, a submission by its request key. A submission that was
 * sent more than once may have been accepted by the first receiver, so a later refusal does not say that it did not
 * run.
 */
final class FrontDesk {
    private static final long RESEND_MILLISECONDS = 3_000;
    private static final long RETRY_MILLISECONDS = 200;

    private final EntryContext context;
    private final Outbox outbox;
    private final Membership membership;
    private final Placer placer;
    private final Map<Long, Pending> pending = new TreeMap<>();

    /** One open request. */
    private static final class Pending {
        private final long token;
        private FrontRequest request;
        private final long since;
        /** Time at which the request must have been answered. */
        private final long deadline;

        private String sentTo = "";
        private long sentGeneration;
        private long sentAt;
        private int sends;
        private long notBefore = Long.MIN_VALUE;

        Pending(long token, FrontRequest request, long since, long deadline) {
            this.token = token;
            this.request = request;
            this.since = since;
            this.deadline = deadline;
        }
    }

    FrontDesk(EntryContext context, Outbox outbox, Membership membership, Placer placer) {
        this.context = context;
        this.outbox = outbox;
        this.membership = membership;
        this.placer = placer;
    }

    /** A front asks. */
    void requested(long token, FrontRequest request) {
        if (context.leaving()) {
            context.effects().reply(token, Refused.of(ErrorKind.STOPPING));
        } else if (pending.size() >= context.timings().maximumWaits()) {
            context.effects().reply(token, Refused.of(ErrorKind.OVERLOADED, "too many open requests"));
        } else {
            long waiting =
                    request instanceof FrontRequest.WaitForJob wait ? Math.max(0, wait.timeoutMilliseconds()) : 0;
            long deadline = context.now() + waiting + context.timings().forwardMilliseconds();
            Pending added = new Pending(token, request, context.now(), deadline);
            pending.put(token, added);
            dispatch(added);
        }
    }

    /** The caller has gone. */
    void abandoned(long token) {
        Pending request = pending.remove(token);
        if (request != null) {
            abandonAtPlacer(request);
        }
    }

    /** The placer replied. */
    void replied(String from, long token, FrontReply reply) {
        Pending request = pending.get(token);
        if (request == null || !request.sentTo.equals(from)) {
            return;
        }
        if (reply instanceof Refused refused && refused.kind() == ErrorKind.NO_PLACER) {
            request.sentTo = "";
            request.notBefore = context.now() + RETRY_MILLISECONDS;
            return;
        }
        pending.remove(token);
        context.effects().reply(token, honest(request, reply));
    }

    /** Sends requests again that need it, and answers those whose time has passed. */
    void tick() {
        List.copyOf(pending.values()).forEach(request -> {
            if (context.now() >= request.deadline) {
                giveUp(request);
            } else if (context.now() >= request.notBefore && needsSending(request)) {
                dispatch(request);
            }
        });
    }

    /** The entry is leaving: waiting callers get the present state and ask again elsewhere. */
    void leave() {
        List.copyOf(pending.values()).forEach(request -> {
            if (request.request instanceof FrontRequest.WaitForJob wait) {
                abandonAtPlacer(request);
                request.request = new FrontRequest.QueryJob(wait.principal(), wait.job());
                request.sentTo = "";
                dispatch(request);
            }
        });
    }

    /** Answers everything that is still open, because the process ends. */
    void close() {
        List.copyOf(pending.values()).forEach(this::giveUp);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    private boolean needsSending(Pending request) {
        String target = target();
        if (target.isEmpty()) {
            return false;
        }
        boolean unanswered = !(request.request instanceof FrontRequest.WaitForJob)
                && context.now() - request.sentAt >= RESEND_MILLISECONDS;
        return !target.equals(request.sentTo)
                || membership.generationOf(target) != request.sentGeneration
                || unanswered;
    }

    private void dispatch(Pending request) {
        String target = target();
        if (target.isEmpty()) {
            return;
        }
        if (!request.sentTo.isEmpty() && !request.sentTo.equals(target)) {
            abandonAtPlacer(request);
        }
        FrontRequest message = request.sends > 0 ? repeated(request.request) : request.request;
        boolean own = target.equals(context.self());
        if (own && placer.role() == Placer.Role.PASSIVE
                || !own && membership.linkOf(target).isEmpty()) {
            request.notBefore = context.now() + RETRY_MILLISECONDS;
            return;
        }
        request.sentTo = target;
        request.sentGeneration = membership.generationOf(target);
        request.sentAt = context.now();
        request.sends++;
        if (own) {
            placer.request(new Requester(target, request.token), message);
        } else {
            outbox.toEntry(target, new EntryMessage.ForwardedRequest(request.token, message));
        }
    }

    /** This entry while it places; otherwise the one that ranks first. */
    private String target() {
        if (placer.role() == Placer.Role.ACTIVE) {
            return context.self();
        }
        return membership.ranking().stream().findFirst().orElse("");
    }

    private void abandonAtPlacer(Pending request) {
        if (request.sentTo.equals(context.self())) {
            placer.abandon(new Requester(context.self(), request.token));
        } else if (!request.sentTo.isEmpty()) {
            outbox.toEntry(request.sentTo, new EntryMessage.ForwardedRequestAbandoned(request.token));
        }
    }

    private void giveUp(Pending request) {
        pending.remove(request.token);
        abandonAtPlacer(request);
        ErrorKind kind = ErrorKind.NO_PLACER;
        boolean neverSent = request.request instanceof FrontRequest.SubmitJob && request.sends == 0;
        Refused refusal = neverSent ? new Refused(kind, kind.message(), Outcome.NOT_RUN) : Refused.of(kind);
        context.effects().observed("no-placer", "", context.now() - request.since);
        context.effects().reply(request.token, refusal);
    }

    /** An entry that made up the key cannot tell any more that nothing ran under it. */
    private static FrontRequest repeated(FrontRequest request) {
        if (!(request instanceof FrontRequest.SubmitJob submit)) {
            return request;
        }
        JobSubmission first = submit.submission();
        JobSubmission again = new JobSubmission(
                first.requestKey(),
                true,
                first.team(),
                first.template(),
                first.parameters(),
                first.deadlineMilliseconds(),
                first.repeatable(),
                first.urgent());
        return new FrontRequest.SubmitJob(submit.principal(), again);
    }

    private static FrontReply honest(Pending request, FrontReply reply) {
        boolean uncertain = request.request instanceof FrontRequest.SubmitJob && request.sends > 1;
        if (uncertain && reply instanceof Refused refused && refused.outcome() == Outcome.NOT_RUN) {
            return new Refused(refused.kind(), refused.message(), Outcome.UNKNOWN);
        }
        return reply;
    }
}
