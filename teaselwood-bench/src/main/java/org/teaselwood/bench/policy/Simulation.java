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
 * Feeds one stream of work through one policy in virtual time, with simulated workers. Confined to one thread.
 *
 * <p>Workers start a part within a second, checkpoint every ten minutes, need up to 2.5 s for a checkpoint on request
 * and lose five seconds when they resume from one. A dead server is noticed after 6 s and given up after 20 s.
 */
final class Simulation {
    static final long TICK_MILLISECONDS = 1_000;
    private static final long CHECKPOINT_PERIOD_MILLISECONDS = 600_000;
    private static final long RESUME_MILLISECONDS = 5_000;
    private static final long STOP_MILLISECONDS = 300;
    private static final long SILENT_MILLISECONDS = 6_000;
    private static final long LOST_MILLISECONDS = 20_000;
    private static final long BAD_RUN_MILLISECONDS = 5_000;
    private static final long DRAIN_MILLISECONDS = 36L * 3_600_000;

    private final Deployment deployment;
    private final WorkStream stream;
    private final Scheduler scheduler;
    private final Figures figures;
    private final Referee referee;
    private final UniformRandomProvider random;
    private final PriorityQueue<Timed> events = new PriorityQueue<>();
    private final Map<JobIdentifier, JobRun> jobs = new HashMap<>();
    private final Map<AttemptIdentifier, AttemptRun> attempts = new LinkedHashMap<>();
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Set<String> down = new TreeSet<>();
    private final Set<String> bad = new TreeSet<>();
    private long now;
    private long nextOrder;
    private int open;

    Simulation(Deployment deployment, WorkStream stream, Scheduler scheduler, long seed) {
        this.deployment = deployment;
        this.stream = stream;
        this.scheduler = scheduler;
        figures = new Figures(deployment);
        referee = new Referee(deployment, figures, scheduler instanceof GuaranteeScheduler);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
    }

    /** Runs until all work has ended, or the time to drain is over. */
    Figures run() {
        deployment.servers().forEach(server -> {
            servers.put(server.name(), server);
            send(new PolicyEvent.ServerJoined(server));
        });
        send(new PolicyEvent.ConfigurationChanged(deployment.configuration()));
        for (SimulatedJob job : stream.jobs()) {
            at(job.request().submittedMilliseconds(), () -> submit(job));
        }
        stream.outages().forEach(outage -> at(outage.fromMilliseconds(), () -> begin(outage)));
        open = stream.jobs().size();
        long end = deployment.horizonMilliseconds() + DRAIN_MILLISECONDS;
        long nextTick = TICK_MILLISECONDS;
        while (open > 0 && now < end) {
            if (events.isEmpty() || events.peek().at > nextTick) {
                now = nextTick;
                nextTick += TICK_MILLISECONDS;
                send(new PolicyEvent.Tick());
                referee.tick(now);
            } else {
                Timed next = events.remove();
                now = Math.max(now, next.at);
                next.action.run();
            }
        }
        figures.unfinished += open;
        referee.finish(now);
        return figures;
    }

    private void at(long milliseconds, Runnable action) {
        events.add(new Timed(Math.max(now, milliseconds), nextOrder++, action));
    }

    private void after(long milliseconds, Runnable action) {
        at(now + milliseconds, action);
    }

    private void send(PolicyEvent event) {
        long before = System.nanoTime();
        List<PolicyDecision> decisions = scheduler.handle(event, now);
        figures.decided(System.nanoTime() - before, event);
        decisions.forEach(this::act);
    }

    private void submit(SimulatedJob job) {
        JobRun run = new JobRun(job);
        jobs.put(job.request().job(), run);
        referee.waits(job.request(), now);
        if (job.cancelMilliseconds() != Long.MAX_VALUE) {
            at(job.cancelMilliseconds(), () -> cancel(run));
        }
        send(new PolicyEvent.JobSubmitted(job.request()));
    }

