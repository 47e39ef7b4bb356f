package org.teaselwood.standins.worker;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.worker.TaskIdentifier;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerCodec;
import org.teaselwood.protocol.worker.WorkerReply;

/**
 * HTTP server on loopback that exposes a {@link WorkerEngine} through the worker's interface, described in
 * docs/worker-interface.md. In addition, {@code POST /faults} with the query parameters fail, slow and lose sets the
 * active faults. Thread-safe: the engine and the pending list requests are guarded by this object's monitor.
 */
public final class WorkerStandIn implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;
    private static final long TICK_INTERVAL_MILLISECONDS = 10;
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 5_000;
    private static final long USAGE_SAMPLE_INTERVAL_MILLISECONDS = 1_000;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final MonotonicClock clock = MonotonicClock.system();
    private final WorkerEngine engine = new WorkerEngine(clock.nowMilliseconds(), USAGE_SAMPLE_INTERVAL_MILLISECONDS);
    private final Vertx vertx;
    private final HttpServer server;
    private final long timer;
    private final List<PendingListRequest> pendingListRequests = new ArrayList<>();

    /** A list request that waits for a change of the version or for its deadline. */
    private record PendingListRequest(WorkerCall.ListTasks call, long deadline, HttpServerResponse response) {}

    private WorkerStandIn(Vertx vertx) {
        this.vertx = vertx;
        this.server = vertx.createHttpServer(new HttpServerOptions().setHost("127.0.0.1"));
        this.timer = vertx.setPeriodic(TICK_INTERVAL_MILLISECONDS, ignored -> tick());
        server.requestHandler(this::handle);
    }

    /** Starts a stand-in on a loopback port, 0 for any free port. */
    public static Future<WorkerStandIn> start(Vertx vertx, int port) {
        WorkerStandIn standIn = new WorkerStandIn(vertx);
        return standIn.server.listen(port).map(standIn);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.actualPort();
    }

    /** Replaces the active faults. */
    public synchronized void setFaults(WorkerFaults faults) {
        engine.setFaults(faults, clock.nowMilliseconds());
    }

    /** Simulates a restart of the worker: all tasks are lost and the incarnation changes. */
    public synchronized void loseTasks() {
        engine.loseTasks();
    }

    /** Returns the tasks in the order in which they were started, one element per start. */
    public synchronized List<TaskIdentifier> runs() {
        return engine.runs();
    }

    @Override
    public void close() {
        vertx.cancelTimer(timer);
        try {
            server.close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/faults")) {
            handleFaultsRequest(request);
            request.response().end();
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MAXIMUM_BODY_BYTES) {
                request.connection().close();
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ignored -> handleCall(request, body.getBytes()));
    }

    private void handleFaultsRequest(HttpServerRequest request) {
        String slow = request.getParam("slow", "1");
        setFaults(new WorkerFaults(
                Boolean.parseBoolean(request.getParam("fail", "false")),
                slow.matches("[0-9]{1,4}(\\.[0-9]{1,3})?") ? Math.max(0.001, Double.parseDouble(slow)) : 1.0));
        if (Boolean.parseBoolean(request.getParam("lose", "false"))) {
            loseTasks();
        }
    }

    private synchronized void handleCall(HttpServerRequest request, byte[] body) {
        HttpServerResponse response = request.response();
        try {
            WorkerCall call = WorkerCodec.decodeCall(body);
            if (!call.path().equals(request.path())) {
                respond(
                        response,
                        BAD_REQUEST,
                        new WorkerReply.Refused(
                                WorkerReply.Reason.INVALID, "the body encodes a call to " + call.path()));
                return;
            }
            long now = clock.nowMilliseconds();
            engine.advance(now);
            if (call instanceof WorkerCall.ListTasks listing
                    && listing.waitMilliseconds() > 0
                    && listing.knownVersion() == engine.version()) {
                pendingListRequests.add(new PendingListRequest(listing, now + listing.waitMilliseconds(), response));
                return;
            }
            WorkerReply reply = engine.handle(call, now);
            respond(response, reply instanceof WorkerReply.Refused ? CONFLICT : OK, reply);
        } catch (TeaselwoodException exception) {
            respond(response, BAD_REQUEST, new WorkerReply.Refused(WorkerReply.Reason.INVALID, exception.getMessage()));
        }
    }

    private synchronized void tick() {
        long now = clock.nowMilliseconds();
        engine.advance(now);
        List<PendingListRequest> due = pendingListRequests.stream()
                .filter(listing -> now >= listing.deadline()
                        || listing.call().knownVersion() != engine.version()
                        || listing.response().closed())
                .toList();
        pendingListRequests.removeAll(due);
        due.stream()
                .filter(listing -> !listing.response().closed())
                .forEach(listing -> respond(listing.response(), OK, engine.handle(listing.call(), now)));
    }

    private static void respond(HttpServerResponse response, int status, WorkerReply reply) {
        response.setStatusCode(status)
                .putHeader("content-type", "application/msgpack")
                .end(Buffer.buffer(WorkerCodec.encode(reply)));
    }
}
