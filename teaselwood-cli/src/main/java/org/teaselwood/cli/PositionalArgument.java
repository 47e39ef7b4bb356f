package org.teaselwood.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Refuses a misspelt option where a command takes a file or a name. */
public final class PositionalArgument implements IParameterValidator {
    @Override
    public void validate(String name, String value) {
        if (value.startsWith("-")) {
            throw new ParameterException("unknown option " + value);
        }
    }
}
