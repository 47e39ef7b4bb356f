package org.teaselwood.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;

/**
 * Output streams of a command. Immutable.
 *
 * @param output stream for results
 * @param errors stream for errors and notes
 */
public record Console(PrintStream output, PrintStream errors) {
    /** Writes a line of the result. */
    public void line(String text) {
        output.println(text);
    }

    /** Writes a result as JSON. */
    public void json(JsonObject json) {
        output.println(json.encodePrettily());
    }

    /** Writes an error message, prefixed with the program name. */
    public void error(String text) {
        errors.println("teaselwood: " + text);
    }
}
