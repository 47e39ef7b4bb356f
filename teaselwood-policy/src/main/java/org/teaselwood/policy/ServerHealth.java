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
 * work. It is probed after {@value #FIRST_PROBE_MILLISECONDS} ms, then at doubling intervals of at most {@value
 * #LONGEST_PROBE_MILLISECONDS} ms, until a probe succeeds.
 */
final class ServerHealth {
    static final int DISTINCT_FAILED_JOBS = 3;
    static final long FIRST_PROBE_MILLISECONDS = 15_000;
    static final long LONGEST_PROBE_MILLISECONDS = 600_000;

    private final Map<String, Set<JobIdentifier>> failedJobs = new TreeMap<>();
    private final Map<String, Probation> probations = new TreeMap<>();
    private final Cluster cluster;

    ServerHealth(Cluster cluster) {
        this.cluster = cluster;
    }

    void succeeded(String server) {
        if (!failedJobs.isEmpty()) {
            failedJobs.remove(server);
        }
    }

    /**
     * Discards the failures of a job. A job that failed on several servers is itself the cause; the servers are not.
     */
    void clear(JobIdentifier job) {
        failedJobs.values().forEach(jobs -> jobs.remove(job));
    }

    /** Records a failure and returns whether it caused the server to be quarantined. */
    boolean failed(String name, JobIdentifier job, long nowMilliseconds, List<PolicyDecision> decisions) {
        Set<JobIdentifier> jobs = failedJobs.computeIfAbsent(name, server -> new LinkedHashSet<>());
        jobs.add(job);
        ServerState server = cluster.find(name);
        if (jobs.size() < DISTINCT_FAILED_JOBS || server == null || server.isQuarantined()) {
            return false;
        }
        server.setQuarantined(true);
        probations.put(name, new Probation(nowMilliseconds + FIRST_PROBE_MILLISECONDS, FIRST_PROBE_MILLISECONDS));
        decisions.add(new Quarantine(name));
        return true;
    }

    /** Requests the probes that are due. */
    void tick(long nowMilliseconds, List<PolicyDecision> decisions) {
        List<String> due = new ArrayList<>();
        probations.forEach((server, probation) -> {
            if (nowMilliseconds >= probation.nextMilliseconds) {
                due.add(server);
            }
        });
        for (String server : due) {
            long wait = Math.min(LONGEST_PROBE_MILLISECONDS, 2 * probations.get(server).waitMilliseconds);
            probations.put(server, new Probation(nowMilliseconds + wait, wait));
            decisions.add(new Probe(server));
        }
    }

    /** Records the result of a probe and returns whether the server was released from quarantine. */
    boolean probed(String name, boolean succeeded) {
        if (!succeeded || probations.remove(name) == null) {
            return false;
        }
        failedJobs.remove(name);
        ServerState server = cluster.find(name);
        if (server != null) {
            server.setQuarantined(false);
            cluster.forgetIfGone(server);
        }
        return true;
    }

    /** Discards the state of a server that was lost. */
    void lost(String name) {
        failedJobs.remove(name);
        ServerState server = cluster.find(name);
        if (probations.remove(name) != null && server != null) {
            server.setQuarantined(false);
            cluster.forgetIfGone(server);
        }
    }

    private record Probation(long nextMilliseconds, long waitMilliseconds) {}
}
