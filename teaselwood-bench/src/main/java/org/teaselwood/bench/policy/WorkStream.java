package org.teaselwood.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.policy.JobRequest;

/**
 * The seeded input of every simulated policy: jobs in order of arrival and server outages. Immutable. The constants are
 * independent of the policy, so that the stream does not favour it; docs/policy.md gives their reasons.
 *
 * @param jobs jobs in order of submission
 * @param outages outages in order of time
 */
record WorkStream(List<SimulatedJob> jobs, List<Outage> outages) {
    private static final double BURST_SHARE = 0.4;
    private static final long BURST_SPREAD_MILLISECONDS = 30_000;
    private static final double CANCELLED_PROBABILITY = 0.03;
    private static final double FAILS_ALWAYS_PROBABILITY = 0.005;
    private static final double FAILS_FIRST_PROBABILITY = 0.02;
    private static final double OVERUSES_PROBABILITY = 0.005;
    private static final double NOT_REPEATABLE_PROBABILITY = 0.03;
    private static final double URGENT_PROBABILITY = 0.02;
    private static final double IMPOSSIBLE_PROBABILITY = 0.001;
    private static final double GUARANTEED_TEAM_PROBABILITY = 0.7;
    private static final int CANCELLATION_WAVES_PER_DAY = 2;
    private static final double CANCELLATION_WAVE_SHARE = 0.5;
    private static final long DAY_MILLISECONDS = 86_400_000L;
    private static final long OUTAGE_MILLISECONDS = 600_000;
    private static final long FAULTY_SERVER_MILLISECONDS = 7_200_000;

    /**
     * A period in which a server is unreachable or fails all tasks. Immutable.
     *
     * @param server name of the server
     * @param fromMilliseconds start of the outage
     * @param toMilliseconds end of the outage
     * @param failsEverything whether the server stays reachable, but fails every task that it starts
     */
    record Outage(String server, long fromMilliseconds, long toMilliseconds, boolean failsEverything) {}

