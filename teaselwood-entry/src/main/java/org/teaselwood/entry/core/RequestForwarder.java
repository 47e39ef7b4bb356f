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
 * Open requests of this entry's front ends, which are forwarded to the placer. A request is sent again when the placer
 * changes, the connection breaks or no reply arrives; requests are idempotent, a submission by its request key. A
 * submission that was sent more than once may have been accepted by the first receiver, so a later refusal does not
 * prove that it did not run. Confined to the core's thread.
 */
final class RequestForwarder {
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
        private final long receivedAt;
        /** Time by which the request must be answered. */
        private final long deadline;

        private String sentTo = "";
        private long sentGeneration;
        private long sentAt;
        private int sendCount;
        private long nextDispatchAt = Long.MIN_VALUE;

        Pending(long token, FrontRequest request, long receivedAt, long deadline) {
            this.token = token;
            this.request = request;
            this.receivedAt = receivedAt;
            this.deadline = deadline;
        }
    }

    RequestForwarder(EntryContext context, Outbox outbox, Membership membership, Placer placer) {
        this.context = context;
        this.outbox = outbox;
        this.membership = membership;
        this.placer = placer;
    }

    /** Forwards a request of a front end to the placer, or refuses it when the entry is shutting down or overloaded. */
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

    /** Drops a request whose caller disconnected. */
    void abandoned(long token) {
        Pending request = pending.remove(token);
        if (request != null) {
            abandonAtPlacer(request);
        }
    }

    /**
     * Passes the reply of the placer to the front end. A reply from an entry to which the request was not last
     * sent is ignored.
     */
    void replied(String from, long token, FrontReply reply) {
        Pending request = pending.get(token);
        if (request == null || !request.sentTo.equals(from)) {
            return;
        }
        if (reply instanceof Refused refused && refused.kind() == ErrorKind.NO_PLACER) {
            request.sentTo = "";
            request.nextDispatchAt = context.now() + RETRY_MILLISECONDS;
            return;
        }
        pending.remove(token);
        context.effects().reply(token, adjustOutcome(request, reply));
    }

    /** Sends requests again where necessary and refuses those whose deadline has passed. */
    void tick() {
        List.copyOf(pending.values()).forEach(request -> {
            if (context.now() >= request.deadline) {
                refuseWithoutPlacer(request);
            } else if (context.now() >= request.nextDispatchAt && needsDispatch(request)) {
                dispatch(request);
            }
        });
    }

    /**
     * Replaces waits by queries because the entry is shutting down: their callers get the current state and wait again
     * at another entry.
     */
    void replaceWaitsByQueries() {
        List.copyOf(pending.values()).forEach(request -> {
            if (request.request instanceof FrontRequest.WaitForJob wait) {
                abandonAtPlacer(request);
                request.request = new FrontRequest.QueryJob(wait.principal(), wait.job());
                request.sentTo = "";
                dispatch(request);
            }
        });
    }

    /** Refuses all open requests because the process ends. */
    void refuseAll() {
        List.copyOf(pending.values()).forEach(this::refuseWithoutPlacer);
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    private boolean needsDispatch(Pending request) {
        String target = target();
        if (target.isEmpty()) {
            return false;
        }
        boolean unanswered = !(request.request instanceof FrontRequest.WaitForJob)
                && context.now() - request.sentAt >= RESEND_MILLISECONDS;
        return !target.equals(request.sentTo)
                || membership.connectionGeneration(target) != request.sentGeneration
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
        FrontRequest message = request.sendCount > 0 ? asResend(request.request) : request.request;
        boolean toSelf = target.equals(context.self());
        if (toSelf && placer.role() == Placer.Role.PASSIVE
                || !toSelf && membership.linkOf(target).isEmpty()) {
            request.nextDispatchAt = context.now() + RETRY_MILLISECONDS;
            return;
        }
        request.sentTo = target;
        request.sentGeneration = membership.connectionGeneration(target);
        request.sentAt = context.now();
        request.sendCount++;
        if (toSelf) {
            placer.handleRequest(new Requester(target, request.token), message);
        } else {
            outbox.toEntry(target, new EntryMessage.ForwardedRequest(request.token, message));
        }
    }

    /**
     * Returns this entry while it is the active placer, otherwise the entry that ranks first; empty if there is none.
     */
    private String target() {
        if (placer.role() == Placer.Role.ACTIVE) {
            return context.self();
        }
        return membership.ranking().stream().findFirst().orElse("");
    }

    private void abandonAtPlacer(Pending request) {
        if (request.sentTo.equals(context.self())) {
            placer.discardRequests(new Requester(context.self(), request.token));
        } else if (!request.sentTo.isEmpty()) {
            outbox.toEntry(request.sentTo, new EntryMessage.ForwardedRequestAbandoned(request.token));
        }
    }

    private void refuseWithoutPlacer(Pending request) {
        pending.remove(request.token);
        abandonAtPlacer(request);
        ErrorKind kind = ErrorKind.NO_PLACER;
        boolean neverSent = request.request instanceof FrontRequest.SubmitJob && request.sendCount == 0;
        Refused refusal = neverSent ? new Refused(kind, kind.message(), Outcome.NOT_RUN) : Refused.of(kind);
        context.effects().recordDuration("no-placer", "", context.now() - request.receivedAt);
        context.effects().reply(request.token, refusal);
    }

    /**
     * Returns the request as it is sent again, in which the request key counts as given by the caller. When the entry
     * generated the key, the first receiver may already have accepted a job under it, so the key no longer proves that
     * nothing ran.
     */
    private static FrontRequest asResend(FrontRequest request) {
        if (!(request instanceof FrontRequest.SubmitJob submit)) {
            return request;
        }
        JobSubmission original = submit.submission();
        JobSubmission resend = new JobSubmission(
                original.requestKey(),
                true,
                original.team(),
                original.template(),
                original.parameters(),
                original.deadlineMilliseconds(),
                original.repeatable(),
                original.urgent());
        return new FrontRequest.SubmitJob(submit.principal(), resend);
    }

    private static FrontReply adjustOutcome(Pending request, FrontReply reply) {
        boolean resentSubmission = request.request instanceof FrontRequest.SubmitJob && request.sendCount > 1;
        if (resentSubmission && reply instanceof Refused refused && refused.outcome() == Outcome.NOT_RUN) {
            return new Refused(refused.kind(), refused.message(), Outcome.UNKNOWN);
        }
        return reply;
    }
}
