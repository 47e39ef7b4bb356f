package org.teaselwood.model;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Job template with a shape and parameter rules, published by operators. Immutable.
 *
 * @param name unique name
 * @param kind whether jobs of the template are long jobs or short requests
 * @param shape number, resources and topology level of the parts
 * @param capabilities capabilities required of each backend server
 * @param parameters validation rules of the parameters
 * @param declaredRunMilliseconds declared run time; a hint that is never the only basis of a decision
 * @param checkpointable whether tasks can be checkpointed and resumed
 * @param maximumAttempts maximum number of attempts of a repeatable job
 * @param command command that the worker runs
 */
public record Template(
        String name,
        WorkKind kind,
        Shape shape,
        Set<String> capabilities,
        List<ParameterRule> parameters,
        long declaredRunMilliseconds,
        boolean checkpointable,
        int maximumAttempts,
        String command) {
    /** Copies the collections; sets iterate in sorted order, so that decisions are reproducible. */
    public Template {
        capabilities = Collections.unmodifiableSet(new TreeSet<>(capabilities));
        parameters = List.copyOf(parameters);
    }

    /**
     * Validates the given parameters against the rules and adds default values.
     *
     * @return all parameters, in name order
     * @throws TeaselwoodException of kind BAD_PARAMETER if a parameter is missing, unknown or invalid
     */
    public Map<String, String> resolveParameters(Map<String, String> given) {
        Map<String, String> resolved = new TreeMap<>();
        given.keySet().stream()
                .filter(name ->
                        parameters.stream().noneMatch(rule -> rule.name().equals(name)))
                .sorted()
                .findFirst()
                .ifPresent(name -> {
                    throw TeaselwoodException.of(ErrorKind.BAD_PARAMETER, name, "the template has no such parameter");
                });
        parameters.forEach(rule -> resolved.put(rule.name(), resolve(rule, given.get(rule.name()))));
        return resolved;
    }

    private static String resolve(ParameterRule rule, String given) {
        if (given == null) {
            return rule.defaultValue()
                    .orElseThrow(() ->
                            TeaselwoodException.of(ErrorKind.BAD_PARAMETER, rule.name(), "the parameter is required"));
        }
        if (!rule.accepts(given)) {
            throw TeaselwoodException.of(
                    ErrorKind.BAD_PARAMETER, rule.name(), "the value does not match " + rule.pattern());
        }
        return given;
    }
}
