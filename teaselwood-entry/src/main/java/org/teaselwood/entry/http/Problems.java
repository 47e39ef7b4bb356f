package org.teaselwood.entry.http;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.model.ErrorAnswer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.FrontReply.Refused;

/**
 * Writes error responses as problem documents ({@code application/problem+json}, RFC 9457) with their error kind.
 * Stateless and thread-safe.
 */
final class Problems {
    static final String CONTENT_TYPE = "application/problem+json";

    /** Key under which a route stores its body limit in bytes in the routing context. */
    static final String BODY_LIMIT = "bodyLimit";

    private static final Logger LOGGER = LoggerFactory.getLogger(Problems.class);
    private static final String RETRY_SECONDS = "1";
    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_UNAUTHENTICATED = 401;

    /** Answers a request that failed with an exception of a handler or a status of the router. */
    void handleFailure(RoutingContext context) {
        Throwable failure = context.failure();
        int status = context.statusCode();
        if (failure instanceof TeaselwoodException exception) {
            refuse(context, Refused.of(exception));
        } else if (status == STATUS_TOO_LARGE) {
            refuse(context, Refused.of(ErrorKind.BODY_TOO_LARGE, context.<Object>get(BODY_LIMIT)));
        } else if (status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR) {
            refuseWithStatus(context, Refused.of(ErrorKind.BAD_REQUEST, "HTTP status " + status), status);
        } else {
            LOGGER.error("request {} {} failed", context.request().method(), context.normalizedPath(), failure);
            refuse(context, Refused.of(ErrorKind.INTERNAL, "the log of the entry has the details"));
        }
    }

    /** Answers malformed HTTP or an oversized request line or header, and closes the connection. */
    static void handleMalformedRequest(HttpServerRequest request) {
        Refused refused = Refused.of(ErrorKind.BAD_REQUEST, "malformed HTTP or oversized request line or header");
        request.response()
                .setStatusCode(STATUS_CLIENT_ERROR)
                .putHeader(HttpHeaders.CONTENT_TYPE, CONTENT_TYPE)
                .putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
                .end(documentOf(refused, STATUS_CLIENT_ERROR).toBuffer())
                .onComplete(ignored -> request.connection().close());
    }

    /** Answers with the HTTP status that belongs to the error kind. */
    void refuse(RoutingContext context, Refused refused) {
        refuseWithStatus(context, refused, ErrorAnswer.of(refused.kind()).httpStatus());
    }

    private void refuseWithStatus(RoutingContext context, Refused refused, int status) {
        HttpServerResponse response = context.response();
        if (response.ended() || response.closed()) {
            return;
        }
        if (response.headWritten()) {
            response.reset();
            return;
        }
        if (ErrorAnswer.of(refused.kind()).retryable()) {
            response.putHeader(HttpHeaders.RETRY_AFTER, RETRY_SECONDS);
        }
        if (status == STATUS_UNAUTHENTICATED) {
            response.putHeader("WWW-Authenticate", "Bearer, Basic realm=\"teaselwood\"");
        }
        response.setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, CONTENT_TYPE)
                .end(documentOf(refused, status).toBuffer());
    }

    private static JsonObject documentOf(Refused refused, int status) {
        return new JsonObject()
                .put("type", "urn:teaselwood:error:" + refused.kind().code())
                .put("title", refused.kind().code())
                .put("status", status)
                .put("detail", refused.message())
                .put("errorKind", refused.kind().code())
                .put("outcome", JobJson.code(refused.outcome()))
                .put("retryable", ErrorAnswer.of(refused.kind()).retryable());
    }
}
