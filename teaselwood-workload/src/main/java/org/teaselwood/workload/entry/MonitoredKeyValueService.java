package org.teaselwood.workload.entry;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;
import org.teaselwood.store.TransactionResult;

/**
 * Key-value service that tracks the availability of the service it delegates to. Thread-safe.
 *
 * <p>An entry that detects an outage of the service refuses requests at once, because another entry may reach it. The
 * calls that follow the election and the configuration continue during an outage and detect its end.
 */
public final class MonitoredKeyValueService implements KeyValueService {
    private static final Logger LOGGER = LoggerFactory.getLogger(MonitoredKeyValueService.class);

    /** Time without a successful call after which failures count as an outage; longer than a single slow response. */
    private static final long OUTAGE_THRESHOLD_MILLISECONDS = 1_000;

    private final KeyValueService service;
    private final MonotonicClock clock;
    private volatile long lastSuccessAt;
    private volatile boolean lastCallFailed;
    private volatile boolean outageLogged;

    /** Creates a monitor of a service, which counts as available until calls have failed for the outage threshold. */
    public MonitoredKeyValueService(KeyValueService service, MonotonicClock clock) {
        this.service = service;
        this.clock = clock;
        this.lastSuccessAt = clock.nowMilliseconds();
    }

    /** Returns the time since the last successful call in milliseconds; 0 while there is no outage. */
    public long outageMilliseconds() {
        long sinceLastSuccess = clock.nowMilliseconds() - lastSuccessAt;
        return lastCallFailed && sinceLastSuccess > OUTAGE_THRESHOLD_MILLISECONDS ? sinceLastSuccess : 0;
    }

    @Override
    public Uni<Optional<KeyValue>> get(String key) {
        return observe(service.get(key));
    }

    @Override
    public Uni<List<KeyValue>> list(String prefix) {
        return observe(service.list(prefix));
    }

    @Override
    public Uni<TransactionResult> transact(KeyValueTransaction transaction) {
        return observe(service.transact(transaction));
    }

    @Override
    public Uni<Long> grantLease(long seconds) {
        return observe(service.grantLease(seconds));
    }

    @Override
    public Uni<Void> renewLease(long lease) {
        return service.renewLease(lease);
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        return service.watch(prefix, listener);
    }

    @Override
    public void close() {
        service.close();
    }

    private <T> Uni<T> observe(Uni<T> call) {
        return call.onItem().invoke(item -> callSucceeded()).onFailure().invoke(this::callFailed);
    }

    private void callSucceeded() {
        if (outageLogged) {
            outageLogged = false;
            LOGGER.info(
                    "the key-value service is available again after {} ms", clock.nowMilliseconds() - lastSuccessAt);
        }
        lastCallFailed = false;
        lastSuccessAt = clock.nowMilliseconds();
    }

    private void callFailed(Throwable cause) {
        lastCallFailed = true;
        if (!outageLogged && outageMilliseconds() > 0) {
            outageLogged = true;
            LOGGER.warn("the key-value service is unavailable: {}", cause.getMessage());
        }
    }
}
