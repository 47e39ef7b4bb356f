package org.teaselwood.model;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Rule for one parameter of a template. Immutable.
 *
 * @param name name of the parameter
 * @param pattern what the whole value must match
 * @param defaultValue value of an omitted parameter; without one the parameter is required
 */
public record ParameterRule(String name, String pattern, Optional<String> defaultValue) {
    /** Whether a value satisfies the rule. */
    public boolean accepts(String value) {
        return Pattern.matches(pattern, value);
    }
}
