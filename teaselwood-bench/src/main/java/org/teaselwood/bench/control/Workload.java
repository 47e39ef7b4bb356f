package org.teaselwood.bench.control;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.teaselwood.cli.DeclarationChange;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Level;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.standins.worker.BuiltInCommand;
import org.teaselwood.store.configuration.ConfigurationDifference;

/** The workload of the two-year size, scaled to the number of agents. Confined to one thread. */
final class Workload {
    static final int FLEET_AGENTS = 1_100;
    static final int FLEET_TASKS = 3_400;
    static final int FLEET_TEAMS = 130;
    static final int FLEET_JOBS_PER_DAY = 1_700;

    /** Limit per change, because a configuration change can write at most 128 documents. */
    private static final int TEAMS_PER_CHANGE = 100;

    private static final long POLL_MILLISECONDS = 20;

    private static final String SHORT = "short";
    private static final String LONG = "long";
    private static final String RENDER = "render";
    private static final String GANG = "gang";
    private static final int GANG_PARTS = 4;
    private static final int MEMORY_MEBIBYTES = 1_024;
    private static final long LONG_MILLISECONDS = 3_600_000;
    private static final long SHORT_MILLISECONDS = 200;
    private static final int ATTEMPTS = 4;
    private static final int QUEUE_LIMIT = 5_000;
    private static final int ACCELERATOR_QUOTA = 1_400;
    private static final long WAIT_MILLISECONDS = 15_000;

    private final int agents;
    private final SplittableRandom random;

    Workload(int agents, long seed) {
        this.agents = agents;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the number of teams, scaled to the number of agents, at least two. */
    int scaledTeams() {
        return Math.max(2, Math.round((float) FLEET_TEAMS * agents / FLEET_AGENTS));
    }

    /** Returns the number of running tasks, scaled to the number of agents. */
    int scaledTasks() {
        return Math.round((float) FLEET_TASKS * agents / FLEET_AGENTS);
    }

    /** Publishes the templates and the given number of teams, in several changes if necessary. */
    void publish(EntryClient client, int teams) {
        Map<String, Template> templates = new TreeMap<>();
        templates.put(SHORT, template(SHORT, 1, 0, SHORT_MILLISECONDS));
        templates.put(LONG, template(LONG, 1, 0, LONG_MILLISECONDS));
        templates.put(RENDER, template(RENDER, 1, 1, LONG_MILLISECONDS));
        templates.put(GANG, template(GANG, GANG_PARTS, 0, LONG_MILLISECONDS));
        int published = client.configuration().teams().size();
        while (published != teams) {
            published = published < teams
                    ? Math.min(teams, published + TEAMS_PER_CHANGE)
                    : Math.max(teams, published - TEAMS_PER_CHANGE);
            Map<String, Team> declared = new TreeMap<>();
            IntStream.range(0, published).forEach(number -> declared.put(team(number), team(number, 1)));
            Configuration accepted = change(client, templates, declared);
            while (client.configuration().revision() < accepted.revision()) {
                ControlCluster.sleep(POLL_MILLISECONDS);
            }
        }
    }

    /** Changes the weight of one team and returns the accepted configuration. */
    Configuration changeWeight(EntryClient client, int weight) {
        Configuration inForce = client.configuration();
        Map<String, Team> teams = new TreeMap<>(inForce.teams());
        teams.put(team(0), team(0, weight));
        return change(client, inForce.templates(), teams);
    }

    private static Configuration change(EntryClient client, Map<String, Template> templates, Map<String, Team> teams) {
        Configuration inForce = client.configuration();
        Configuration requested = new Configuration(inForce.revision(), templates, teams, Map.of());
        ConfigurationDifference difference = ConfigurationDifference.between(inForce, requested);
        return client.change(DeclarationChange.of(inForce, difference), false);
    }

    /** Submits the long jobs that provide the running tasks, and returns the number of jobs. */
    int submitRunning(EntryClient client) {
        int tasks = scaledTasks();
        int gangs = tasks / (5 * GANG_PARTS);
        int renders = tasks / 5;
        int singles = tasks - renders - gangs * GANG_PARTS;
        List<String> templates = new ArrayList<>();
        IntStream.range(0, gangs).forEach(ignored -> templates.add(GANG));
        IntStream.range(0, renders).forEach(ignored -> templates.add(RENDER));
        IntStream.range(0, singles).forEach(ignored -> templates.add(LONG));
        templates.forEach(template -> client.submit(submission(template)));
        return templates.size();
    }

    /** Result of {@link #runShortJobs}. */
    record ShortJobs(int submitted, int succeeded) {}

    /** Submits short jobs at a fixed rate, distributed over all entries, and waits for their answers. */
    ShortJobs runShortJobs(List<EntryClient> clients, int jobs, double perSecond) {
        AtomicInteger succeeded = new AtomicInteger();
        long begin = System.nanoTime();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < jobs; number++) {
                EntryClient client = clients.get(number % clients.size());
                JobSubmission submission = submission(SHORT);
                executor.submit(() -> succeeded.addAndGet(runShortJob(client, submission) ? 1 : 0));
                long due = Math.round((number + 1) * 1_000 / perSecond);
                ControlCluster.sleep(Math.max(0, due - (System.nanoTime() - begin) / 1_000_000));
            }
        }
        return new ShortJobs(jobs, succeeded.get());
    }

    /** Returns a submission of a short job by a random team. */
    JobSubmission shortSubmission() {
        return submission(SHORT);
    }

    private static boolean runShortJob(EntryClient client, JobSubmission submission) {
        JsonObject state = client.submit(submission);
        state = client.waitFor(state.getString("job"), WAIT_MILLISECONDS);
        return "succeeded".equals(state.getString("state"))
                && client.answer(state.getString("job")).length() > 0;
    }

    private JobSubmission submission(String template) {
        String team = team(random.nextInt(scaledTeams()));
        return new JobSubmission(UUID.randomUUID().toString(), true, team, template, Map.of(), 0, true, false);
    }

    private static Template template(String name, int parts, int accelerators, long runMilliseconds) {
        return new Template(
                name,
                WorkKind.JOB,
                new Shape(parts, resources(accelerators), parts == 1 ? Level.SERVER : Level.REGION),
                Set.of("bench"),
                List.of(new ParameterRule(
                        BuiltInCommand.RUN_MILLISECONDS, "[0-9]{1,9}", Optional.of(Long.toString(runMilliseconds)))),
                runMilliseconds,
                true,
                ATTEMPTS,
                BuiltInCommand.TRANSFORM.commandName());
    }

    /**
     * Returns a team with guarantees. Only teams of the scaled number have guaranteed accelerators; the others have
     * only guaranteed cores, so that all 130 teams fit at any size.
     */
    private Team team(int number, int weight) {
        List<Guarantee> guarantees = new ArrayList<>();
        guarantees.add(new Guarantee(new Shape(1, resources(0), Level.SERVER), 2, Set.of("bench")));
        if (number < scaledTeams()) {
            guarantees.add(new Guarantee(new Shape(1, resources(1), Level.SERVER), 4, Set.of("bench")));
        }
        return new Team(team(number), guarantees, weight, ACCELERATOR_QUOTA, QUEUE_LIMIT);
    }

    private static PartResources resources(int accelerators) {
        return new PartResources(accelerators, 0, 1, MEMORY_MEBIBYTES);
    }

    private static String team(int number) {
        return "team-" + number;
    }
}
