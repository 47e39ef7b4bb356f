package org.teaselwood.standins.keyvalue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaselwood.store.etcd.CallCounter;
import org.teaselwood.store.etcd.CallKind;

/**
 * Key-value service over HTTP on loopback. Implements the part of etcd's v3 JSON gateway that the project's client
 * uses. Thread-safe: the state is confined to one event loop.
 */
public final class KeyValueStandIn implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long LEASE_CHECK_INTERVAL_MILLISECONDS = 50;
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final Context context;
    private final HttpServer server;
    private final KeyValueState state = new KeyValueState();
    private final Set<HttpServerRequest> openWatches = new LinkedHashSet<>();
    private final CallCounter calls = new CallCounter();
    private volatile KeyValueFaults faults = KeyValueFaults.NONE;
    private volatile long timer = -1;

    /** Creates a stand-in that does not listen yet. */
    public KeyValueStandIn(Vertx vertx) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.server = vertx.createHttpServer().requestHandler(this::handle);
    }

    /** Listens on a loopback port, 0 for any free port, and returns the bound address. */
    public Future<SocketAddress> listen(int port) {
        Promise<SocketAddress> listening = Promise.promise();
        context.runOnContext(ignored -> {
            timer = vertx.setPeriodic(LEASE_CHECK_INTERVAL_MILLISECONDS, tick -> state.expireLeases(now()));
            server.listen(port, LOOPBACK)
                    .map(bound -> SocketAddress.inetSocketAddress(bound.actualPort(), LOOPBACK))
                    .onComplete(listening);
        });
        return listening.future();
    }

    /**
     * Replaces the active faults; disconnects open watches if the service goes down. The future completes once the
     * faults are active.
     */
    public Future<Void> setFaults(KeyValueFaults newFaults) {
        Promise<Void> done = Promise.promise();
        faults = newFaults;
        context.runOnContext(ignored -> {
            if (newFaults.down()) {
                List.copyOf(openWatches).forEach(request -> request.connection().close());
            }
            done.complete();
        });
        return done.future();
    }

    /** Returns the number of calls received so far by kind. */
    public Map<CallKind, Long> callCounts() {
        return calls.counts();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        vertx.cancelTimer(timer);
        server.close();
    }

    private void handle(HttpServerRequest request) {
        Optional<CallKind> kind = Arrays.stream(CallKind.values())
                .filter(candidate -> candidate.path().equals(request.path()))
                .findFirst();
        if (kind.isEmpty()) {
            respondError(request, NOT_FOUND, "unknown path");
            return;
        }
        calls.add(kind.get());
        request.body().onSuccess(body -> {
            long delay = faults.delayMilliseconds();
            if (delay > 0) {
                vertx.setTimer(delay, tick -> handleCall(kind.get(), request, body));
            } else {
                handleCall(kind.get(), request, body);
            }
        });
    }

    private void handleCall(CallKind kind, HttpServerRequest request, Buffer body) {
        KeyValueFaults activeFaults = faults;
        if (activeFaults.down()) {
            request.connection().close();
            return;
        }
        if (activeFaults.errorResponses()) {
            respondError(request, SERVICE_UNAVAILABLE, "etcdserver: request timed out");
            return;
        }
        state.expireLeases(now());
        try {
            JsonObject json = body.toJsonObject();
            if (kind == CallKind.WATCH) {
                openWatch(request, json);
                return;
            }
            JsonObject response = execute(kind, json);
            if (activeFaults.responseLost()) {
                request.connection().close();
            } else {
                respond(request, response);
            }
        } catch (RuntimeException exception) {
            respondError(request, BAD_REQUEST, String.valueOf(exception.getMessage()));
        }
    }

    private JsonObject execute(CallKind kind, JsonObject request) {
        return switch (kind) {
            case RANGE -> GatewayJson.rangeResponse(state.range(GatewayJson.range(request)), state.revision());
            case TRANSACTION -> GatewayJson.transactionResponse(state.transact(GatewayJson.transaction(request)));
            case LEASE_GRANT -> grantLease(GatewayJson.longField(request, "TTL"));
            case LEASE_KEEP_ALIVE -> keepAlive(GatewayJson.longField(request, "ID"));
            case WATCH -> throw new IllegalStateException("watch requests are handled by openWatch");
        };
    }

    private JsonObject grantLease(long seconds) {
        long lease = state.grantLease(seconds, now());
        return GatewayJson.withHeader(state.revision())
                .put("ID", String.valueOf(lease))
                .put("TTL", String.valueOf(seconds));
    }

    private JsonObject keepAlive(long lease) {
        JsonObject result = GatewayJson.withHeader(state.revision()).put("ID", String.valueOf(lease));
        state.renewLease(lease, now()).ifPresent(seconds -> result.put("TTL", String.valueOf(seconds)));
        return new JsonObject().put("result", result);
    }

    private void openWatch(HttpServerRequest request, JsonObject json) {
        KeyRange range = GatewayJson.range(json.getJsonObject("create_request"));
        HttpServerResponse response = request.response().setChunked(true);
        response.putHeader("Content-Type", "application/json");
        Runnable unregister = state.watch(
                range, (changes, revision) -> writeLine(response, GatewayJson.watchEvents(changes, revision)));
        openWatches.add(request);
        response.closeHandler(ignored -> {
            unregister.run();
            openWatches.remove(request);
        });
        JsonObject created = GatewayJson.withHeader(state.revision()).put("created", true);
        writeLine(response, new JsonObject().put("result", created));
    }

    private static void writeLine(HttpServerResponse response, JsonObject message) {
        response.write(message.encode() + "\n");
    }

    private static void respond(HttpServerRequest request, JsonObject response) {
        request.response().putHeader("Content-Type", "application/json").end(response.toBuffer());
    }

    private static void respondError(HttpServerRequest request, int status, String message) {
        JsonObject error = new JsonObject().put("error", message).put("message", message);
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(error.toBuffer());
    }

    private static long now() {
        return System.nanoTime() / NANOSECONDS_PER_MILLISECOND;
    }
}
