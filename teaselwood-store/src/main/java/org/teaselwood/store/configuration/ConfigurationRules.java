package org.teaselwood.store.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import java.util.stream.Collectors;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.settings.ValueTypes;

/**
 * Validation rules for the names and values of a configuration, whether from a file or from an operator's request.
 * Whether the guarantees can be packed is checked elsewhere, because it depends on the backend servers. Thread-safe.
 */
public final class ConfigurationRules {
    private static final int MOST_SHOWN = 20;
    private static final int MOST_ITEMS = 64;
    private static final int MOST_CHARACTERS = 1_024;
    private static final int MOST = 65_536;
    private static final int MOST_ATTEMPTS = 16;
    private static final long LONGEST_RUN_MILLISECONDS = 90L * 86_400_000;

    private ConfigurationRules() {}

    /**
     * A violation of a rule. Immutable.
     *
     * @param section section of a declarations file that holds the value
     * @param key key within the section, empty for the section as a whole
     * @param text description of the violation
     */
    public record Problem(String section, String key, String text) {
        @Override
        public String toString() {
            return "[" + section + "]" + (key.isEmpty() ? "" : " " + key) + ": " + text;
        }
    }

    /**
     * Checks that a configuration satisfies the rules.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION with one line for each violation, at most
     *     {@value #MOST_SHOWN} lines
     */
    public static void require(Configuration configuration) {
        List<Problem> problems = check(configuration);
        if (!problems.isEmpty()) {
            throw TeaselwoodException.of(
                    ErrorKind.BAD_CONFIGURATION,
                    problems.stream().limit(MOST_SHOWN).map(Problem::toString).collect(Collectors.joining("\n")));
        }
    }

    /** Returns all violations in a configuration. */
    public static List<Problem> check(Configuration configuration) {
        List<Problem> problems = new ArrayList<>();
        configuration.templates().forEach((name, template) -> {
            requireName(problems, "template " + name, name.equals(template.name()) ? name : "");
            checkTemplate(problems, template);
        });
        configuration.teams().forEach((name, team) -> {
            requireName(problems, "team " + name, name.equals(team.name()) ? name : "");
            checkTeam(problems, team);
        });
        configuration.serverStates().keySet().forEach(name -> requireName(problems, "server " + name, name));
        return List.copyOf(problems);
    }

    /** Returns the states without IN_SERVICE, which is the default and is not stored. */
    public static Map<String, ServiceState> withoutServersInService(Map<String, ServiceState> states) {
        Map<String, ServiceState> published = new TreeMap<>(states);
        published.values().removeIf(state -> state == ServiceState.IN_SERVICE);
        return published;
    }

    private static void checkTemplate(List<Problem> problems, Template template) {
        String section = "template " + template.name();
        checkShape(problems, section, template.shape());
        template.capabilities().forEach(name -> requireName(problems, section, name));
        requireRange(problems, section, "attempts", template.attempts(), 1, MOST_ATTEMPTS);
        requireRange(problems, section, "run-time", template.declaredRunMilliseconds(), 1, LONGEST_RUN_MILLISECONDS);
        requireLine(problems, section, "command", template.command());
        requireRange(problems, section, "", template.parameters().size(), 0, MOST_ITEMS);
        long names = template.parameters().stream()
                .map(ParameterRule::name)
                .distinct()
                .count();
        require(problems, names == template.parameters().size(), section, "", "duplicate parameter name");
        template.parameters().forEach(rule -> checkParameter(problems, template.name(), rule));
        if (template.kind() == WorkKind.REQUEST) {
            Shape shape = template.shape();
            require(problems, shape.parts() == 1, section, "parts", "a request must have exactly one part");
            require(problems, shape.part().slots() >= 1, section, "slots", "a request must use at least one slot");
        }
    }

    private static void checkParameter(List<Problem> problems, String template, ParameterRule rule) {
        String section = "parameter " + template + " " + rule.name();
        requireName(problems, section, rule.name());
        requireLine(problems, section, "pattern", rule.pattern());
        try {
            Pattern.compile(rule.pattern());
            rule.defaultValue().ifPresent(value -> {
                require(problems, rule.accepts(value), section, "default", "the default does not match the pattern");
                requireLine(problems, section, "default", value);
            });
        } catch (PatternSyntaxException exception) {
            problems.add(new Problem(section, "pattern", "not a regular expression: " + exception.getDescription()));
        }
    }

    private static void checkTeam(List<Problem> problems, Team team) {
        String section = "team " + team.name();
        requireRange(problems, section, "weight", team.weight(), 1, MOST);
        requireRange(problems, section, "accelerator-quota", team.acceleratorQuota(), 0, MOST);
        requireRange(problems, section, "queue-limit", team.queueLimit(), 1, MOST);
        requireRange(problems, section, "", team.guarantees().size(), 0, MOST_ITEMS);
        long guaranteed = 0;
        for (int index = 0; index < team.guarantees().size(); index++) {
            Guarantee guarantee = team.guarantees().get(index);
            String guaranteeSection = "guarantee " + team.name() + " " + (index + 1);
            checkShape(problems, guaranteeSection, guarantee.shape());
            requireRange(problems, guaranteeSection, "count", guarantee.count(), 1, MOST);
            guarantee.capabilities().forEach(name -> requireName(problems, guaranteeSection, name));
            guaranteed += (long) guarantee.count() * guarantee.shape().totalAccelerators();
        }
        require(
                problems,
                guaranteed <= team.acceleratorQuota(),
                section,
                "accelerator-quota",
                "the guarantees total " + guaranteed + " accelerators, which exceeds the quota");
    }

    private static void checkShape(List<Problem> problems, String section, Shape shape) {
        requireRange(problems, section, "accelerators", shape.part().accelerators(), 0, MOST);
        requireRange(problems, section, "slots", shape.part().slots(), 0, MOST);
        requireRange(problems, section, "cores", shape.part().cores(), 0, MOST);
        boolean takesSomething = shape.part().accelerators()
                        + shape.part().slots()
                        + shape.part().cores()
                > 0;
        require(problems, takesSomething, section, "", "a part must use accelerators, slots or cores");
    }

    private static void requireName(List<Problem> problems, String section, String name) {
        require(problems, ValueTypes.isName(name), section, "", "'" + name + "' is not a valid name");
    }

    /** Checks that a text can be written on one line of a declarations file. */
    private static void requireLine(List<Problem> problems, String section, String key, String text) {
        require(problems, text.length() <= MOST_CHARACTERS, section, key, "longer than " + MOST_CHARACTERS);
        require(problems, ValueTypes.isWritable(text), section, key, "cannot be written on one line of a file");
    }

    private static void requireRange(
            List<Problem> problems, String section, String key, long value, long lowest, long highest) {
        require(
                problems,
                value >= lowest && value <= highest,
                section,
                key,
                value + " is not within " + lowest + " to " + highest);
    }

    private static void require(List<Problem> problems, boolean condition, String section, String key, String text) {
        if (!condition) {
            problems.add(new Problem(section, key, text));
        }
    }
}
