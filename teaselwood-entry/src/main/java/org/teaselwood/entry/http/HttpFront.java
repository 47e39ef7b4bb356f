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
 * The HTTP server of an entry. Every route authenticates before it reads a body; every refusal is a problem document.
 *
 * <p>From the begin of a shutdown, responses carry {@code Connection: close}, so that callers with connections that
 * are kept alive go to another entry and no request arrives on a connection that is about to be closed.
 */
public final class HttpFront {
    private static final int SUBMIT_BODY_LIMIT_BYTES = 64 * 1024;
    private static final long QUIET_MILLISECONDS = 500;
    private static final long QUIET_LIMIT_MILLISECONDS = 5_000;
    private static final long POLL_MILLISECONDS = 20;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;

    private final Vertx vertx;
    private final HttpSettings settings;
    private final CoreGateway gateway;
    private final ProcessMetrics metrics;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile long lastRequestNanoseconds = System.nanoTime();
    private HttpServer server;

    /** A front that is not yet listening. */
    public HttpFront(Vertx vertx, HttpSettings settings, CoreGateway gateway, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.gateway = gateway;
        this.metrics = metrics;
        metrics.gauge("open.requests", openRequests, AtomicInteger::get);
    }

    /** Starts to listen. */
    public Future<Integer> listen() {
        return vertx.createHttpServer(settings.options())
                .requestHandler(router())
                .invalidRequestHandler(Problems::malformed)
                .listen()
                .map(listening -> {
                    server = listening;
                    return listening.actualPort();
                });
    }

    /** Requests whose response has not been written whole. */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Stops listening when every response is written and no request has arrived for half a second, or at the latest
     * 5 s after the last response. The library closes new connections unanswered once it stops listening, so the front
     * keeps answering until the callers have gone to other entries.
     */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : quiet(0).compose(ignored -> server.close());
    }

    private Future<Void> quiet(long waitedMilliseconds) {
        long sinceLast = (System.nanoTime() - lastRequestNanoseconds) / 1_000_000;
        boolean idle = openRequests.get() == 0;
        if (idle && (sinceLast >= QUIET_MILLISECONDS || waitedMilliseconds >= QUIET_LIMIT_MILLISECONDS)) {
            return Future.succeededFuture();
        }
        return vertx.timer(POLL_MILLISECONDS)
                .compose(ignored -> quiet(idle ? waitedMilliseconds + POLL_MILLISECONDS : waitedMilliseconds));
    }

    private Router router() {
        Problems problems = new Problems();
        RequestHandlers requests = new RequestHandlers(gateway, problems, settings);
        Router router = Router.router(vertx);
        router.route().handler(this::track);
        addProbes(router, requests);
        addJobRoutes(router, requests);
        addOperatorRoutes(router, requests);
        router.route().failureHandler(problems::failed);
        IntStream.of(STATUS_NOT_FOUND, STATUS_METHOD_NOT_ALLOWED)
                .forEach(status -> router.errorHandler(status, problems::failed));
        router.errorHandler(500, problems::failed);
        return router;
    }

    private void addProbes(Router router, RequestHandlers requests) {
        OperatorHandlers handlers = new OperatorHandlers(requests, gateway, metrics);
        add(router.get("/healthz"), "health", handlers::health);
        add(router.get("/readyz"), "ready", handlers::ready);
        add(router.get("/metrics").handler(requests::authenticateOperator), "metrics", handlers::metrics);
        add(router.get("/status").handler(requests::authenticateOperator), "status", handlers::statusPage);
    }

    private void addJobRoutes(Router router, RequestHandlers requests) {
        JobHandlers handlers = new JobHandlers(requests);
        router.route("/v1/jobs*").handler(requests::authenticate);
        add(
                router.post("/v1/jobs").handler(body(Math.min(SUBMIT_BODY_LIMIT_BYTES, settings.bodyLimitBytes()))),
                "submit",
                handlers::submit);
        add(router.get("/v1/jobs/:job"), "query", handlers::query);
        add(router.get("/v1/jobs/:job/wait"), "wait", handlers::waitFor);
        add(
                router.get("/v1/jobs/:job/progress"),
                "progress",
                context -> ProgressStream.open(requests, gateway, context));
        add(router.get("/v1/jobs/:job/answer"), "answer", handlers::answer);
        add(router.post("/v1/jobs/:job/cancel"), "cancel", handlers::cancel);
        add(router.get("/v1/jobs/:job/explain"), "explain", handlers::explain);
    }

    private void addOperatorRoutes(Router router, RequestHandlers requests) {
        OperatorHandlers handlers = new OperatorHandlers(requests, gateway, metrics);
        router.route("/v1/region").handler(requests::authenticateOperator);
        router.route("/v1/configuration").handler(requests::authenticateOperator);
        add(router.get("/v1/region"), "region", handlers::region);
        add(router.get("/v1/configuration"), "configuration", handlers::configuration);
        add(
                router.post("/v1/configuration").handler(body(settings.bodyLimitBytes())),
                "change",
                handlers::changeConfiguration);
    }

    private static Handler<RoutingContext> body(int limitBytes) {
        BodyHandler handler = BodyHandler.create(false).setBodyLimit(limitBytes);
        return context -> {
            context.put(Problems.BODY_LIMIT, limitBytes);
            handler.handle(context);
        };
    }

    private static void add(Route route, String requestClass, Handler<RoutingContext> handler) {
        route.handler(context -> {
            context.put("class", requestClass);
            handler.handle(context);
        });
    }

    private void track(RoutingContext context) {
        openRequests.incrementAndGet();
        long begin = System.nanoTime();
        lastRequestNanoseconds = begin;
        context.addHeadersEndHandler(ignored -> {
            if (gateway.readiness().leaving()) {
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
                    System.nanoTime() - begin);
        });
        context.next();
    }
}
