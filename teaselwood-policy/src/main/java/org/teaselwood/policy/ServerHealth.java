package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.policy.PolicyDecision.Probe;
import org.teaselwood.policy.PolicyDecision.Quarantine;

/**
 * Quarantines servers on which different jobs fail, and probes them. Mutable, confined to its scheduler's thread.
 *
 * <p>A server on which {@value #DISTINCT_FAILED_JOBS} different jobs fail without a success in between accepts no more
 * work. It is probed after {@value #FIRST_PROBE_DELAY_MILLISECONDS} ms, then at doubling intervals of at most
 * {@value #MAXIMUM_PROBE_INTERVAL_MILLISECONDS} ms, until a probe succeeds.
 */
final class ServerHealth {
    static final int DISTINCT_FAILED_JOBS = 3;
    static final long FIRST_PROBE_DELAY_MILLISECONDS = 15_000;
    static final long MAXIMUM_PROBE_INTERVAL_MILLISECONDS = 600_000;

    private final Map<String, Set<JobIdentifier>> failedJobs = new TreeMap<>();
    private final Map<String, ProbeSchedule> probeSchedules = new TreeMap<>();
    private final Cluster cluster;

    ServerHealth(Cluster cluster) {
        this.cluster = cluster;
    }

    void recordSuccess(String server) {
        if (!failedJobs.isEmpty()) {
            failedJobs.remove(server);
        }
    }

    /**
     * Discards the failures of a job. A job that failed on several servers is itself the cause; the servers are not.
     */
    void discardFailures(JobIdentifier job) {
        failedJobs.values().forEach(jobs -> jobs.remove(job));
    }

    /** Records a failure and returns whether it caused the server to be quarantined. */
    boolean recordFailure(String name, JobIdentifier job, long nowMilliseconds, List<PolicyDecision> decisions) {
        Set<JobIdentifier> jobs = failedJobs.computeIfAbsent(name, server -> new LinkedHashSet<>());
        jobs.add(job);
        ServerState server = cluster.find(name);
        if (jobs.size() < DISTINCT_FAILED_JOBS || server == null || server.isQuarantined()) {
            return false;
        }
        server.setQuarantined(true);
        probeSchedules.put(
                name,
                new ProbeSchedule(nowMilliseconds + FIRST_PROBE_DELAY_MILLISECONDS, FIRST_PROBE_DELAY_MILLISECONDS));
        decisions.add(new Quarantine(name));
        return true;
    }

    /** Requests the probes that are due. */
    void tick(long nowMilliseconds, List<PolicyDecision> decisions) {
        List<String> due = new ArrayList<>();
        probeSchedules.forEach((server, schedule) -> {
            if (nowMilliseconds >= schedule.nextProbeMilliseconds) {
                due.add(server);
            }
        });
        for (String server : due) {
            long interval =
                    Math.min(MAXIMUM_PROBE_INTERVAL_MILLISECONDS, 2 * probeSchedules.get(server).intervalMilliseconds);
            probeSchedules.put(server, new ProbeSchedule(nowMilliseconds + interval, interval));
            decisions.add(new Probe(server));
        }
    }

    /** Records the result of a probe and returns whether the server was released from quarantine. */
    boolean recordProbe(String name, boolean succeeded) {
        if (!succeeded || probeSchedules.remove(name) == null) {
            return false;
        }
        failedJobs.remove(name);
        ServerState server = cluster.find(name);
        if (server != null) {
            server.setQuarantined(false);
            cluster.removeIfUnused(server);
        }
        return true;
    }

    /** Discards the state of a server that was lost. */
    void removeServer(String name) {
        failedJobs.remove(name);
        ServerState server = cluster.find(name);
        if (probeSchedules.remove(name) != null && server != null) {
            server.setQuarantined(false);
            cluster.removeIfUnused(server);
        }
    }

    private record ProbeSchedule(long nextProbeMilliseconds, long intervalMilliseconds) {}
}
