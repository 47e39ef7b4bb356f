package org.teaselwood.model;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validation rule for one parameter of a template. Immutable.
 *
 * @param name name of the parameter
 * @param pattern regular expression that the entire value must match
 * @param defaultValue value used if the parameter is omitted; empty for a required parameter
 */
public record ParameterRule(String name, String pattern, Optional<String> defaultValue) {
    /** Returns whether a value satisfies the rule. */
    public boolean accepts(String value) {
        return Pattern.matches(pattern, value);
    }
}
