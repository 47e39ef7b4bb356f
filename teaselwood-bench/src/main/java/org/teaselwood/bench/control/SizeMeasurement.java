package org.teaselwood.bench.control;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.model.Configuration;

/** Runs all measurements for one number of agents in sequence. Confined to one thread. */
final class SizeMeasurement {
    /** Excludes class loading and JIT compilation of new processes from the measurements. */
    private static final int WARM_UP_MILLISECONDS = 12_000;

    private static final int SETTLE_MILLISECONDS = 5_000;
    private static final int CHANGES = 5;
    private static final long POLL_MILLISECONDS = 20;
    private static final long TIMEOUT_MILLISECONDS = 30_000;
    private static final double JOBS_PER_SECOND = 5;
    private static final int SUSPENDED_AGENT = 1;

    private final ControlCluster cluster;
    private final Workload workload;
    private final FigureRecorder figures;
    private final int seconds;
    private final List<EntryClient> clients;

    SizeMeasurement(ControlCluster cluster, Workload workload, FigureRecorder figures, int seconds) {
        this.cluster = cluster;
        this.workload = workload;
        this.figures = figures;
        this.seconds = seconds;
        this.clients = ControlCluster.entryNames().stream().map(cluster::client).toList();
    }

    /** Runs all measurements. */
    void run() {
        workload.publish(operator(), workload.scaledTeams());
        figures.print("teams", Integer.toString(workload.scaledTeams()));
        Snapshot.take(cluster);
        ControlCluster.sleep(WARM_UP_MILLISECONDS);
        measureTeams(phase("rest"));
        Phase loaded = measureRunningTasks();
        measureJobs(loaded);
        measureUnresponsiveAgent();
        new Takeover(cluster, workload).measure(figures, "sigterm", true);
        new Takeover(cluster, workload).measure(figures, "sigkill", false);
        clients.forEach(EntryClient::close);
    }

    /** Measures the cost of the full number of teams and the propagation time of configuration changes. */
    private void measureTeams(Phase rest) {
        workload.publish(operator(), Workload.FLEET_TEAMS);
        double slowest = 0;
        double total = 0;
        for (int change = 0; change < CHANGES; change++) {
            long begin = System.nanoTime();
            Configuration accepted = workload.changeWeight(operator(), change + 2);
            figures.print("configuration.accepted-ms", Long.toString(millisecondsSince(begin)));
            long milliseconds = awaitInForceEverywhere(accepted.revision(), begin);
            slowest = Math.max(slowest, milliseconds);
            total += milliseconds;
        }
        figures.record("configuration.in-force-ms", total / CHANGES);
        figures.record("configuration.in-force-ms.highest", slowest);
        ControlCluster.sleep(SETTLE_MILLISECONDS);
        Phase teams = phase("130-teams");
        int added = Workload.FLEET_TEAMS - workload.scaledTeams();
        figures.recordPerCause(
                "placer.resident-kib.per-team", added, 1024 * (teams.placerResident() - rest.placerResident()));
        figures.recordPerCause(
                "placer.core-percent.per-team", added, placerCorePercent(teams) - placerCorePercent(rest));
        workload.publish(operator(), workload.scaledTeams());
    }

    /** Returns the time from the submission of a change until every entry reports its revision, in milliseconds. */
    private long awaitInForceEverywhere(long revision, long begin) {
        clients.forEach(client -> {
            while (client.configuration().revision() < revision && millisecondsSince(begin) < TIMEOUT_MILLISECONDS) {
                ControlCluster.sleep(POLL_MILLISECONDS);
            }
        });
        return millisecondsSince(begin);
    }

    /**
     * Measures the running tasks of the two-year size. Submits no further jobs, because the job rate of that size is
     * too low to have an effect within seconds.
     */
    private Phase measureRunningTasks() {
        int jobs = workload.submitRunning(operator());
        long begin = System.nanoTime();
        int running = 0;
        while (running < jobs && millisecondsSince(begin) < TIMEOUT_MILLISECONDS) {
            ControlCluster.sleep(10 * POLL_MILLISECONDS);
            running = RegionState.running(operator().region());
        }
        figures.print("running.jobs", running + " of " + jobs);
        figures.print("running.tasks-wanted", Integer.toString(workload.scaledTasks()));
        ControlCluster.sleep(SETTLE_MILLISECONDS);
        return phase("loaded");
    }

    private void measureJobs(Phase loaded) {
        int jobs = (int) (seconds * JOBS_PER_SECOND);
        Snapshot begin = Snapshot.take(cluster);
        Workload.ShortJobs result = workload.runShortJobs(clients, jobs, JOBS_PER_SECOND);
        Phase phase = new Phase(begin, Snapshot.take(cluster), placer());
        phase.recordTo(figures, "jobs");
        figures.print("jobs.succeeded", result.succeeded() + " of " + result.submitted());
        double ratio = phase.seconds() / loaded.seconds();
        figures.recordPerCause(
                "placer.processor-ms.per-job", jobs, phase.placerMilliseconds() - ratio * loaded.placerMilliseconds());
        figures.recordPerCause(
                "relay.processor-ms.per-job", jobs, phase.relayMilliseconds() - ratio * loaded.relayMilliseconds());
        figures.recordPerCause(
                "agents.processor-ms.per-job", jobs, phase.agentMilliseconds() - ratio * loaded.agentMilliseconds());
        figures.recordPerCause("entries.bytes.per-job", jobs, phase.entryBytes() - ratio * loaded.entryBytes());
        figures.recordPerCause("placer.bytes.per-job", jobs, phase.placerBytes() - ratio * loaded.placerBytes());
        figures.recordPerCause("key-value.reads.per-job", jobs, phase.reads() - ratio * loaded.reads());
        figures.recordPerCause("key-value.writes.per-job", jobs, phase.writes() - ratio * loaded.writes());
    }

    /** Measures the time until the placer stops assigning work to a suspended agent, then resumes the agent. */
    private void measureUnresponsiveAgent() {
        Process agent = cluster.agents().get(SUSPENDED_AGENT);
        String name = ControlCluster.agentName(SUSPENDED_AGENT);
        ProcessGroup.signal(agent, "STOP");
        long begin = System.nanoTime();
        try {
            while (RegionState.inService(operator().region(), name)
                    && millisecondsSince(begin) < TIMEOUT_MILLISECONDS) {
                ControlCluster.sleep(POLL_MILLISECONDS);
            }
            figures.record("silent-agent.out-of-use-ms", millisecondsSince(begin));
        } finally {
            ProcessGroup.signal(agent, "CONT");
        }
        cluster.awaitInService(TIMEOUT_MILLISECONDS / 1000);
    }

    private Phase phase(String name) {
        Snapshot begin = Snapshot.take(cluster);
        ControlCluster.sleep(1000L * seconds);
        Phase phase = new Phase(begin, Snapshot.take(cluster), placer());
        phase.recordTo(figures, name);
        figures.print(name + ".load-average", loadAverage());
        return phase;
    }

    private String placer() {
        JsonObject region = operator().region();
        return region.getString("placer");
    }

    private EntryClient operator() {
        return clients.getFirst();
    }

    private static double placerCorePercent(Phase phase) {
        return phase.placerMilliseconds() / phase.seconds() / 10;
    }

    private static long millisecondsSince(long begin) {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    private static String loadAverage() {
        try {
            return Files.readString(Path.of("/proc/loadavg")).split(" ")[0];
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
