package org.teaselwood.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Rejects positional arguments that begin with a hyphen, which are misspelt options. */
public final class PositionalArgument implements IParameterValidator {
    @Override
    public void validate(String name, String value) {
        if (value.startsWith("-")) {
            throw new ParameterException("unknown option " + value);
        }
    }
}
