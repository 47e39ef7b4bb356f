package org.teaselwood.entry.process;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.store.JsonDocuments;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueOperation;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.KeyValueTransaction;

/**
 * Registration of the address of this entry under a lease in the key-value service, where entries that start later
 * find it. Discovery does not depend on the registration, because entries also learn addresses from seeds and peers.
 * Thread-safe.
 */
final class EntryRegistration {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryRegistration.class);
    private static final long LEASE_SECONDS = 10;
    private static final long RENEWAL_INTERVAL_MILLISECONDS = 3_000;
    private static final int MAXIMUM_PORT = 65_535;
    private static final String PREFIX = "/teaselwood/entries/";

    private final Vertx vertx;
    private final KeyValueService service;
    private final String region;
    private final EntryAddress self;
    private final Duration timeout;
    private final ProcessMetrics metrics;
    /** Identifier of the lease, 0 if there is none. */
    private volatile long lease;

    private volatile boolean closed;

    EntryRegistration(
            Vertx vertx,
            KeyValueService service,
            String region,
            EntryAddress self,
            Duration timeout,
            ProcessMetrics metrics) {
        this.vertx = vertx;
        this.service = service;
        this.region = region;
        this.self = self;
        this.timeout = timeout;
        this.metrics = metrics;
    }

    /**
     * Returns the addresses of the entries that are registered in a region; empty if the service fails or does not
     * answer in time.
     */
    static Uni<List<EntryAddress>> findRegistered(KeyValueService service, String region, Duration timeout) {
        return service.list(PREFIX + region + "/")
                .ifNoItem()
                .after(timeout)
                .fail()
                .map(values ->
                        values.stream().flatMap(EntryRegistration::decode).toList())
                .onFailure()
                .recoverWithItem(List.of());
    }

    /** Registers the entry and renews the lease until {@link #deregister} is called. */
    void start() {
        if (closed) {
            return;
        }
        Uni<Void> step = lease == 0 ? register() : service.renewLease(lease);
        step.ifNoItem().after(timeout).fail().subscribe().with(ignored -> renewalCompleted(true), failure -> {
            LOGGER.debug(
                    "registering the entry or renewing its lease failed: {}", String.valueOf(failure.getMessage()));
            lease = 0;
            renewalCompleted(false);
        });
    }

    /** Stops the renewal and deletes the key. The result never fails, because the key expires with its lease anyway. */
    Uni<Void> deregister() {
        closed = true;
        KeyValueTransaction deletion = new KeyValueTransaction(List.of(), List.of(new KeyValueOperation.Delete(key())));
        return service.transact(deletion)
                .ifNoItem()
                .after(timeout)
                .fail()
                .replaceWithVoid()
                .onFailure()
                .recoverWithNull();
    }

    private void renewalCompleted(boolean succeeded) {
        metrics.recordStoreCall("Lease", succeeded);
        vertx.setTimer(RENEWAL_INTERVAL_MILLISECONDS, ignored -> start());
    }

    private Uni<Void> register() {
        byte[] value = new JsonObject()
                .put("entry", self.entry())
                .put("dataCentre", self.dataCentre())
                .put("host", self.host())
                .put("port", self.port())
                .toBuffer()
                .getBytes();
        return service.grantLease(LEASE_SECONDS).flatMap(granted -> {
            lease = granted;
            return service.transact(new KeyValueTransaction(
                            List.of(), List.of(new KeyValueOperation.Put(key(), value, granted))))
                    .replaceWithVoid();
        });
    }

    private String key() {
        return PREFIX + region + "/" + self.entry();
    }

    /** Returns a port; fails if it is out of range, because an attempt to connect would fail unexpectedly. */
    private static int port(long number) {
        if (number < 1 || number > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port " + number);
        }
        return (int) number;
    }

    /** Decodes an address; returns an empty stream if it is invalid. */
    static Stream<EntryAddress> decode(KeyValue registered) {
        try {
            JsonObject json = JsonDocuments.parse(registered.value());
            return Stream.of(new EntryAddress(
                    Objects.requireNonNull(json.getString("entry"), "entry"),
                    Objects.requireNonNull(json.getString("dataCentre"), "dataCentre"),
                    Objects.requireNonNull(json.getString("host"), "host"),
                    port(json.getLong("port"))));
        } catch (DecodeException | ClassCastException | NullPointerException | IllegalArgumentException exception) {
            LOGGER.warn("ignoring key {}: the value is not a valid entry address", registered.key());
            return Stream.empty();
        }
    }
}
