package org.teaselwood.store.etcd;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonParser;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValueService.WatchListener;

/**
 * A watch: a request whose response is a stream of JSON objects. Thread-safe.
 *
 * <p>The listener is notified of a failure at most once. A watch that is not confirmed within the timeout has failed. A
 * confirmed watch has no idle timeout, so a lost connection may go undetected and the caller must also poll.
 */
final class EtcdWatch implements AutoCloseable {
    private static final int HTTP_OK = 200;

    private final WatchListener listener;
    private final Consumer<EtcdWatch> onEnd;
    private final Runnable onEndpointFailure;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final AtomicBoolean confirmed = new AtomicBoolean();
    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private volatile HttpClientRequest activeRequest;

    EtcdWatch(WatchListener listener, Consumer<EtcdWatch> onEnd, Runnable onEndpointFailure) {
        this.listener = listener;
        this.onEnd = onEnd;
        this.onEndpointFailure = onEndpointFailure;
        parser.handler(event -> handleMessage(event.objectValue()));
        parser.exceptionHandler(this::handleFailure);
    }

    void open(Vertx vertx, Future<HttpClientRequest> opened, JsonObject body, long timeoutMilliseconds) {
        vertx.setTimer(timeoutMilliseconds, timer -> {
            if (!confirmed.get()) {
                handleFailure(TeaselwoodException.of(
                        ErrorKind.STORE_UNAVAILABLE, "the watch was not confirmed within the timeout"));
            }
        });
        opened.compose(request -> {
                    activeRequest = request;
                    if (finished.get()) {
                        request.reset();
                    }
                    return request.putHeader("Content-Type", "application/json").send(body.toBuffer());
                })
                .onSuccess(this::readResponse)
                .onFailure(this::handleFailure);
    }

    private void readResponse(HttpClientResponse response) {
        if (response.statusCode() != HTTP_OK) {
            handleFailure(TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, "HTTP status " + response.statusCode()));
            return;
        }
        response.exceptionHandler(this::handleFailure);
        response.endHandler(ignored -> handleFailure(
                TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, "the server ended the watch stream")));
        response.handler(parser);
    }

    @Override
    public void close() {
        if (finished.compareAndSet(false, true)) {
            release();
        }
    }

    private void handleMessage(JsonObject message) {
        JsonObject result = message.getJsonObject("result");
        if (result == null || result.getBoolean("canceled", false)) {
            handleFailure(TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, "the server cancelled the watch"));
            return;
        }
        if (finished.get()) {
            return;
        }
        if (confirmed.compareAndSet(false, true)) {
            listener.onOpened();
        }
        if (result.containsKey("events")) {
            listener.onChanged(EtcdJson.changes(result), EtcdJson.revision(result));
        }
    }

    private void handleFailure(Throwable cause) {
        if (finished.compareAndSet(false, true)) {
            onEndpointFailure.run();
            release();
            listener.onFailure(EtcdKeyValueService.unavailable(cause));
        }
    }

    private void release() {
        onEnd.accept(this);
        HttpClientRequest request = activeRequest;
        if (request != null) {
            request.reset();
        }
    }
}
