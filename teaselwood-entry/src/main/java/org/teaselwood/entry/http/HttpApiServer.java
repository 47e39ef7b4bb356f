package org.teaselwood.entry.http;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Route;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.teaselwood.metrics.ProcessMetrics;

/**
 * HTTP server of an entry. Every route authenticates a request before it reads the body; every error response is a
 * problem document. Only {@link #openRequests} is thread-safe.
 *
 * <p>From the start of a shutdown, responses carry {@code Connection: close}, so that callers with keep-alive
 * connections move to another entry and no request arrives on a connection that is about to be closed.
 */
public final class HttpApiServer {
    private static final int SUBMIT_BODY_LIMIT_BYTES = 64 * 1024;
    private static final long IDLE_MILLISECONDS = 500;
    private static final long IDLE_WAIT_LIMIT_MILLISECONDS = 5_000;
    private static final long POLL_INTERVAL_MILLISECONDS = 20;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;

    private final Vertx vertx;
    private final HttpSettings settings;
    private final CoreGateway gateway;
    private final ProcessMetrics metrics;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile long lastRequestNanoseconds = System.nanoTime();
    private HttpServer server;

    /** Creates a server that is not listening yet. */
    public HttpApiServer(Vertx vertx, HttpSettings settings, CoreGateway gateway, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.gateway = gateway;
        this.metrics = metrics;
        metrics.gauge("open.requests", openRequests, AtomicInteger::get);
    }

    /** Starts to listen; the result is the port. */
    public Future<Integer> listen() {
        return vertx.createHttpServer(settings.options())
                .requestHandler(router())
                .invalidRequestHandler(Problems::handleMalformedRequest)
                .listen()
                .map(listening -> {
                    server = listening;
                    return listening.actualPort();
                });
    }

    /** Returns the number of requests whose response has not been written completely. */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Stops listening once every response is written and no request has arrived for 500 ms. While requests keep
     * arriving, the server stops after it has been seen idle for 5 s in total. Once Vert.x stops listening, it closes
     * new connections without a response, so the server keeps answering until the callers use other entries.
     */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : awaitIdle(0).compose(ignored -> server.close());
    }

    private Future<Void> awaitIdle(long waitedMilliseconds) {
        long sinceLast = (System.nanoTime() - lastRequestNanoseconds) / 1_000_000;
        boolean idle = openRequests.get() == 0;
        if (idle && (sinceLast >= IDLE_MILLISECONDS || waitedMilliseconds >= IDLE_WAIT_LIMIT_MILLISECONDS)) {
            return Future.succeededFuture();
        }
        return vertx.timer(POLL_INTERVAL_MILLISECONDS)
                .compose(ignored ->
                        awaitIdle(idle ? waitedMilliseconds + POLL_INTERVAL_MILLISECONDS : waitedMilliseconds));
    }

    private Router router() {
        Problems problems = new Problems();
        RequestHandlers requests = new RequestHandlers(gateway, problems, settings);
        Router router = Router.router(vertx);
        router.route().handler(this::track);
        addProbes(router, requests);
        addJobRoutes(router, requests);
        addOperatorRoutes(router, requests);
        router.route().failureHandler(problems::handleFailure);
        IntStream.of(STATUS_NOT_FOUND, STATUS_METHOD_NOT_ALLOWED)
                .forEach(status -> router.errorHandler(status, problems::handleFailure));
        router.errorHandler(500, problems::handleFailure);
        return router;
    }

    private void addProbes(Router router, RequestHandlers requests) {
        OperatorHandlers handlers = new OperatorHandlers(requests, gateway, metrics);
        addRoute(router.get("/healthz"), "health", handlers::health);
        addRoute(router.get("/readyz"), "ready", handlers::ready);
        addRoute(router.get("/metrics").handler(requests::authenticateOperator), "metrics", handlers::metrics);
        addRoute(router.get("/status").handler(requests::authenticateOperator), "status", handlers::statusPage);
    }

    private void addJobRoutes(Router router, RequestHandlers requests) {
        JobHandlers handlers = new JobHandlers(requests);
        router.route("/v1/jobs*").handler(requests::authenticate);
        addRoute(
                router.post("/v1/jobs")
                        .handler(bodyHandler(Math.min(SUBMIT_BODY_LIMIT_BYTES, settings.bodyLimitBytes()))),
                "submit",
                handlers::submit);
        addRoute(router.get("/v1/jobs/:job"), "query", handlers::query);
        addRoute(router.get("/v1/jobs/:job/wait"), "wait", handlers::waitFor);
        addRoute(
                router.get("/v1/jobs/:job/progress"),
                "progress",
                context -> ProgressStream.open(requests, gateway, context));
        addRoute(router.get("/v1/jobs/:job/answer"), "answer", handlers::answer);
        addRoute(router.post("/v1/jobs/:job/cancel"), "cancel", handlers::cancel);
        addRoute(router.get("/v1/jobs/:job/explain"), "explain", handlers::explain);
    }

    private void addOperatorRoutes(Router router, RequestHandlers requests) {
        OperatorHandlers handlers = new OperatorHandlers(requests, gateway, metrics);
        router.route("/v1/region").handler(requests::authenticateOperator);
        router.route("/v1/configuration").handler(requests::authenticateOperator);
        addRoute(router.get("/v1/region"), "region", handlers::region);
        addRoute(router.get("/v1/configuration"), "configuration", handlers::configuration);
        addRoute(
                router.post("/v1/configuration").handler(bodyHandler(settings.bodyLimitBytes())),
                "change",
                handlers::changeConfiguration);
    }

    private static Handler<RoutingContext> bodyHandler(int limitBytes) {
        BodyHandler handler = BodyHandler.create(false).setBodyLimit(limitBytes);
        return context -> {
            context.put(Problems.BODY_LIMIT, limitBytes);
            handler.handle(context);
        };
    }

    private static void addRoute(Route route, String requestClass, Handler<RoutingContext> handler) {
        route.handler(context -> {
            context.put("class", requestClass);
            handler.handle(context);
        });
    }

    private void track(RoutingContext context) {
        openRequests.incrementAndGet();
        long startNanoseconds = System.nanoTime();
        lastRequestNanoseconds = startNanoseconds;
        context.addHeadersEndHandler(ignored -> {
            if (gateway.readiness().shuttingDown()) {
                context.response().putHeader(HttpHeaders.CONNECTION, "close");
            }
        });
        context.addEndHandler(ignored -> {
            openRequests.decrementAndGet();
            String requestClass = context.get("class", "other");
            metrics.recordRequest(
                    RequestHandlers.metricsTeam(context),
                    requestClass,
                    context.response().getStatusCode(),
                    System.nanoTime() - startNanoseconds);
        });
        context.next();
    }
}
