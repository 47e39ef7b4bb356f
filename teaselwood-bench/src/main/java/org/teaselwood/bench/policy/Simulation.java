package org.teaselwood.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.policy.AttemptResult;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.policy.PartPlacement;
import org.teaselwood.policy.PolicyDecision;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.policy.Scheduler;

/**
 * Simulates the execution of one work stream under one policy, in virtual time. Confined to one thread.
 *
 * <p>Simulated workers start a part within a second, write a checkpoint every ten minutes, need up to 2.5 s for a
 * checkpoint on request, and need five seconds to resume from a checkpoint. A lost server is reported as unavailable
 * after 6 s and as lost after 20 s.
 */
final class Simulation {
    static final long TICK_MILLISECONDS = 1_000;
    private static final long CHECKPOINT_PERIOD_MILLISECONDS = 600_000;
    private static final long RESUME_MILLISECONDS = 5_000;
    private static final long STOP_MILLISECONDS = 300;
    private static final long UNAVAILABLE_MILLISECONDS = 6_000;
    private static final long LOST_MILLISECONDS = 20_000;
    private static final long FAULTY_SERVER_RUN_MILLISECONDS = 5_000;
    private static final long DRAIN_MILLISECONDS = 36L * 3_600_000;

    private final Deployment deployment;
    private final WorkStream stream;
    private final Scheduler scheduler;
    private final SimulationStatistics statistics;
    private final InvariantMonitor monitor;
    private final UniformRandomProvider random;
    private final PriorityQueue<ScheduledAction> events = new PriorityQueue<>();
    private final Map<JobIdentifier, JobRun> jobs = new HashMap<>();
    private final Map<AttemptIdentifier, AttemptRun> attempts = new LinkedHashMap<>();
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Set<String> lostServers = new TreeSet<>();
    private final Set<String> faultyServers = new TreeSet<>();
    private long now;
    private long nextOrder;
    private int unfinishedJobs;

    Simulation(Deployment deployment, WorkStream stream, Scheduler scheduler, long seed) {
        this.deployment = deployment;
        this.stream = stream;
        this.scheduler = scheduler;
        statistics = new SimulationStatistics(deployment);
        monitor = new InvariantMonitor(deployment, statistics, scheduler instanceof GuaranteeScheduler);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
    }

    /** Runs until all jobs have ended or the drain time after the last arrival is over. */
    SimulationStatistics run() {
        deployment.servers().forEach(server -> {
            servers.put(server.name(), server);
            sendToPolicy(new PolicyEvent.ServerJoined(server));
        });
        sendToPolicy(new PolicyEvent.ConfigurationChanged(deployment.configuration()));
        for (SimulatedJob job : stream.jobs()) {
            scheduleAt(job.request().submittedMilliseconds(), () -> submit(job));
        }
        stream.outages().forEach(outage -> scheduleAt(outage.fromMilliseconds(), () -> beginOutage(outage)));
        unfinishedJobs = stream.jobs().size();
        long end = deployment.horizonMilliseconds() + DRAIN_MILLISECONDS;
        long nextTick = TICK_MILLISECONDS;
        while (unfinishedJobs > 0 && now < end) {
            if (events.isEmpty() || events.peek().at > nextTick) {
                now = nextTick;
                nextTick += TICK_MILLISECONDS;
                sendToPolicy(new PolicyEvent.Tick());
                monitor.tick(now);
            } else {
                ScheduledAction next = events.remove();
                now = Math.max(now, next.at);
                next.action.run();
            }
        }
        statistics.unfinished += unfinishedJobs;
        monitor.finish(now);
        return statistics;
    }

    private void scheduleAt(long milliseconds, Runnable action) {
        events.add(new ScheduledAction(Math.max(now, milliseconds), nextOrder++, action));
    }

    private void scheduleAfter(long milliseconds, Runnable action) {
        scheduleAt(now + milliseconds, action);
    }

    private void sendToPolicy(PolicyEvent event) {
        long before = System.nanoTime();
        List<PolicyDecision> decisions = scheduler.handle(event, now);
        statistics.recordDecision(System.nanoTime() - before, event);
        decisions.forEach(this::apply);
    }

    private void submit(SimulatedJob job) {
        JobRun run = new JobRun(job);
        jobs.put(job.request().job(), run);
        monitor.recordWaiting(job.request(), now);
        if (job.cancelMilliseconds() != Long.MAX_VALUE) {
            scheduleAt(job.cancelMilliseconds(), () -> cancel(run));
        }
        sendToPolicy(new PolicyEvent.JobSubmitted(job.request()));
    }