    private void cancel(JobRun run) {
        if (run.ended) {
            return;
        }
        run.cancelled = true;
        AttemptRun attempt = run.attempt;
        if (attempt == null) {
            conclude(run);
        } else {
            after(STOP_MILLISECONDS, () -> finish(attempt, AttemptResult.CANCELLED, List.of()));
        }
        send(new PolicyEvent.JobCancelled(run.job.request().job()));
    }

    private void conclude(JobRun run) {
        run.ended = true;
        open--;
        referee.gone(run.job.request());
    }

    private void act(PolicyDecision decision) {
        switch (decision) {
            case PolicyDecision.Place place -> place(place);
            case PolicyDecision.Preempt reclaim -> reclaim(reclaim);
            case PolicyDecision.EndJob end -> {
                JobRun run = jobs.get(end.job());
                if (!run.ended) {
                    figures.endedByPolicy(end.kind());
                    conclude(run);
                }
            }
            case PolicyDecision.Probe probe ->
                after(1_000, () -> {
                    boolean works = !down.contains(probe.server()) && !bad.contains(probe.server());
                    send(new PolicyEvent.ProbeEnded(probe.server(), works));
                });
            case PolicyDecision.Throttle throttle -> {
                AttemptRun attempt = attempts.get(throttle.attempt());
                if (attempt != null) {
                    attempt.throttled = true;
                }
            }
            case PolicyDecision.Quarantine ignored -> figures.quarantines++;
        }
    }

    private void place(PolicyDecision.Place place) {
        JobRun run = jobs.get(place.attempt().job());
        AttemptRun attempt = new AttemptRun(run, place);
        run.attempt = attempt;
        attempts.put(place.attempt(), attempt);
        referee.placed(run.job.request(), place, now);
        after(200 + random.nextInt(500), () -> begin(attempt));
    }

    private void begin(AttemptRun attempt) {
        if (attempt.ended) {
            return;
        }
        for (PartPlacement placement : attempt.place.placements()) {
            if (down.contains(placement.server())) {
                after(1_000, () -> finish(attempt, AttemptResult.REFUSED, List.of(placement.server())));
                return;
            }
        }
        JobRun run = attempt.run;
        attempt.startedMilliseconds = now;
        attempt.safeMilliseconds = now;
        send(new PolicyEvent.AttemptStarted(attempt.place.attempt()));
        referee.started(run.job.request(), now);
        attempt.speed = attempt.place.placements().stream()
                .mapToDouble(placement -> servers.get(placement.server()).speed())
                .min()
                .orElse(1);
        attempt.resumeMilliseconds = run.doneMilliseconds > 0 ? RESUME_MILLISECONDS : 0;
        long left = attempt.resumeMilliseconds
                + (long) Math.ceil((run.job.runMilliseconds() - run.doneMilliseconds) / attempt.speed);
        boolean first = attempt.place.attempt().number() == 1;
        String badServer = attempt.place.placements().stream()
                .map(PartPlacement::server)
                .filter(bad::contains)
                .findFirst()
                .orElse(null);
        if (badServer != null) {
            after(BAD_RUN_MILLISECONDS, () -> finish(attempt, AttemptResult.FAILED, List.of(badServer)));
        } else if (run.job.failsAlways() || run.job.failsFirst() && first) {
            String server = attempt.place.placements().getFirst().server();
            after(left / 2, () -> finish(attempt, AttemptResult.FAILED, List.of(server)));
        } else {
            after(left, () -> finish(attempt, AttemptResult.SUCCEEDED, List.of()));
        }
        if (run.job.request().template().checkpointable()) {
            after(CHECKPOINT_PERIOD_MILLISECONDS, () -> checkpoint(attempt));
        }
        if (run.job.overuses()) {
            after(5_000, () -> reportUsage(attempt));
        }
    }

    private void checkpoint(AttemptRun attempt) {
        if (!attempt.ended && !attempt.dead && !attempt.stopping) {
            attempt.safeMilliseconds = now;
            send(new PolicyEvent.AttemptCheckpointed(attempt.place.attempt()));
            after(CHECKPOINT_PERIOD_MILLISECONDS, () -> checkpoint(attempt));
        }
    }

