package org.teaselwood.store.etcd;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/**
 * Client of the key-value service that uses etcd's v3 JSON gateway. Thread-safe.
 *
 * <p>All calls use one preferred endpoint; after a failure the next endpoint becomes the preferred one. A read is tried
 * up to once per endpoint. Transactions, lease grants and lease renewals are not retried: a transaction that was
 * applied but whose response was lost would fail its own conditions on a retry, so the caller must read the keys to
 * determine the outcome.
 */
public final class EtcdKeyValueService implements KeyValueService {
    /** Maximum length of the part of an error response that is included in a message. */
    private static final int MAXIMUM_ERROR_DETAIL_CHARACTERS = 200;

    private static final int MAXIMUM_CONNECTIONS = 16;
    private static final int HTTP_OK = 200;

    private final EtcdOptions options;
    private final HttpClient httpClient;
    private final WebClient webClient;
    private final CallCounter calls = new CallCounter();
    private final AtomicInteger preferredEndpoint = new AtomicInteger();
    private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();
    private final Vertx vertx;
    private volatile boolean closed;

    /** Creates a client whose connections use the event loops of the given Vert.x instance. */
    public EtcdKeyValueService(Vertx vertx, EtcdOptions options) {
        this.vertx = vertx;
        this.options = options;
        this.httpClient = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) options.timeoutMilliseconds()),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
        this.webClient = WebClient.wrap(
                httpClient, new WebClientOptions().setFollowRedirects(false).setUserAgentEnabled(false));
    }

    @Override
    public Uni<Optional<KeyValue>> get(String key) {
        return read(EtcdJson.rangeOfKey(key), EtcdJson::pairs)
                .map(pairs -> pairs.stream().findFirst());
    }

    @Override
    public Uni<List<KeyValue>> list(String prefix) {
        return read(EtcdJson.rangeOfPrefix(prefix), EtcdJson::pairs);
    }

    @Override
    public Uni<TransactionResult> transact(KeyValueTransaction transaction) {
        return call(CallKind.TRANSACTION, EtcdJson.transaction(transaction), EtcdJson::transactionResult);
    }

    @Override
    public Uni<Long> grantLease(long seconds) {
        return call(CallKind.LEASE_GRANT, EtcdJson.leaseGrant(seconds), response -> {
            long lease = EtcdJson.number(response, "ID");
            if (lease == 0) {
                throw EtcdJson.malformed("the lease identifier is missing");
            }
            return lease;
        });
    }

    @Override
    public Uni<Void> renewLease(long lease) {
        return call(CallKind.LEASE_KEEP_ALIVE, EtcdJson.leaseKeepAlive(lease), response -> {
                    JsonObject result = response.getJsonObject("result", new JsonObject());
                    if (EtcdJson.number(result, "TTL") <= 0) {
                        throw TeaselwoodException.of(ErrorKind.STORE_UNAVAILABLE, "lease " + lease + " has expired");
                    }
                    return result;
                })
                .replaceWithVoid();
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        calls.add(CallKind.WATCH);
        int endpoint = preferredEndpoint.get();
        EtcdWatch watch = new EtcdWatch(listener, watches::remove, () -> endpointFailed(endpoint));
        watches.add(watch);
        watch.open(
                vertx,
                httpClient.request(requestOptions(CallKind.WATCH)
                        .setMethod(HttpMethod.POST)
                        .setServer(addressOf(endpoint))),
                EtcdJson.watchOfPrefix(prefix),
                options.timeoutMilliseconds());
        return watch;
    }

    /** Returns the number of calls so far by kind; every attempt at an endpoint is counted. */
    public Map<CallKind, Long> callCounts() {
        return calls.counts();
    }

    @Override
    public void close() {
        closed = true;
        List.copyOf(watches).forEach(EtcdWatch::close);
        webClient.close();
        httpClient.close();
    }

    private <T> Uni<T> read(JsonObject request, Function<JsonObject, T> decoder) {
        Uni<T> attempt = call(CallKind.RANGE, request, decoder);
        int retries = options.endpoints().size() - 1;
        return retries == 0 ? attempt : attempt.onFailure().retry().atMost(retries);
    }

    private <T> Uni<T> call(CallKind kind, JsonObject request, Function<JsonObject, T> decoder) {
        return Uni.createFrom().deferred(() -> {
            int endpoint = preferredEndpoint.get();
            return VertxUni.from(() -> send(kind, endpoint, request))
                    .map(response -> decoder.apply(decode(response)))
                    .onFailure()
                    .invoke(() -> endpointFailed(endpoint))
                    .onFailure()
                    .transform(EtcdKeyValueService::unavailable);
        });
    }

    private Future<HttpResponse<Buffer>> send(CallKind kind, int endpoint, JsonObject request) {
        if (closed) {
            return Future.failedFuture("the client is closed");
        }
        calls.add(kind);
        return webClient
                .request(HttpMethod.POST, addressOf(endpoint), requestOptions(kind))
                .idleTimeout(options.timeoutMilliseconds())
                .sendJsonObject(request)
                .timeout(options.timeoutMilliseconds(), TimeUnit.MILLISECONDS);
    }

    private SocketAddress addressOf(int endpoint) {
        return options.endpoints()
                .get(Math.floorMod(endpoint, options.endpoints().size()));
    }

    private static RequestOptions requestOptions(CallKind kind) {
        return new RequestOptions().setURI(kind.path()).setHost("key-value");
    }

    /**
     * Makes the next endpoint the preferred one. If several calls fail at the same endpoint, only the first failure has
     * an effect.
     */
    private void endpointFailed(int endpoint) {
        preferredEndpoint.compareAndSet(endpoint, endpoint + 1);
    }

    private static JsonObject decode(HttpResponse<Buffer> response) {
        if (response.statusCode() != HTTP_OK) {
            throw TeaselwoodException.of(
                    ErrorKind.STORE_UNAVAILABLE,
                    "HTTP status " + response.statusCode() + " " + truncated(response.bodyAsString()));
        }
        JsonObject body = response.bodyAsJsonObject();
        if (body == null) {
            throw EtcdJson.malformed("the body is empty");
        }
        return body;
    }

    static TeaselwoodException unavailable(Throwable failure) {
        if (failure instanceof TeaselwoodException exception && exception.kind() == ErrorKind.STORE_UNAVAILABLE) {
            return exception;
        }
        return TeaselwoodException.causedBy(
                failure, ErrorKind.STORE_UNAVAILABLE, truncated(String.valueOf(failure.getMessage())));
    }

    private static String truncated(String text) {
        return text == null || text.length() <= MAXIMUM_ERROR_DETAIL_CHARACTERS
                ? text
                : text.substring(0, MAXIMUM_ERROR_DETAIL_CHARACTERS);
    }
}