    private void cancel(JobRun run) {
        if (run.ended) {
            return;
        }
        run.cancelled = true;
        AttemptRun attempt = run.attempt;
        if (attempt == null) {
            endJob(run);
        } else {
            scheduleAfter(STOP_MILLISECONDS, () -> finish(attempt, AttemptResult.CANCELLED, List.of()));
        }
        sendToPolicy(new PolicyEvent.JobCancelled(run.job.request().job()));
    }

    private void endJob(JobRun run) {
        run.ended = true;
        unfinishedJobs--;
        monitor.recordEnd(run.job.request());
    }

    private void apply(PolicyDecision decision) {
        switch (decision) {
            case PolicyDecision.Place place -> place(place);
            case PolicyDecision.Preempt preemption -> preempt(preemption);
            case PolicyDecision.EndJob end -> {
                JobRun run = jobs.get(end.job());
                if (!run.ended) {
                    statistics.recordEndByPolicy(end.kind());
                    endJob(run);
                }
            }
            case PolicyDecision.Probe probe ->
                scheduleAfter(1_000, () -> {
                    boolean works = !lostServers.contains(probe.server()) && !faultyServers.contains(probe.server());
                    sendToPolicy(new PolicyEvent.ProbeEnded(probe.server(), works));
                });
            case PolicyDecision.Throttle throttle -> {
                AttemptRun attempt = attempts.get(throttle.attempt());
                if (attempt != null) {
                    attempt.throttled = true;
                }
            }
            case PolicyDecision.Quarantine ignored -> statistics.quarantines++;
        }
    }

    private void place(PolicyDecision.Place place) {
        JobRun run = jobs.get(place.attempt().job());
        AttemptRun attempt = new AttemptRun(run, place);
        run.attempt = attempt;
        attempts.put(place.attempt(), attempt);
        monitor.recordPlacement(run.job.request(), place, now);
        scheduleAfter(200 + random.nextInt(500), () -> startAttempt(attempt));
    }

    private void startAttempt(AttemptRun attempt) {
        if (attempt.ended) {
            return;
        }
        for (PartPlacement placement : attempt.place.placements()) {
            if (lostServers.contains(placement.server())) {
                scheduleAfter(1_000, () -> finish(attempt, AttemptResult.REFUSED, List.of(placement.server())));
                return;
            }
        }
        JobRun run = attempt.run;
        attempt.startedMilliseconds = now;
        attempt.checkpointMilliseconds = now;
        sendToPolicy(new PolicyEvent.AttemptStarted(attempt.place.attempt()));
        monitor.recordStart(run.job.request(), now);
        attempt.speed = attempt.place.placements().stream()
                .mapToDouble(placement -> servers.get(placement.server()).speed())
                .min()
                .orElse(1);
        attempt.resumeMilliseconds = run.completedMilliseconds > 0 ? RESUME_MILLISECONDS : 0;
        long left = attempt.resumeMilliseconds
                + (long) Math.ceil((run.job.runMilliseconds() - run.completedMilliseconds) / attempt.speed);
        boolean first = attempt.place.attempt().number() == 1;
        String faultyServer = attempt.place.placements().stream()
                .map(PartPlacement::server)
                .filter(faultyServers::contains)
                .findFirst()
                .orElse(null);
        if (faultyServer != null) {
            scheduleAfter(
                    FAULTY_SERVER_RUN_MILLISECONDS, () -> finish(attempt, AttemptResult.FAILED, List.of(faultyServer)));
        } else if (run.job.failsAlways() || run.job.failsFirst() && first) {
            String server = attempt.place.placements().getFirst().server();
            scheduleAfter(left / 2, () -> finish(attempt, AttemptResult.FAILED, List.of(server)));
        } else {
            scheduleAfter(left, () -> finish(attempt, AttemptResult.SUCCEEDED, List.of()));
        }
        if (run.job.request().template().checkpointable()) {
            scheduleAfter(CHECKPOINT_PERIOD_MILLISECONDS, () -> checkpoint(attempt));
        }
        if (run.job.overuses()) {
            scheduleAfter(5_000, () -> reportUsage(attempt));
        }
    }

    private void checkpoint(AttemptRun attempt) {
        if (!attempt.ended && !attempt.lost && !attempt.stopping) {
            attempt.checkpointMilliseconds = now;
            sendToPolicy(new PolicyEvent.AttemptCheckpointed(attempt.place.attempt()));
            scheduleAfter(CHECKPOINT_PERIOD_MILLISECONDS, () -> checkpoint(attempt));
        }
    }

    private void reportUsage(AttemptRun attempt) {
        if (!attempt.ended && !attempt.lost && !attempt.throttled) {
            int declared = attempt.run.job.request().template().shape().totalAccelerators();
            sendToPolicy(new PolicyEvent.UsageReported(attempt.place.attempt(), 1.5 * declared, 0));
            scheduleAfter(5_000, () -> reportUsage(attempt));
        }
    }

