package org.teaselwood.agent;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.PemTrustOptions;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.agent.core.AgentCore;
import org.teaselwood.agent.core.AgentEffects;
import org.teaselwood.agent.core.AgentEvent;
import org.teaselwood.agent.core.EntryDirectory;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.settings.AgentSettings;

/**
 * Runs an agent core on its duty thread and connects it to an entry and to the worker's HTTP interface. Thread-safe:
 * all calls of the core are made on the duty thread.
 */
public final class AgentProcess implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(AgentProcess.class);
    private static final int RING_CAPACITY = 1_024;
    private static final long TICK_MILLISECONDS = 100;

    private final EntryConnector connector;
    private final WorkerClient workerClient;
    private final DutyThread<AgentEvent> dutyThread;
    private final CountDownLatch drained = new CountDownLatch(1);

    /** Starts the agent and connects to the first entry. */
    public AgentProcess(Vertx vertx, AgentSettings settings) {
        EntryDirectory directory = new EntryDirectory(
                settings.server().name(),
                settings.server().dataCentre(),
                settings.entries().stream()
                        .map(address -> new EntryAddress("", "", address.host(), address.port()))
                        .toList(),
                bound -> ThreadLocalRandom.current().nextLong(bound));
        SharedKey key = settings.sharedKey()
                .map(secret -> new SharedKey(secret.value()))
                .orElseGet(SharedKey::withoutSecret);
        this.connector = new EntryConnector(vertx, clientOptions(settings), key, directory, this::offer);
        this.workerClient = new WorkerClient(
                vertx, settings.worker().host(), settings.worker().port());
        AgentCore core = new AgentCore(settings.server(), UUID.randomUUID().toString(), new Effects());
        this.dutyThread = new DutyThread<>(
                "agent", RING_CAPACITY, TICK_MILLISECONDS, MonotonicClock.system(), new DutyThread.EventHandler<>() {
                    @Override
                    public void handle(AgentEvent event, long nowMilliseconds) {
                        core.handle(event, nowMilliseconds);
                    }

                    @Override
                    public void tick(long nowMilliseconds) {
                        core.handle(new AgentEvent.Tick(), nowMilliseconds);
                    }
                });
        dutyThread.offer(new AgentEvent.ProcessStarted());
        connector.connect();
    }

    /** Starts a graceful shutdown: the agent refuses new work and finishes its running tasks. */
    public void startGracefulShutdown() {
        LOGGER.info("graceful shutdown started: refusing new work, waiting for running tasks");
        while (!dutyThread.offer(new AgentEvent.ShutdownRequested())) {
            Thread.onSpinWait();
        }
    }

    /** Waits until the graceful shutdown has drained the agent; returns false on a timeout. */
    public boolean awaitDrained(long timeoutMilliseconds) throws InterruptedException {
        return drained.await(timeoutMilliseconds, TimeUnit.MILLISECONDS);
    }

    /** Stops immediately without draining. The worker stops the running tasks when their leases expire. */
    @Override
    public void close() {
        dutyThread.close();
    }

    private static NetClientOptions clientOptions(AgentSettings settings) {
        NetClientOptions options = new NetClientOptions().setTcpNoDelay(true);
        settings.tlsAuthorities()
                .ifPresent(file -> options.setSsl(true)
                        .setHostnameVerificationAlgorithm("HTTPS")
                        .setTrustOptions(new PemTrustOptions().addCertPath(file.toString())));
        return options;
    }

    private boolean offer(AgentEvent event) {
        return dutyThread.offer(event);
    }

    /** Effects of the core, called on the duty thread. */
    private final class Effects implements AgentEffects {
        @Override
        public void send(long link, AgentMessage message) {
            connector.send(link, message);
        }

        @Override
        public void closeConnection(long link) {
            connector.close(link);
        }

        @Override
        public void callWorker(long token, WorkerCall call) {
            workerClient.call(call, reply -> dutyThread.offer(new AgentEvent.WorkerReplied(token, reply)));
        }

        @Override
        public void entriesReceived(String connectedEntry, List<EntryAddress> entries) {
            connector.entriesReceived(connectedEntry, entries);
        }

        @Override
        public void connectToAnotherEntry() {
            connector.connect();
        }

        @Override
        public void drained() {
            drained.countDown();
        }

        @Override
        public void log(String message, String job) {
            if (job.isEmpty()) {
                LOGGER.info(message);
            } else {
                LOGGER.info("{}: job {}", message, job);
            }
        }
    }
}
