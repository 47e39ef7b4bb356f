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
    private static final int MAXIMUM_REPORTED_VIOLATIONS = 20;
    private static final int MAXIMUM_LIST_ITEMS = 64;
    private static final int MAXIMUM_TEXT_CHARACTERS = 1_024;
    private static final int MAXIMUM_COUNT = 65_536;
    private static final int MAXIMUM_ATTEMPTS = 16;
    private static final long MAXIMUM_RUN_MILLISECONDS = 90L * 86_400_000;

    private ConfigurationRules() {}

    /**
     * A violation of a rule. Immutable.
     *
     * @param section section of a declarations file that holds the value
     * @param key key within the section, empty for the section as a whole
     * @param text description of the violation
     */
    public record Violation(String section, String key, String text) {
        @Override
        public String toString() {
            return "[" + section + "]" + (key.isEmpty() ? "" : " " + key) + ": " + text;
        }
    }

    /**
     * Checks that a configuration satisfies the rules.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION with one line for each violation, at most
     *     {@value #MAXIMUM_REPORTED_VIOLATIONS} lines
     */
    public static void require(Configuration configuration) {
        List<Violation> violations = check(configuration);
        if (!violations.isEmpty()) {
            throw TeaselwoodException.of(
                    ErrorKind.BAD_CONFIGURATION,
                    violations.stream()
                            .limit(MAXIMUM_REPORTED_VIOLATIONS)
                            .map(Violation::toString)
                            .collect(Collectors.joining("\n")));
        }
    }

    /** Returns all violations in a configuration. */
    public static List<Violation> check(Configuration configuration) {
        List<Violation> violations = new ArrayList<>();
        configuration.templates().forEach((name, template) -> {
            requireName(violations, "template " + name, name.equals(template.name()) ? name : "");
            checkTemplate(violations, template);
        });
        configuration.teams().forEach((name, team) -> {
            requireName(violations, "team " + name, name.equals(team.name()) ? name : "");
            checkTeam(violations, team);
        });
        configuration.serverStates().keySet().forEach(name -> requireName(violations, "server " + name, name));
        return List.copyOf(violations);
    }

    /** Returns the states without IN_SERVICE, which is the default and is not stored. */
    public static Map<String, ServiceState> withoutServersInService(Map<String, ServiceState> states) {
        Map<String, ServiceState> stored = new TreeMap<>(states);
        stored.values().removeIf(state -> state == ServiceState.IN_SERVICE);
        return stored;
    }

    private static void checkTemplate(List<Violation> violations, Template template) {
        String section = "template " + template.name();
        checkShape(violations, section, template.shape());
        template.capabilities().forEach(name -> requireName(violations, section, name));
        requireRange(violations, section, "attempts", template.maximumAttempts(), 1, MAXIMUM_ATTEMPTS);
        requireRange(violations, section, "run-time", template.declaredRunMilliseconds(), 1, MAXIMUM_RUN_MILLISECONDS);
        requireSingleLine(violations, section, "command", template.command());
        requireRange(violations, section, "", template.parameters().size(), 0, MAXIMUM_LIST_ITEMS);
        long names = template.parameters().stream()
                .map(ParameterRule::name)
                .distinct()
                .count();
        require(violations, names == template.parameters().size(), section, "", "duplicate parameter name");
        template.parameters().forEach(rule -> checkParameter(violations, template.name(), rule));
        if (template.kind() == WorkKind.REQUEST) {
            Shape shape = template.shape();
            require(violations, shape.parts() == 1, section, "parts", "a request must have exactly one part");
            require(violations, shape.part().slots() >= 1, section, "slots", "a request must use at least one slot");
        }
    }

    private static void checkParameter(List<Violation> violations, String template, ParameterRule rule) {
        String section = "parameter " + template + " " + rule.name();
        requireName(violations, section, rule.name());
        requireSingleLine(violations, section, "pattern", rule.pattern());
        try {
            Pattern.compile(rule.pattern());
            rule.defaultValue().ifPresent(value -> {
                require(violations, rule.accepts(value), section, "default", "the default does not match the pattern");
                requireSingleLine(violations, section, "default", value);
            });
        } catch (PatternSyntaxException exception) {
            violations.add(
                    new Violation(section, "pattern", "not a regular expression: " + exception.getDescription()));
        }
    }

    private static void checkTeam(List<Violation> violations, Team team) {
        String section = "team " + team.name();
        requireRange(violations, section, "weight", team.weight(), 1, MAXIMUM_COUNT);
        requireRange(violations, section, "accelerator-quota", team.acceleratorQuota(), 0, MAXIMUM_COUNT);
        requireRange(violations, section, "queue-limit", team.queueLimit(), 1, MAXIMUM_COUNT);
        requireRange(violations, section, "", team.guarantees().size(), 0, MAXIMUM_LIST_ITEMS);
        long guaranteed = 0;
        for (int index = 0; index < team.guarantees().size(); index++) {
            Guarantee guarantee = team.guarantees().get(index);
            String guaranteeSection = "guarantee " + team.name() + " " + (index + 1);
            checkShape(violations, guaranteeSection, guarantee.shape());
            requireRange(violations, guaranteeSection, "count", guarantee.count(), 1, MAXIMUM_COUNT);
            guarantee.capabilities().forEach(name -> requireName(violations, guaranteeSection, name));
            guaranteed += (long) guarantee.count() * guarantee.shape().totalAccelerators();
        }
        require(
                violations,
                guaranteed <= team.acceleratorQuota(),
                section,
                "accelerator-quota",
                "the guarantees total " + guaranteed + " accelerators, which exceeds the quota");
    }

    private static void checkShape(List<Violation> violations, String section, Shape shape) {
        requireRange(violations, section, "accelerators", shape.part().accelerators(), 0, MAXIMUM_COUNT);
        requireRange(violations, section, "slots", shape.part().slots(), 0, MAXIMUM_COUNT);
        requireRange(violations, section, "cores", shape.part().cores(), 0, MAXIMUM_COUNT);
        boolean usesResources = shape.part().accelerators()
                        + shape.part().slots()
                        + shape.part().cores()
                > 0;
        require(violations, usesResources, section, "", "a part must use accelerators, slots or cores");
    }

    private static void requireName(List<Violation> violations, String section, String name) {
        require(violations, ValueTypes.isName(name), section, "", "'" + name + "' is not a valid name");
    }

    /** Checks that a text can be written on one line of a declarations file. */
    private static void requireSingleLine(List<Violation> violations, String section, String key, String text) {
        require(
                violations,
                text.length() <= MAXIMUM_TEXT_CHARACTERS,
                section,
                key,
                "the length in characters exceeds " + MAXIMUM_TEXT_CHARACTERS);
        require(violations, ValueTypes.isWritable(text), section, key, "cannot be written on one line of a file");
    }

    private static void requireRange(
            List<Violation> violations, String section, String key, long value, long minimum, long maximum) {
        require(
                violations,
                value >= minimum && value <= maximum,
                section,
                key,
                value + " is not within " + minimum + " to " + maximum);
    }

    private static void require(
            List<Violation> violations, boolean condition, String section, String key, String text) {
        if (!condition) {
            violations.add(new Violation(section, key, text));
        }
    }
}
