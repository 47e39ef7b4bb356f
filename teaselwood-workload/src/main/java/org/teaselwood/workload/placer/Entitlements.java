package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.WorkloadConfiguration;

/**
 * Determines which jobs of priority 0 lie within their team's guarantee and which runs may be preempted for them.
 * Immutable after construction; created for one pass.
 *
 * <p>The jobs of a team are counted against its guarantee from oldest to newest, so that a later job never takes the
 * entitlement of an earlier one that already runs.
 */
final class Entitlements {
    private final WorkloadConfiguration configuration;
    private final Set<JobState> entitled = new HashSet<>();
    private final Set<Run> interruptible = new HashSet<>();
    private int urgentAccelerators;
    private int urgentAcceleratorsInUse;

    Entitlements(Collection<JobState> openJobs, WorkloadConfiguration configuration) {
        this.configuration = configuration;
        Map<String, Integer> remaining = new HashMap<>(configuration.guaranteedAccelerators());
        List<JobState> urgent = openJobs.stream()
                .filter(this::isUrgent)
                .sorted(Comparator.comparingLong(job -> job.acceptedRevision))
                .toList();
        openJobs.forEach(this::findInterruptible);
        for (JobState job : urgent) {
            int need = accelerators(job);
            urgentAccelerators += need;
            urgentAcceleratorsInUse +=
                    job.runs().mapToInt(run -> run.reserved().accelerators()).sum();
            int available = remaining.getOrDefault(job.specification.team(), 0);
            if (need <= available) {
                remaining.put(job.specification.team(), available - need);
                entitled.add(job);
            }
        }
    }

    /**
     * Selects the runs of long-running steps that may be preempted in this pass: the number of tasks that the step may
     * miss less those already missing, so that preemptions cannot exceed that number in any order.
     */
    private void findInterruptible(JobState job) {
        job.steps()
                .filter(step -> step.specification.longRunning() && step.specification.maximumUnavailable() > 0)
                .forEach(step -> {
                    List<Run> readyRuns = step.runs().filter(Run::isReady).toList();
                    int missing = step.tasks.size() - readyRuns.size();
                    readyRuns.stream()
                            .limit(Math.max(0, step.specification.maximumUnavailable() - missing))
                            .forEach(interruptible::add);
                });
    }

    /** Returns the number of accelerators that all open jobs of priority 0 use and request. */
    int urgentAccelerators() {
        return urgentAccelerators;
    }

    /** Returns the number of accelerators that the runs of all open jobs of priority 0 use. */
    int urgentAcceleratorsInUse() {
        return urgentAcceleratorsInUse;
    }

    boolean isUrgent(JobState job) {
        return priority(job) == 0;
    }

    boolean isEntitled(JobState job) {
        return entitled.contains(job);
    }

    /** Returns whether a run may be preempted for a job of priority 0. */
    boolean mayStop(Run run, boolean forEntitledJob) {
        if (run.step.specification.longRunning() && !interruptible.contains(run)) {
            return false;
        }
        return priority(run.job) > 0 || forEntitledJob && !isEntitled(run.job);
    }

    private int priority(JobState job) {
        return configuration
                .queue(job.specification.queue())
                .map(QueueSettings::priority)
                .orElse(Integer.MAX_VALUE);
    }

    private static int accelerators(JobState job) {
        return job.specification.steps().stream()
                .mapToInt(step -> step.count() * step.resources().accelerators())
                .sum();
    }
}