    /** Returns the stream for a deployment, a seed and a load, the ratio of offered to available accelerator time. */
    static WorkStream of(Deployment deployment, long seed, double load) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Draft> drafts = new ArrayList<>();
        // Jobs without accelerators come last, because their number depends on the number of the other jobs.
        deployment.classes().stream()
                .sorted(Comparator.comparing(work -> work.accelerators() == 0))
                .forEach(work -> addClass(deployment, work, load, random, drafts));
        drafts.sort(Comparator.comparingLong(Draft::submittedMilliseconds).thenComparingInt(Draft::order));
        List<long[]> cancellationWaves = cancellationWaves(deployment, random);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (Draft draft : drafts) {
            jobs.add(job(deployment, draft, jobs.size(), cancellationWaves, random));
        }
        return new WorkStream(List.copyOf(jobs), outages(deployment, random));
    }

    private static void addClass(
            Deployment deployment, WorkClass work, double load, UniformRandomProvider random, List<Draft> drafts) {
        ContinuousSampler runs = LogNormalSampler.of(
                ZigguratSampler.NormalizedGaussian.of(random), Math.log(work.medianRunMilliseconds()), work.sigma());
        double offered = load
                * deployment.accelerators()
                * deployment.horizonMilliseconds()
                * acceleratorShare(deployment, work);
        double sum = 0;
        int first = drafts.size();
        int count = 0;
        int requiredCount = work.accelerators() > 0 ? Integer.MAX_VALUE : jobsWithoutAccelerators(work, drafts.size());
        while (sum < offered && work.accelerators() > 0
                || count < requiredCount && requiredCount != Integer.MAX_VALUE) {
            boolean burst = random.nextDouble() < BURST_SHARE / work.burst();
            long at = random.nextLong(deployment.horizonMilliseconds());
            int size = burst ? work.burst() : 1;
            for (int index = 0; index < size; index++) {
                long run = Math.clamp((long) runs.sample(), 1_000, work.longestRunMilliseconds());
                long spread = burst ? random.nextLong(BURST_SPREAD_MILLISECONDS) : 0;
                drafts.add(new Draft(work, at + spread, run, drafts.size()));
                sum += (double) run * work.accelerators();
                count++;
            }
        }
        if (work.accelerators() > 0) {
            scale(drafts, first, offered / sum);
        }
    }

    /** Scales the run times to the exact load, because their heavy tail makes the offered work vary between seeds. */
    private static void scale(List<Draft> drafts, int first, double factor) {
        for (int index = first; index < drafts.size(); index++) {
            Draft draft = drafts.get(index);
            drafts.set(
                    index,
                    new Draft(
                            draft.work,
                            draft.submittedMilliseconds,
                            Math.max(1_000, (long) (draft.runMilliseconds * factor)),
                            draft.order));
        }
    }

    private static double acceleratorShare(Deployment deployment, WorkClass work) {
        double total = deployment.classes().stream()
                .filter(other -> other.accelerators() > 0)
                .mapToDouble(WorkClass::share)
                .sum();
        return work.share() / total;
    }

    private static int jobsWithoutAccelerators(WorkClass work, int others) {
        return (int) (others * work.share() / (1 - work.share()));
    }

    private static List<long[]> cancellationWaves(Deployment deployment, UniformRandomProvider random) {
        List<long[]> cancellationWaves = new ArrayList<>();
        long count = CANCELLATION_WAVES_PER_DAY * deployment.horizonMilliseconds() / DAY_MILLISECONDS;
        for (int index = 0; index < count; index++) {
            cancellationWaves.add(new long[] {
                random.nextLong(deployment.horizonMilliseconds()),
                random.nextInt(deployment.configuration().teams().size())
            });
        }
        return cancellationWaves;
    }

    private static SimulatedJob job(
            Deployment deployment,
            Draft draft,
            int number,
            List<long[]> cancellationWaves,
            UniformRandomProvider random) {
        List<Team> teams = List.copyOf(deployment.configuration().teams().values());
        Team team = team(teams, draft.work, random);
        boolean impossible = random.nextDouble() < IMPOSSIBLE_PROBABILITY;
        Template template = impossible ? impossible(draft.work.template()) : draft.work.template();
        boolean small = draft.work.accelerators() <= 2;
        boolean repeatable = !small || random.nextDouble() >= NOT_REPEATABLE_PROBABILITY;
        boolean urgent = random.nextDouble() < URGENT_PROBABILITY;
        JobRequest request = new JobRequest(
                new JobIdentifier("j%06d".formatted(number)),
                team.name(),
                template,
                repeatable,
                urgent,
                draft.submittedMilliseconds,
                Long.MAX_VALUE);
        long cancel = random.nextDouble() < CANCELLED_PROBABILITY
                ? draft.submittedMilliseconds + random.nextLong(1 + 2 * draft.runMilliseconds)
                : Long.MAX_VALUE;
        boolean inCancellationWave = random.nextDouble() < CANCELLATION_WAVE_SHARE;
        for (long[] cancellationWave : cancellationWaves) {
            boolean open = cancellationWave[0] > draft.submittedMilliseconds
                    && cancellationWave[0] < draft.submittedMilliseconds + 2 * draft.runMilliseconds;
            if (inCancellationWave && open && teams.get((int) cancellationWave[1]) == team) {
                cancel = Math.min(cancel, cancellationWave[0]);
            }
        }
        boolean failsAlways = random.nextDouble() < FAILS_ALWAYS_PROBABILITY;
        boolean failsFirst = random.nextDouble() < FAILS_FIRST_PROBABILITY;
        boolean overuses = random.nextDouble() < OVERUSES_PROBABILITY && draft.work.accelerators() > 0;
        return new SimulatedJob(request, draft.runMilliseconds, cancel, failsAlways, failsFirst, overuses);
    }

    /** Draws a team by weight: mostly among the teams with a guarantee for the shape, otherwise among all teams. */
    private static Team team(List<Team> teams, WorkClass work, UniformRandomProvider random) {
        Shape shape = work.template().shape();
        List<Team> guaranteedTeams = teams.stream()
                .filter(team -> team.guarantees().stream()
                        .anyMatch(guarantee -> guarantee.shape().parts() == shape.parts()
                                && guarantee.shape().part().accelerators()
                                        == shape.part().accelerators()))
                .toList();
        List<Team> candidates = !guaranteedTeams.isEmpty() && random.nextDouble() < GUARANTEED_TEAM_PROBABILITY
                ? guaranteedTeams
                : teams;
        int weights = candidates.stream().mapToInt(Team::weight).sum();
        int pick = random.nextInt(weights);
        for (Team team : candidates) {
            pick -= team.weight();
            if (pick < 0) {
                return team;
            }
        }
        return candidates.getLast();
    }

    private static Template impossible(Template template) {
        PartResources part = template.shape().part();
        PartResources wide = new PartResources(60, part.slots(), part.cores(), part.memoryMebibytes());
        return new Template(
                template.name() + "-wide",
                WorkKind.JOB,
                new Shape(1, wide, Level.SERVER),
                Set.of(),
                List.of(),
                template.declaredRunMilliseconds(),
                template.checkpointable(),
                template.maximumAttempts(),
                template.command());
    }

    private static List<Outage> outages(Deployment deployment, UniformRandomProvider random) {
        List<Outage> outages = new ArrayList<>();
        double days = (double) deployment.horizonMilliseconds() / DAY_MILLISECONDS;
        int losses = (int) Math.max(1, Math.round(days * deployment.serverLossesPerDay()));
        for (int index = 0; index < losses; index++) {
            outages.add(outage(deployment, OUTAGE_MILLISECONDS, false, random));
        }
        int faulty = Math.max(1, losses / 10);
        for (int index = 0; index < faulty; index++) {
            outages.add(outage(deployment, FAULTY_SERVER_MILLISECONDS, true, random));
        }
        outages.sort(Comparator.comparingLong(Outage::fromMilliseconds).thenComparing(Outage::server));
        return List.copyOf(outages);
    }

    private static Outage outage(Deployment deployment, long length, boolean faulty, UniformRandomProvider random) {
        String server = deployment
                .servers()
                .get(random.nextInt(deployment.servers().size()))
                .name();
        long from = random.nextLong(deployment.horizonMilliseconds());
        return new Outage(server, from, from + length, faulty);
    }

    /** A job whose team, cancellation and failures have not been drawn yet. */
    private record Draft(WorkClass work, long submittedMilliseconds, long runMilliseconds, int order) {}
}
