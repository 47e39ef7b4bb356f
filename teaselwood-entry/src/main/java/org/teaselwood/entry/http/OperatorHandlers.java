package org.teaselwood.entry.http;

import io.vertx.core.http.HttpHeaders;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Consumer;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.FrontReply.ConfigurationReply;
import org.teaselwood.protocol.message.FrontReply.RegionReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.RegionView;

/** Handlers of operator requests, the status page, health probes and metrics. Immutable and thread-safe. */
final class OperatorHandlers {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

    private final RequestHandlers requests;
    private final CoreGateway gateway;
    private final ProcessMetrics metrics;

    OperatorHandlers(RequestHandlers requests, CoreGateway gateway, ProcessMetrics metrics) {
        this.requests = requests;
        this.gateway = gateway;
        this.metrics = metrics;
    }

    void region(RoutingContext context) {
        withRegion(context, region -> RequestHandlers.json(context, STATUS_OK, RegionJson.of(region)));
    }

    void statusPage(RoutingContext context) {
        withRegion(
                context,
                region -> context.response()
                        .putHeader(HttpHeaders.CONTENT_TYPE, "text/html; charset=utf-8")
                        .putHeader(HttpHeaders.CACHE_CONTROL, "no-store")
                        .putHeader("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
                        .end(StatusPage.of(region)));
    }

    void configuration(RoutingContext context) {
        answerConfiguration(context, new FrontRequest.QueryConfiguration(RequestHandlers.principal(context)));
    }

    void changeConfiguration(RoutingContext context) {
        ConfigurationChange change =
                ConfigurationJson.changeOf(JsonFields.of(context.body().buffer()));
        answerConfiguration(
                context,
                new FrontRequest.ChangeConfiguration(RequestHandlers.principal(context), change, dryRun(context)));
    }

    /** Answers the liveness probe; the response shows that the event loop of the process makes progress. */
    void health(RoutingContext context) {
        context.response().putHeader(HttpHeaders.CONTENT_TYPE, PLAIN_TEXT).end("ok\n");
    }

    void ready(RoutingContext context) {
        CoreGateway.Readiness readiness = gateway.readiness();
        context.response()
                .setStatusCode(readiness.ready() ? STATUS_OK : STATUS_UNAVAILABLE)
                .putHeader(HttpHeaders.CONTENT_TYPE, PLAIN_TEXT)
                .end((readiness.ready() ? "ready" : readiness.reason()) + "\n");
    }

    /** Answers with all metrics, rendered on a worker thread because rendering may take milliseconds. */
    void metrics(RoutingContext context) {
        context.vertx()
                .executeBlocking(metrics::scrape)
                .onSuccess(text -> context.response()
                        .putHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
                        .end(text))
                .onFailure(context::fail);
    }

    private void withRegion(RoutingContext context, Consumer<RegionView> handler) {
        requests.send(context, new FrontRequest.QueryRegion(RequestHandlers.principal(context)), reply -> {
            if (!(reply instanceof RegionReply region)) {
                throw RequestHandlers.unexpected(reply);
            }
            handler.accept(region.region());
        });
    }

    private void answerConfiguration(RoutingContext context, FrontRequest request) {
        requests.send(context, request, reply -> {
            if (!(reply instanceof ConfigurationReply configuration)) {
                throw RequestHandlers.unexpected(reply);
            }
            RequestHandlers.json(context, STATUS_OK, ConfigurationJson.of(configuration.configuration()));
        });
    }

    private static boolean dryRun(RoutingContext context) {
        String text = context.request().getParam("dryRun", "false");
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "dryRun must be true or false");
        };
    }
}
