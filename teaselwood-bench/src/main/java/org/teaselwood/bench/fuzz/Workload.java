package org.teaselwood.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.Level;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.TaskSpecification;

/** Templates, teams and expected answers of a fuzzing run. Stateless. */
final class Workload {
    /** Number of accelerators of every backend server. */
    static final int ACCELERATORS = 4;

    /** Name of the team with guarantees. */
    static final String GUARANTEED_TEAM = "guaranteed";

    /** Name of the team without guarantees, whose work is all borrowed. */
    static final String BORROWING_TEAM = "borrowing";

    /** Template of the guaranteed shape: a gang of two parts that each occupy a whole server. */
    static final Template GANG = job("gang", new Shape(2, PartResources.ofAccelerators(4), Level.REGION), false);

    /** Template of small checkpointable jobs. */
    static final Template SMALL = job("small", new Shape(1, PartResources.ofAccelerators(1), Level.SERVER), true);

    /** Template of short requests. */
    static final Template SHORT = new Template(
            "short",
            WorkKind.REQUEST,
            new Shape(1, new PartResources(0, 1, 0, 0), Level.SERVER),
            Set.of(),
            rules(),
            500,
            false,
            3,
            "answer");

    /** All templates. */
    static final List<Template> TEMPLATES = List.of(GANG, SMALL, SHORT);

    private static final String RUN_MILLISECONDS = "milliseconds";
    private static final String FAILS = "fails";

    private Workload() {}

    /** Returns the initial configuration of a run. */
    static ConfigurationChange initialConfiguration() {
        return new ConfigurationChange(
                "change-first",
                0,
                TEMPLATES,
                List.of(),
                List.of(
                        new Team(
                                GUARANTEED_TEAM,
                                List.of(
                                        new Guarantee(GANG.shape(), 1, Set.of()),
                                        new Guarantee(SMALL.shape(), 2, Set.of()),
                                        new Guarantee(SHORT.shape(), 4, Set.of())),
                                1,
                                100,
                                200),
                        new Team(BORROWING_TEAM, List.of(), 1, 100, 200)),
                List.of(),
                Map.of());
    }

    /** Returns a change of the service state of one backend server. */
    static ConfigurationChange stateChange(String identifier, long baseRevision, String server, ServiceState state) {
        return new ConfigurationChange(
                identifier, baseRevision, List.of(), List.of(), List.of(), List.of(), Map.of(server, state));
    }

    static Map<String, String> parameters(long runMilliseconds, boolean fails) {
        Map<String, String> parameters = new TreeMap<>();
        parameters.put(RUN_MILLISECONDS, Long.toString(runMilliseconds));
        parameters.put(FAILS, Boolean.toString(fails));
        return parameters;
    }

    static long runMilliseconds(TaskSpecification specification) {
        return Long.parseLong(specification.parameters().get(RUN_MILLISECONDS));
    }

    static boolean fails(TaskSpecification specification) {
        return Boolean.parseBoolean(specification.parameters().get(FAILS));
    }

    /** Returns the answer of one part. */
    static byte[] partAnswer(TaskSpecification specification, int part) {
        return partAnswer(specification.team(), specification.requestKey(), part);
    }

    /** Returns the expected answer of a whole job, computed independently of the system under test. */
    static byte[] expectedAnswer(String team, String requestKey, Template template) {
        StringBuilder text = new StringBuilder();
        for (int part = 0; part < template.shape().parts(); part++) {
            text.append(new String(partAnswer(team, requestKey, part), StandardCharsets.UTF_8));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] partAnswer(String team, String requestKey, int part) {
        return ("[" + team + " " + requestKey + " " + part + "]").getBytes(StandardCharsets.UTF_8);
    }

    private static Template job(String name, Shape shape, boolean checkpointable) {
        return new Template(name, WorkKind.JOB, shape, Set.of(), rules(), 5_000, checkpointable, 3, "answer");
    }

    private static List<ParameterRule> rules() {
        return List.of(
                new ParameterRule(RUN_MILLISECONDS, "[0-9]{1,7}", Optional.empty()),
                new ParameterRule(FAILS, "true|false", Optional.of("false")));
    }
}
