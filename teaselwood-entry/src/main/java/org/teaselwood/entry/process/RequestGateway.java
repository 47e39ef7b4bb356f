package org.teaselwood.entry.process;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.entry.http.CoreGateway;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;

/**
 * Gateway that identifies each HTTP request by a token and returns the reply of the core on the event loop of the
 * request. Thread-safe.
 *
 * <p>The number of open requests is limited, so that waiting callers use bounded memory.
 */
final class RequestGateway implements CoreGateway {
    private static final int MAXIMUM_OPEN_REQUESTS = 16_384;

    private final Vertx vertx;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<Long, OpenCall> calls = new ConcurrentHashMap<>();
    private volatile EventSink sink;
    private volatile Readiness readiness = new Readiness(false, "starting", false);

    RequestGateway(Vertx vertx, ProcessMetrics metrics) {
        this.vertx = vertx;
        metrics.gauge("open.calls", calls, Map::size);
        metrics.gauge("ready", this, gateway -> gateway.readiness().ready() ? 1 : 0);
    }

    void start(EventSink target) {
        sink = target;
    }

    @Override
    public Call send(FrontRequest request, long timeoutMilliseconds) {
        Context context = vertx.getOrCreateContext();
        OpenCall call = new OpenCall(tokens.incrementAndGet(), context);
        if (calls.size() >= MAXIMUM_OPEN_REQUESTS) {
            call.refuse(ErrorKind.OVERLOADED, "too many open requests");
            return call;
        }
        calls.put(call.token, call);
        call.timer = vertx.setTimer(timeoutMilliseconds, ignored -> call.timedOut());
        if (!sink.offer(new EntryEvent.RequestReceived(call.token, request))) {
            calls.remove(call.token);
            call.refuse(ErrorKind.OVERLOADED, "the event queue is full");
        }
        return call;
    }

    @Override
    public Readiness readiness() {
        return readiness;
    }

    /** Sets the readiness that {@code /readyz} reports; ignored after a shutdown has started. */
    synchronized void readinessChanged(boolean ready, String reason) {
        if (!readiness.shuttingDown()) {
            readiness = new Readiness(ready, reason, false);
        }
    }

    /** Makes {@code /readyz} fail permanently, because a shutdown has started. */
    synchronized void beginShutdown() {
        readiness = new Readiness(false, "shutting down", true);
    }

    /** Completes a call with the reply of the core; ignored if the call has timed out or its caller disconnected. */
    void reply(long token, FrontReply reply) {
        OpenCall call = calls.remove(token);
        if (call != null) {
            call.complete(reply);
        }
    }

    /** Returns the number of calls to which the core has not replied. */
    int openCalls() {
        return calls.size();
    }

    /** Pending call; its promise is completed once, on the event loop of the request. */
    private final class OpenCall implements Call {
        private final long token;
        private final Context context;
        private final Promise<FrontReply> promise = Promise.promise();
        private volatile long timer = -1;

        OpenCall(long token, Context context) {
            this.token = token;
            this.context = context;
        }

        @Override
        public Future<FrontReply> reply() {
            return promise.future();
        }

        @Override
        public void abandon() {
            if (calls.remove(token) != null) {
                vertx.cancelTimer(timer);
                sink.deliver(new EntryEvent.RequestAbandoned(token));
            }
        }

        /** Completes the call with an unknown outcome, because the core may still execute the request. */
        private void timedOut() {
            if (calls.remove(token) != null) {
                sink.deliver(new EntryEvent.RequestAbandoned(token));
                promise.tryComplete(FrontReply.Refused.of(ErrorKind.NO_PLACER));
            }
        }

        private void complete(FrontReply reply) {
            vertx.cancelTimer(timer);
            context.runOnContext(ignored -> promise.tryComplete(reply));
        }

        private void refuse(ErrorKind kind, String detail) {
            vertx.cancelTimer(timer);
            promise.tryComplete(FrontReply.Refused.of(kind, detail));
        }
    }
}
