package org.teaselwood.agent;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerCodec;
import org.teaselwood.protocol.worker.WorkerReply;

/**
 * HTTP client for the worker. Every failure is returned as {@link WorkerReply.Unavailable}, which the core treats as an
 * unknown outcome: the worker may have carried out the call. Thread-safe.
 */
final class WorkerClient {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final long REPLY_TIMEOUT_MILLISECONDS = 5_000;
    private static final int MAXIMUM_CONNECTIONS = 4;
    private static final int MAXIMUM_QUEUED_CALLS = 1_024;
    private static final int MAXIMUM_REPLY_BYTES = 2 * 1024 * 1024;

    private final HttpClient client;
    private final String host;
    private final int port;

    WorkerClient(Vertx vertx, String host, int port) {
        this.host = host;
        this.port = port;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS),
                new PoolOptions()
                        .setHttp1MaxSize(MAXIMUM_CONNECTIONS)
                        .setMaxWaitQueueSize(MAXIMUM_QUEUED_CALLS)
                        .setEventLoopSize(1));
    }

    /** Sends a call. The consumer receives exactly one reply, on an event loop. */
    void call(WorkerCall call, Consumer<WorkerReply> consumer) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(host)
                .setPort(port)
                .setURI(call.path())
                .setTimeout(REPLY_TIMEOUT_MILLISECONDS + listWaitMilliseconds(call));
        client.request(options)
                .compose(request -> request.send(Buffer.buffer(WorkerCodec.encode(call))))
                .compose(WorkerClient::readBody)
                .map(body -> WorkerCodec.decodeReply(body.getBytes()))
                .otherwise(failure -> new WorkerReply.Unavailable(String.valueOf(failure.getMessage())))
                .onSuccess(consumer::accept);
    }

    private static long listWaitMilliseconds(WorkerCall call) {
        return call instanceof WorkerCall.ListTasks listing ? listing.waitMilliseconds() : 0;
    }

    /** Returns the initial capacity of the body buffer, so that a large answer is not copied while the buffer grows. */
    private static int initialCapacity(HttpClientResponse response) {
        String length = response.getHeader(HttpHeaders.CONTENT_LENGTH);
        return length != null && length.matches("[0-9]{1,7}")
                ? Math.min(MAXIMUM_REPLY_BYTES, Integer.parseInt(length))
                : 0;
    }

    private static Future<Buffer> readBody(HttpClientResponse response) {
        Promise<Buffer> promise = Promise.promise();
        Buffer body = Buffer.buffer(initialCapacity(response));
        response.handler(chunk -> {
            if (body.length() + chunk.length() > MAXIMUM_REPLY_BYTES) {
                promise.tryFail(TeaselwoodException.of(ErrorKind.BODY_TOO_LARGE, MAXIMUM_REPLY_BYTES));
                response.request().reset();
            } else {
                body.appendBuffer(chunk);
            }
        });
        response.exceptionHandler(promise::tryFail);
        response.endHandler(ignored -> promise.tryComplete(body));
        return promise.future();
    }
}