    private void reportUsage(AttemptRun attempt) {
        if (!attempt.ended && !attempt.dead && !attempt.throttled) {
            int declared = attempt.run.job.request().template().shape().totalAccelerators();
            send(new PolicyEvent.UsageReported(attempt.place.attempt(), 1.5 * declared, 0));
            after(5_000, () -> reportUsage(attempt));
        }
    }

    private void reclaim(PolicyDecision.Preempt reclaim) {
        AttemptRun attempt = attempts.get(reclaim.attempt());
        if (attempt == null || attempt.stopping) {
            return;
        }
        attempt.stopping = true;
        figures.reclaims++;
        boolean checkpoints = attempt.run.job.request().template().checkpointable() && attempt.startedMilliseconds >= 0;
        long taken = checkpoints ? 300 + random.nextInt(2_200) : 0;
        after(taken, () -> {
            if (checkpoints && !attempt.ended && !attempt.dead) {
                attempt.safeMilliseconds = now;
                send(new PolicyEvent.AttemptCheckpointed(reclaim.attempt()));
            }
        });
        after(taken + STOP_MILLISECONDS, () -> finish(attempt, AttemptResult.STOPPED, List.of()));
    }

    /** The servers of a dead attempt report nothing; only its loss is noticed. */
    private void finish(AttemptRun attempt, AttemptResult result, List<String> blamed) {
        if (attempt.ended || attempt.dead && result != AttemptResult.LOST) {
            return;
        }
        attempt.ended = true;
        attempts.remove(attempt.place.attempt());
        JobRun run = attempt.run;
        run.attempt = null;
        long safe = result == AttemptResult.SUCCEEDED ? now : attempt.safeMilliseconds;
        if (attempt.startedMilliseconds >= 0 && result != AttemptResult.FAILED) {
            long worked = Math.max(0, safe - attempt.startedMilliseconds - attempt.resumeMilliseconds);
            run.doneMilliseconds =
                    Math.min(run.job.runMilliseconds(), run.doneMilliseconds + (long) (worked * attempt.speed));
            figures.worked(run.job.request().template().shape().totalAccelerators(), attempt.startedMilliseconds, safe);
        }
        referee.freed(run.job.request(), attempt.place, now);
        if (result == AttemptResult.SUCCEEDED) {
            figures.succeeded(run.job, now);
        }
        boolean over = result == AttemptResult.SUCCEEDED || result == AttemptResult.CANCELLED || run.cancelled;
        if (over && !run.ended) {
            conclude(run);
        } else if (!run.ended) {
            referee.waits(run.job.request(), now);
        }
        send(new PolicyEvent.AttemptEnded(attempt.place.attempt(), result, blamed));
    }

    private void begin(WorkStream.Outage outage) {
        String name = outage.server();
        if (outage.failsEverything()) {
            bad.add(name);
            at(outage.toMilliseconds(), () -> bad.remove(name));
            return;
        }
        if (!down.add(name)) {
            return;
        }
        referee.outage(down, now);
        attempts.values().stream().filter(attempt -> attempt.uses(name)).forEach(attempt -> attempt.dead = true);
        after(SILENT_MILLISECONDS, () -> send(new PolicyEvent.ServerCordoned(name)));
        after(LOST_MILLISECONDS, () -> {
            send(new PolicyEvent.ServerLost(name));
            new ArrayList<>(attempts.values())
                    .stream()
                            .filter(attempt -> attempt.uses(name))
                            .forEach(attempt -> finish(attempt, AttemptResult.LOST, List.of(name)));
        });
        at(outage.toMilliseconds(), () -> {
            down.remove(name);
            referee.outage(down, now);
            send(new PolicyEvent.ServerJoined(servers.get(name)));
        });
    }

    /** An action at a time; equal times keep the order of their scheduling. */
    private record Timed(long at, long order, Runnable action) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A job with the work it has saved. */
    private static final class JobRun {
        private final SimulatedJob job;
        private long doneMilliseconds;
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
        private long safeMilliseconds;
        private long resumeMilliseconds;
        private double speed = 1;
        private boolean stopping;
        private boolean throttled;
        private boolean dead;
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
