package org.teaselwood.model;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A job shape with parameters, published by operators. Immutable.
 *
 * @param name unique name
 * @param kind long job or short request
 * @param shape what the work takes
 * @param capabilities what each backend server must be able to do
 * @param parameters rules of the parameters
 * @param declaredRunMilliseconds declared run time; a hint that is never trusted alone
 * @param checkpointable whether the work can be checkpointed and resumed
 * @param attempts most attempts for a repeatable job
 * @param command what the worker runs
 */
public record Template(
        String name,
        WorkKind kind,
        Shape shape,
        Set<String> capabilities,
        List<ParameterRule> parameters,
        long declaredRunMilliseconds,
        boolean checkpointable,
        int attempts,
        String command) {
    /** Copies the collections; sets iterate in order of their elements, so that runs are reproducible. */
    public Template {
        capabilities = Collections.unmodifiableSet(new TreeSet<>(capabilities));
        parameters = List.copyOf(parameters);
    }

    /**
     * Checks given parameters against the rules and adds defaults.
     *
     * @return all parameters, ordered by name
     * @throws TeaselwoodException of kind BAD_PARAMETER for a missing, unknown or ill-formed parameter
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
