package org.teaselwood.entry.process;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.entry.http.HttpApiServer;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.store.KeyValueService;

/**
 * Entry process: the core on its duty thread, the connections, the HTTP server and the client of the key-value
 * service. Several entries can run in one Java virtual machine.
 *
 * <p>A graceful shutdown has these steps: {@code /readyz} fails; after the grace period the entry is deregistered and
 * the core drains; once the core has drained and every response is written, the HTTP server, the duty thread and the
 * connections are closed.
 */
public final class EntryProcess {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryProcess.class);
    private static final long DRAIN_LOG_INTERVAL_MILLISECONDS = 5_000;

    private final Vertx vertx;
    private final ProcessSettings settings;
    private final KeyValueService service;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final RequestGateway gateway;
    private final EntryLinks links;
    private final HttpApiServer httpServer;
    private final Promise<Void> drained = Promise.promise();
    private EventSink sink;
    private ConfigurationWatch watch;
    private EntryRegistration registration;
    private int internalPort;
    private int httpPort;
    private Future<Void> shutdownResult;

    private EntryProcess(Vertx vertx, ProcessSettings settings, KeyValueService service) {
        this.vertx = vertx;
        this.settings = settings;
        this.service = service;
        this.gateway = new RequestGateway(vertx, metrics);
        this.links = new EntryLinks(vertx, settings.internal(), metrics);
        this.httpServer = new HttpApiServer(vertx, settings.http(), gateway, metrics);
    }

    /**
     * Starts an entry; the result is the process once it serves requests.
     *
     * @param service client of the key-value service; closed by {@link #shutdown}
     */
    public static Future<EntryProcess> start(
            Vertx vertx, ProcessSettings settings, KeyValueService service, CoreFactory factory) {
        EntryProcess process = new EntryProcess(vertx, settings, service);
        return process.links
                .listen()
                .compose(process::registeredEntries)
                .map(registered -> process.startCore(registered, factory))
                .compose(started -> process.httpServer.listen())
                .map(port -> {
                    process.httpPort = port;
                    LOGGER.info(
                            "entry {} serves HTTP on {}:{} and agents on {}:{}",
                            settings.entry(),
                            settings.http().host(),
                            port,
                            settings.internal().host(),
                            process.internalPort);
                    return process;
                });
    }

    /** Returns the port of the HTTP server. */
    public int httpPort() {
        return httpPort;
    }

    /** Returns the port for agents and other entries. */
    public int internalPort() {
        return internalPort;
    }

    /** Shuts down gracefully, without aborting requests; returns the same future on every call. */
    public synchronized Future<Void> shutdown() {
        if (shutdownResult == null) {
            LOGGER.info("entry {} is shutting down", settings.entry());
            gateway.beginShutdown();
            shutdownResult = vertx.timer(Math.max(1, settings.readinessGrace().toMillis()))
                    .mapEmpty()
                    .compose(ignored -> deregister())
                    .compose(ignored -> drain())
                    .compose(ignored -> httpServer.close())
                    .compose(ignored -> close());
        }
        return shutdownResult;
    }

    /** Stops immediately, as if the process were killed: aborts requests and sends no notice to peers. */
    public void closeNow() {
        sink.close();
        watch.close();
        links.close();
    }

    private Future<List<EntryAddress>> registeredEntries(int port) {
        internalPort = port;
        return Future.fromCompletionStage(
                EntryRegistration.findRegistered(service, settings.region(), settings.storeTimeout())
                        .subscribeAsCompletionStage());
    }

    private EntryProcess startCore(List<EntryAddress> registered, CoreFactory factory) {
        EntryAddress self = new EntryAddress(
                settings.entry(), settings.dataCentre(), settings.internal().host(), internalPort);
        sink = new EventSink(vertx, "core-" + settings.entry(), MonotonicClock.system(), metrics);
        StoreCaller store = new StoreCaller(service, settings.storeTimeout(), metrics, sink);
        ProcessEffects effects = new ProcessEffects(links, gateway, store, metrics, drained::tryComplete);
        sink.start(factory.create(self, registered, effects));
        gateway.start(sink);
        links.start(sink);
        watch = new ConfigurationWatch(vertx, service, sink, metrics);
        watch.open();
        registration = new EntryRegistration(vertx, service, settings.region(), self, settings.storeTimeout(), metrics);
        registration.start();
        return this;
    }

    private Future<Void> deregister() {
        return Future.fromCompletionStage(registration.deregister().subscribeAsCompletionStage());
    }

    private Future<Void> drain() {
        sink.deliver(new EntryEvent.ShutdownRequested());
        long logTimer = vertx.setPeriodic(
                DRAIN_LOG_INTERVAL_MILLISECONDS,
                ignored -> LOGGER.info(
                        "entry {} is draining: {} requests are open", settings.entry(), httpServer.openRequests()));
        return drained.future().onComplete(ignored -> vertx.cancelTimer(logTimer));
    }

    private Future<Void> close() {
        watch.close();
        sink.close();
        service.close();
        return links.close().onComplete(ignored -> LOGGER.info("entry {} stopped", settings.entry()));
    }
}