    private void preempt(PolicyDecision.Preempt preemption) {
        AttemptRun attempt = attempts.get(preemption.attempt());
        if (attempt == null || attempt.stopping) {
            return;
        }
        attempt.stopping = true;
        statistics.reclaims++;
        boolean checkpoints = attempt.run.job.request().template().checkpointable() && attempt.startedMilliseconds >= 0;
        long taken = checkpoints ? 300 + random.nextInt(2_200) : 0;
        scheduleAfter(taken, () -> {
            if (checkpoints && !attempt.ended && !attempt.lost) {
                attempt.checkpointMilliseconds = now;
                sendToPolicy(new PolicyEvent.AttemptCheckpointed(preemption.attempt()));
            }
        });
        scheduleAfter(taken + STOP_MILLISECONDS, () -> finish(attempt, AttemptResult.STOPPED, List.of()));
    }

    /** Ends an attempt. An attempt on a lost server reports no result, so only its loss is processed. */
    private void finish(AttemptRun attempt, AttemptResult result, List<String> attributedServers) {
        if (attempt.ended || attempt.lost && result != AttemptResult.LOST) {
            return;
        }
        attempt.ended = true;
        attempts.remove(attempt.place.attempt());
        JobRun run = attempt.run;
        run.attempt = null;
        long safe = result == AttemptResult.SUCCEEDED ? now : attempt.checkpointMilliseconds;
        if (attempt.startedMilliseconds >= 0 && result != AttemptResult.FAILED) {
            long worked = Math.max(0, safe - attempt.startedMilliseconds - attempt.resumeMilliseconds);
            run.completedMilliseconds =
                    Math.min(run.job.runMilliseconds(), run.completedMilliseconds + (long) (worked * attempt.speed));
            statistics.recordWork(
                    run.job.request().template().shape().totalAccelerators(), attempt.startedMilliseconds, safe);
        }
        monitor.recordRelease(run.job.request(), attempt.place, now);
        if (result == AttemptResult.SUCCEEDED) {
            statistics.recordSuccess(run.job, now);
        }
        boolean over = result == AttemptResult.SUCCEEDED || result == AttemptResult.CANCELLED || run.cancelled;
        if (over && !run.ended) {
            endJob(run);
        } else if (!run.ended) {
            monitor.recordWaiting(run.job.request(), now);
        }
        sendToPolicy(new PolicyEvent.AttemptEnded(attempt.place.attempt(), result, attributedServers));
    }

    private void beginOutage(WorkStream.Outage outage) {
        String name = outage.server();
        if (outage.failsEverything()) {
            faultyServers.add(name);
            scheduleAt(outage.toMilliseconds(), () -> faultyServers.remove(name));
            return;
        }
        if (!lostServers.add(name)) {
            return;
        }
        monitor.updateLostServers(lostServers, now);
        attempts.values().stream().filter(attempt -> attempt.uses(name)).forEach(attempt -> attempt.lost = true);
        scheduleAfter(UNAVAILABLE_MILLISECONDS, () -> sendToPolicy(new PolicyEvent.ServerCordoned(name)));
        scheduleAfter(LOST_MILLISECONDS, () -> {
            sendToPolicy(new PolicyEvent.ServerLost(name));
            new ArrayList<>(attempts.values())
                    .stream()
                            .filter(attempt -> attempt.uses(name))
                            .forEach(attempt -> finish(attempt, AttemptResult.LOST, List.of(name)));
        });
        scheduleAt(outage.toMilliseconds(), () -> {
            lostServers.remove(name);
            monitor.updateLostServers(lostServers, now);
            sendToPolicy(new PolicyEvent.ServerJoined(servers.get(name)));
        });
    }

    /** An action scheduled at a time; actions at equal times run in the order of their scheduling. */
    private record ScheduledAction(long at, long order, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A job with the work it has completed and saved. */
    private static final class JobRun {
        private final SimulatedJob job;
        private long completedMilliseconds;
        private AttemptRun attempt;
        private boolean cancelled;
        private boolean ended;

        JobRun(SimulatedJob job) {
            this.job = job;
        }
    }

    /** An attempt on simulated workers. */
    private static final class AttemptRun {
        private final JobRun run;
        private final PolicyDecision.Place place;
        private long startedMilliseconds = -1;
        private long checkpointMilliseconds;
        private long resumeMilliseconds;
        private double speed = 1;
        private boolean stopping;
        private boolean throttled;
        private boolean lost;
        private boolean ended;

        AttemptRun(JobRun run, PolicyDecision.Place place) {
            this.run = run;
            this.place = place;
        }

        boolean uses(String server) {
            return place.placements().stream()
                    .anyMatch(placement -> placement.server().equals(server));
        }
    }
}
