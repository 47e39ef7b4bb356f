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

/**
 * Functions that all handlers share: authentication, request parameters, requests to the core and JSON responses.
 * Immutable and thread-safe.
 */
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

    /** Authenticates the caller before the body is read, so that unauthenticated requests buffer no body. */
    void authenticate(RoutingContext context) {
        context.put(PRINCIPAL, tokens.principalOf(context.request().getHeader(HttpHeaders.AUTHORIZATION)));
        context.next();
    }

    /** Authenticates like {@link #authenticate}, but admits only operators. */
    void authenticateOperator(RoutingContext context) {
        Principal principal = tokens.principalOf(context.request().getHeader(HttpHeaders.AUTHORIZATION));
        if (!principal.operator()) {
            throw TeaselwoodException.of(ErrorKind.FORBIDDEN, "an operator token is required");
        }
        context.put(PRINCIPAL, principal);
        context.next();
    }

    /** Returns the authenticated caller of the request. */
    static Principal principal(RoutingContext context) {
        return context.get(PRINCIPAL);
    }

    /** Returns the value of the team label in metrics; it depends only on the token, so its values are bounded. */
    static String metricsTeam(RoutingContext context) {
        Principal principal = context.get(PRINCIPAL);
        if (principal == null) {
            return "none";
        }
        return principal.operator() ? "operator" : principal.team();
    }

    /** Returns the job identifier of the path. */
    static JobIdentifier job(RoutingContext context) {
        String value = context.pathParam("job");
        if (value.length() > MAXIMUM_IDENTIFIER_CHARACTERS) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "the job identifier is too long");
        }
        return new JobIdentifier(value);
    }

    /** Returns a whole number of the query, or the default value if the parameter is missing. */
    static long queryNumber(RoutingContext context, String name, long defaultValue, long minimum, long maximum) {
        String text = context.request().getParam(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException exception) {
            // Handled below like a number out of range.
        }
        throw TeaselwoodException.of(
                ErrorKind.BAD_REQUEST, name + " must be a whole number from " + minimum + " to " + maximum);
    }

    /** Sends a request to the core with the default timeout. */
    void send(RoutingContext context, FrontRequest request, Consumer<FrontReply> handler) {
        send(context, request, timeoutMilliseconds, handler);
    }

    /** Sends a request to the core; answers refusals itself and passes other replies to the handler. */
    void send(RoutingContext context, FrontRequest request, long timeout, Consumer<FrontReply> handler) {
        CoreGateway.Call call = gateway.send(request, timeout);
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

    /** Returns the timeout of a request that is not a long poll. */
    long timeoutMilliseconds() {
        return timeoutMilliseconds;
    }

    /** Answers with the problem document of a refusal. */
    void refuse(RoutingContext context, Refused refused) {
        problems.refuse(context, refused);
    }

    /** Answers with JSON that must not be cached. */
    static void json(RoutingContext context, int status, JsonObject json) {
        context.response()
                .setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .putHeader(HttpHeaders.CACHE_CONTROL, "no-store")
                .end(json.toBuffer());
    }

    /** Returns the exception for a reply of a type that does not match the request. */
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
