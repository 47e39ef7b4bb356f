package org.teaselwood.entry.http;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.JobReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;
import org.teaselwood.protocol.message.Principal;

/**
 * Stream of server-sent events with the progress of one job. Each {@code job} event carries the state of the job; the
 * stream ends after the final state. If the entry shuts down or can no longer serve the request, the last event is
 * {@code ask-again}, which makes the caller connect to another entry. Confined to one event loop.
 *
 * <p>The next wait starts only after the previous event was written, so that a slow reader causes at most one event to
 * be buffered.
 */
final class ProgressStream {
    private static final long WAIT_TIMEOUT_MILLISECONDS = 15_000;

    private final RequestHandlers requests;
    private final CoreGateway gateway;
    private final RoutingContext context;
    private final Principal principal;
    private final JobIdentifier job;
    private CoreGateway.Call call;
    private boolean closed;

    private ProgressStream(RequestHandlers requests, CoreGateway gateway, RoutingContext context) {
        this.requests = requests;
        this.gateway = gateway;
        this.context = context;
        this.principal = RequestHandlers.principal(context);
        this.job = RequestHandlers.job(context);
    }

    /** Queries the job and starts to stream its progress to the caller of the request. */
    static void open(RequestHandlers requests, CoreGateway gateway, RoutingContext context) {
        ProgressStream stream = new ProgressStream(requests, gateway, context);
        FrontRequest first = new FrontRequest.QueryJob(stream.principal, stream.job);
        requests.send(context, first, reply -> {
            HttpServerResponse response = context.response();
            response.closeHandler(ignored -> stream.onClosed());
            response.setChunked(true)
                    .putHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                    .putHeader(HttpHeaders.CACHE_CONTROL, "no-store");
            stream.onReply(reply, -1);
        });
    }

    private void onClosed() {
        closed = true;
        if (call != null) {
            call.abandon();
        }
    }

    private void onReply(FrontReply reply, long seenVersion) {
        if (closed) {
            return;
        }
        switch (reply) {
            case JobReply current -> write(current.job(), seenVersion);
            case Refused refused -> end("ask-again", refused.message());
            default -> end("ask-again", "unexpected reply");
        }
    }

    private void write(JobView view, long seenVersion) {
        if (view.state().isFinal()) {
            end("job", JobJson.of(view).encode());
            return;
        }
        String text = view.version() == seenVersion
                ? ": unchanged\n\n"
                : event("job", JobJson.of(view).encode());
        context.response().write(text).onSuccess(ignored -> awaitChange(view));
    }

    private void awaitChange(JobView view) {
        if (closed) {
            return;
        }
        if (gateway.readiness().shuttingDown()) {
            end("ask-again", "The entry is shutting down; use another one");
            return;
        }
        FrontRequest request =
                new FrontRequest.WaitForJob(principal, job, view.version(), false, WAIT_TIMEOUT_MILLISECONDS);
        call = gateway.send(request, WAIT_TIMEOUT_MILLISECONDS + requests.timeoutMilliseconds());
        call.reply().onSuccess(reply -> onReply(reply, view.version()));
    }

    private void end(String name, String data) {
        closed = true;
        context.response().end(event(name, data));
    }

    private static String event(String name, String data) {
        return "event: " + name + "\ndata: " + data.replace("\n", " ") + "\n\n";
    }
}
