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
 * The seeded stream that every policy gets: jobs in order of arrival and outages of servers. Immutable. docs/policy.md
 * gives the reasons for the constants, which were fixed before the policy was tuned.
 *
 * @param jobs jobs by time of submission
 * @param outages outages by time
 */
record WorkStream(List<SimulatedJob> jobs, List<Outage> outages) {
    private static final double BURST_SHARE = 0.4;
    private static final long BURST_SPREAD_MILLISECONDS = 30_000;
    private static final double CANCELLED = 0.03;
    private static final double FAILS_ALWAYS = 0.005;
    private static final double FAILS_FIRST = 0.02;
    private static final double OVERUSES = 0.005;
    private static final double NOT_REPEATABLE = 0.03;
    private static final double URGENT = 0.02;
    private static final double IMPOSSIBLE = 0.001;
    private static final double HOME_TEAM = 0.7;
    private static final int WAVES_PER_DAY = 2;
    private static final double WAVE_SHARE = 0.5;
    private static final long DAY_MILLISECONDS = 86_400_000L;
    private static final long OUTAGE_MILLISECONDS = 600_000;
    private static final long BAD_SERVER_MILLISECONDS = 7_200_000;

    /**
     * A server that is away or fails everything for a time. Immutable.
     *
     * @param server name
     * @param fromMilliseconds begin
     * @param toMilliseconds end
     * @param failsEverything whether it stays reachable and fails what it starts
     */
    record Outage(String server, long fromMilliseconds, long toMilliseconds, boolean failsEverything) {}

    /** The stream of a deployment for a seed and a load, the offered over the available accelerator time. */
    static WorkStream of(Deployment deployment, long seed, double load) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Draft> drafts = new ArrayList<>();
        // The number of jobs without accelerators follows from the number of the others.
        deployment.classes().stream()
                .sorted(Comparator.comparing(work -> work.accelerators() == 0))
                .forEach(work -> addClass(deployment, work, load, random, drafts));
        drafts.sort(Comparator.comparingLong(Draft::submittedMilliseconds).thenComparingInt(Draft::order));
        List<long[]> waves = waves(deployment, random);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (Draft draft : drafts) {
            jobs.add(job(deployment, draft, jobs.size(), waves, random));
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
        int wanted = work.accelerators() > 0 ? Integer.MAX_VALUE : jobsWithoutAccelerators(work, drafts.size());
        while (sum < offered && work.accelerators() > 0 || count < wanted && wanted != Integer.MAX_VALUE) {
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

    /** The heavy tail makes single streams differ in offered work; run times are scaled so that the load is exact. */
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

    private static List<long[]> waves(Deployment deployment, UniformRandomProvider random) {
        List<long[]> waves = new ArrayList<>();
        long count = WAVES_PER_DAY * deployment.horizonMilliseconds() / DAY_MILLISECONDS;
        for (int index = 0; index < count; index++) {
            waves.add(new long[] {
                random.nextLong(deployment.horizonMilliseconds()),
                random.nextInt(deployment.configuration().teams().size())
            });
        }
        return waves;
    }

    private static SimulatedJob job(
            Deployment deployment, Draft draft, int number, List<long[]> waves, UniformRandomProvider random) {
        List<Team> teams = List.copyOf(deployment.configuration().teams().values());
        Team team = team(teams, draft.work, random);
        boolean impossible = random.nextDouble() < IMPOSSIBLE;
        Template template = impossible ? impossible(draft.work.template()) : draft.work.template();
        boolean small = draft.work.accelerators() <= 2;
        boolean repeatable = !small || random.nextDouble() >= NOT_REPEATABLE;
        boolean urgent = random.nextDouble() < URGENT;
        JobRequest request = new JobRequest(
                new JobIdentifier("j%06d".formatted(number)),
                team.name(),
                template,
                repeatable,
                urgent,
                draft.submittedMilliseconds,
                Long.MAX_VALUE);
        long cancel = random.nextDouble() < CANCELLED
                ? draft.submittedMilliseconds + random.nextLong(1 + 2 * draft.runMilliseconds)
                : Long.MAX_VALUE;
        boolean inWave = random.nextDouble() < WAVE_SHARE;
        for (long[] wave : waves) {
            boolean open = wave[0] > draft.submittedMilliseconds
                    && wave[0] < draft.submittedMilliseconds + 2 * draft.runMilliseconds;
            if (inWave && open && teams.get((int) wave[1]) == team) {
                cancel = Math.min(cancel, wave[0]);
            }
        }
        boolean failsAlways = random.nextDouble() < FAILS_ALWAYS;
        boolean failsFirst = random.nextDouble() < FAILS_FIRST;
        boolean overuses = random.nextDouble() < OVERUSES && draft.work.accelerators() > 0;
        return new SimulatedJob(request, draft.runMilliseconds, cancel, failsAlways, failsFirst, overuses);
    }

    /** Most work of a class comes from the teams whose guarantee has its shape, the rest from anybody by weight. */
    private static Team team(List<Team> teams, WorkClass work, UniformRandomProvider random) {
        Shape shape = work.template().shape();
        List<Team> home = teams.stream()
                .filter(team -> team.guarantees().stream()
                        .anyMatch(guarantee -> guarantee.shape().parts() == shape.parts()
                                && guarantee.shape().part().accelerators()
                                        == shape.part().accelerators()))
                .toList();
        List<Team> from = !home.isEmpty() && random.nextDouble() < HOME_TEAM ? home : teams;
        int weights = from.stream().mapToInt(Team::weight).sum();
        int pick = random.nextInt(weights);
        for (Team team : from) {
            pick -= team.weight();
            if (pick < 0) {
                return team;
            }
        }
        return from.getLast();
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
        int bad = Math.max(1, losses / 10);
        for (int index = 0; index < bad; index++) {
            outages.add(outage(deployment, BAD_SERVER_MILLISECONDS, true, random));
        }
        outages.sort(Comparator.comparingLong(Outage::fromMilliseconds).thenComparing(Outage::server));
        return List.copyOf(outages);
    }

    private static Outage outage(Deployment deployment, long length, boolean bad, UniformRandomProvider random) {
        String server = deployment
                .servers()
                .get(random.nextInt(deployment.servers().size()))
                .name();
        long from = random.nextLong(deployment.horizonMilliseconds());
        return new Outage(server, from, from + length, bad);
    }

    /** A job before its team and fate are drawn. */
    private record Draft(WorkClass work, long submittedMilliseconds, long runMilliseconds, int order) {}
}
