package org.teaselwood.bench.control;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.teaselwood.cli.CommandException;
import org.teaselwood.cli.EntryClient;

/**
 * Terminates the placer and measures, through the surviving entries, the time until its successor answers, has started
 * a job, and knows all agents and running jobs again. The probes overlap, because an entry delays its replies to
 * requests while there is no placer.
 */
final class Takeover {
    private static final long PROBE_MILLISECONDS = 100;
    private static final long TIMEOUT_MILLISECONDS = 20_000;
    private static final long WAIT_MILLISECONDS = 2_000;
    private static final long NOT_OBSERVED = Long.MAX_VALUE;

    private final ControlCluster cluster;
    private final Workload workload;
    private final AtomicLong successor = new AtomicLong(NOT_OBSERVED);
    private final AtomicLong decision = new AtomicLong(NOT_OBSERVED);
    private final AtomicLong completeView = new AtomicLong(NOT_OBSERVED);
    private String placer;
    private int running;
    private long begin;

    Takeover(ControlCluster cluster, Workload workload) {
        this.cluster = cluster;
        this.workload = workload;
    }

    /**
     * Terminates the placer, measures the takeover, and restarts the entry.
     *
     * @param name prefix of the figures
     * @param gracefully whether to use SIGTERM instead of SIGKILL
     */
    void measure(FigureRecorder figures, String name, boolean gracefully) {
        placer = region(survivorsOf("").getFirst()).getString("placer");
        running = RegionState.running(region(placer));
        Process process = cluster.entries().get(placer);
        List<String> survivors = survivorsOf(placer);
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            begin = System.nanoTime();
            if (gracefully) {
                process.destroy();
            } else {
                process.destroyForcibly();
            }
            for (int probe = 0; !isComplete(); probe++) {
                String survivor = survivors.get(probe % survivors.size());
                executor.submit(() -> probeRegion(survivor));
                executor.submit(() -> probeJob(survivor));
                ControlCluster.sleep(PROBE_MILLISECONDS);
            }
        }
        record(figures, name + ".successor-answers-ms", successor);
        record(figures, name + ".next-decision-ms", decision);
        record(figures, name + ".complete-view-ms", completeView);
        restart(figures, name, process);
    }

    private void restart(FigureRecorder figures, String name, Process process) {
        try {
            boolean ended = process.waitFor(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            figures.print(name + ".process-ended", Boolean.toString(ended));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
        cluster.startEntry(placer);
        cluster.awaitInService(TIMEOUT_MILLISECONDS / 1000);
    }

    private static void record(FigureRecorder figures, String name, AtomicLong milliseconds) {
        if (milliseconds.get() == NOT_OBSERVED) {
            figures.print(name, "not within " + TIMEOUT_MILLISECONDS);
        } else {
            figures.record(name, milliseconds.get());
        }
    }

    private boolean isComplete() {
        return elapsed() > TIMEOUT_MILLISECONDS
                || successor.get() != NOT_OBSERVED
                        && decision.get() != NOT_OBSERVED
                        && completeView.get() != NOT_OBSERVED;
    }

    private void probeRegion(String survivor) {
        try {
            JsonObject region = region(survivor);
            long now = elapsed();
            if (placer.equals(region.getString("placer"))) {
                return;
            }
            successor.accumulateAndGet(now, Math::min);
            if (RegionState.inService(region) == cluster.agents().size() && RegionState.running(region) >= running) {
                completeView.accumulateAndGet(now, Math::min);
            }
        } catch (CommandException exception) {
            // An entry without a placer refuses requests after a delay; the next probe tries again.
        }
    }

    /** Submits a job. If it starts after the successor has answered, the successor has started it. */
    private void probeJob(String survivor) {
        try (EntryClient client = cluster.client(survivor)) {
            JsonObject state = client.submit(workload.shortSubmission());
            while (!started(state) && elapsed() < TIMEOUT_MILLISECONDS) {
                state = client.waitForChange(state.getString("job"), state.getLong("version"), WAIT_MILLISECONDS);
            }
            long now = elapsed();
            if (started(state) && now >= successor.get()) {
                decision.accumulateAndGet(now, Math::min);
            }
        } catch (CommandException exception) {
            // An entry without a placer refuses requests after a delay; the next probe tries again.
        }
    }

    private static boolean started(JsonObject state) {
        return state.getBoolean("final") || "running".equals(state.getString("state"));
    }

    private JsonObject region(String entry) {
        try (EntryClient client = cluster.client(entry)) {
            return client.region();
        }
    }

    private static List<String> survivorsOf(String entry) {
        return ControlCluster.entryNames().stream()
                .filter(name -> !name.equals(entry))
                .toList();
    }

    private long elapsed() {
        return (System.nanoTime() - begin) / 1_000_000;
    }
}
