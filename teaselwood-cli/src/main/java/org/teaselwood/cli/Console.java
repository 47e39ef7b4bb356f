package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;

/**
 * Where a command writes. Immutable.
 *
 * @param output results
 * @param errors errors and remarks
 */
public record Console(PrintStream output, PrintStream errors) {
    /** Writes a line of the result. */
    public void line(String text) {
        output.println(text);
    }

    /** Writes a result in JSON. */
    public void json(JsonObject json) {
        output.println(json.encodePrettily());
    }

    /** Writes an error. */
    public void error(String text) {
        errors.println("teaselwood: " + text);
    }
}
