package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.policy.PolicyDecision.EndJob;
import org.teaselwood.policy.PolicyDecision.Place;
import org.teaselwood.policy.PolicyDecision.Preempt;

/** Drives a scheduler in virtual time and records its decisions. */
final class PolicyFixture {
    static final Set<String> PLAIN = Set.of("plan");

    final Scheduler scheduler;
    final List<PolicyDecision> decisions = new ArrayList<>();
    long nowMilliseconds;

    PolicyFixture(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Adds servers {@code s00}, {@code s01} and so on, three to a rack and two racks to a data centre. */
    PolicyFixture withServers(int count, int accelerators) {
        for (int index = 0; index < count; index++) {
            send(new PolicyEvent.ServerJoined(server(index, accelerators, PLAIN)));
        }
        return this;
    }

    PolicyFixture withTeams(Team... teams) {
        Map<String, Team> byName = new TreeMap<>();
        Arrays.stream(teams).forEach(team -> byName.put(team.name(), team));
        send(new PolicyEvent.ConfigurationChanged(new Configuration(1, Map.of(), byName, Map.of())));
        return this;
    }

    static BackendServer server(int index, int accelerators, Set<String> capabilities) {
        String name = "s%02d".formatted(index);
        return new BackendServer(
                name, "r", "d" + index / 6, "k" + index / 3, capabilities, accelerators, 32, 131_072, 8, 64, 1.0);
    }

    static Team team(String name, int queueLimit, Guarantee... guarantees) {
        return new Team(name, List.of(guarantees), 1, 1_000, queueLimit);
    }

    static Guarantee guarantee(Shape shape, int count) {
        return new Guarantee(shape, count, PLAIN);
    }

    static Shape shape(int parts, int accelerators, Level level) {
        return new Shape(parts, new PartResources(accelerators, 0, 1, 0), level);
    }

    static Template template(Shape shape, boolean checkpointable) {
        return new Template("t", WorkKind.JOB, shape, PLAIN, List.of(), 60_000, checkpointable, 5, "run");
    }

    JobRequest request(String job, String team, Shape shape) {
        return request(job, team, template(shape, true), true, false);
    }

    JobRequest request(String job, String team, Template template, boolean idempotent, boolean urgent) {
        return new JobRequest(
                new JobIdentifier(job), team, template, idempotent, urgent, nowMilliseconds, Long.MAX_VALUE);
    }

    List<PolicyDecision> submit(JobRequest request) {
        return send(new PolicyEvent.JobSubmitted(request));
    }

    List<PolicyDecision> send(PolicyEvent event) {
        List<PolicyDecision> made = scheduler.handle(event, nowMilliseconds);
        decisions.addAll(made);
        return made;
    }

    List<PolicyDecision> started(String job, int number) {
        return send(new PolicyEvent.AttemptStarted(attempt(job, number)));
    }

    List<PolicyDecision> ended(String job, int number, AttemptResult result, String... servers) {
        return send(new PolicyEvent.AttemptEnded(attempt(job, number), result, List.of(servers)));
    }

    List<PolicyDecision> tick(long milliseconds) {
        nowMilliseconds += milliseconds;
        return send(new PolicyEvent.Tick());
    }

    static AttemptIdentifier attempt(String job, int number) {
        return new AttemptIdentifier(new JobIdentifier(job), number);
    }

    static List<Place> places(List<PolicyDecision> made) {
        return made.stream()
                .filter(Place.class::isInstance)
                .map(Place.class::cast)
                .toList();
    }

    static List<Preempt> preemptions(List<PolicyDecision> made) {
        return made.stream()
                .filter(Preempt.class::isInstance)
                .map(Preempt.class::cast)
                .toList();
    }

    static List<EndJob> ends(List<PolicyDecision> made) {
        return made.stream()
                .filter(EndJob.class::isInstance)
                .map(EndJob.class::cast)
                .toList();
    }
}
