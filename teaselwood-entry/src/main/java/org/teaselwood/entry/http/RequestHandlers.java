package org.teaselwood.entry.http;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Consumer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Principal;

/** What all handlers share: the principal, path parameters, asking the core and writing JSON. */
final class RequestHandlers {
    private static final String PRINCIPAL = "principal";
    private static final int MAXIMUM_IDENTIFIER_CHARACTERS = 200;

    private final CoreGateway gateway;
    private final Problems problems;
    private final Tokens tokens;
    private final long timeoutMilliseconds;

    RequestHandlers(CoreGateway gateway, Problems problems, HttpSettings settings) {
        this.gateway = gateway;
        this.problems = problems;
        this.tokens = settings.tokens();
        this.timeoutMilliseconds = settings.requestTimeoutMilliseconds();
    }

    /** Authenticates before the body is read, so that a stranger costs no memory for a body. */
    void authenticate(RoutingContext context) {
        context.put(PRINCIPAL, tokens.principalOf(context.request().getHeader(HttpHeaders.AUTHORIZATION)));
        context.next();
    }

    /** Like {@link #authenticate}, for operators only. */
    void authenticateOperator(RoutingContext context) {
        Principal principal = tokens.principalOf(context.request().getHeader(HttpHeaders.AUTHORIZATION));
        if (!principal.operator()) {
            throw TeaselwoodException.of(ErrorKind.FORBIDDEN, "an operator's token is needed");
        }
        context.put(PRINCIPAL, principal);
        context.next();
    }

    /** Who makes the request. */
    static Principal principal(RoutingContext context) {
        return context.get(PRINCIPAL);
    }

    /** Name for metrics of who makes the request; comes from a token only. */
    static String metricsTeam(RoutingContext context) {
        Principal principal = context.get(PRINCIPAL);
        if (principal == null) {
            return "none";
        }
        return principal.operator() ? "operator" : principal.team();
    }

    /** The job of the path. */
    static JobIdentifier job(RoutingContext context) {
        String value = context.pathParam("job");
        if (value.length() > MAXIMUM_IDENTIFIER_CHARACTERS) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "the job identifier is too long");
        }
        return new JobIdentifier(value);
    }

    /** A whole number of the query. */
    static long queryNumber(RoutingContext context, String name, long defaultValue, long least, long most) {
        String text = context.request().getParam(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException exception) {
            // Falls through to the same refusal as a number out of range.
        }
        throw TeaselwoodException.of(
                ErrorKind.BAD_REQUEST, name + " must be a whole number from " + least + " to " + most);
    }

    /** Asks the core with the ordinary timeout. */
    void ask(RoutingContext context, FrontRequest request, Consumer<FrontReply> handler) {
        ask(context, request, timeoutMilliseconds, handler);
    }

    /** Asks the core; refusals are answered here, other replies go to the handler. */
    void ask(RoutingContext context, FrontRequest request, long timeout, Consumer<FrontReply> handler) {
        CoreGateway.Call call = gateway.ask(request, timeout);
        context.response().closeHandler(ignored -> call.abandon());
        call.reply().onComplete(result -> {
            if (context.response().ended() || context.response().closed()) {
                return;
            }
            try {
                dispatch(context, result.result(), handler);
            } catch (RuntimeException exception) {
                context.fail(exception);
            }
        });
    }

    /** Longest time for a reply that does not wait. */
    long timeoutMilliseconds() {
        return timeoutMilliseconds;
    }

    /** Answers a refusal. */
    void refuse(RoutingContext context, Refused refused) {
        problems.refuse(context, refused);
    }

    /** Answers with JSON. */
    static void json(RoutingContext context, int status, JsonObject json) {
        context.response()
                .setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .putHeader(HttpHeaders.CACHE_CONTROL, "no-store")
                .end(json.toBuffer());
    }

    /** A reply of a type that does not belong to the request. */
    static TeaselwoodException unexpected(FrontReply reply) {
        return TeaselwoodException.of(
                ErrorKind.INTERNAL, "unexpected reply " + reply.getClass().getSimpleName());
    }

    private void dispatch(RoutingContext context, FrontReply reply, Consumer<FrontReply> handler) {
        if (reply instanceof Refused refused) {
            problems.refuse(context, refused);
        } else {
            handler.accept(reply);
        }
    }
}
