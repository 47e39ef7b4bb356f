package org.teaselwood.cli;

import com.beust.jcommander.ParametersDelegate;
import io.vertx.core.json.JsonObject;

/** Base class of the commands that send requests to an entry. */
abstract class ClientCommand implements Command {
    @ParametersDelegate
    private final ClientOptions options = new ClientOptions();

    @Override
    public final ExitCode run(Console console) {
        try (EntryClient client = new EntryClient(options)) {
            return run(client, console);
        }
    }

    @Override
    public final boolean help() {
        return options.help();
    }

    @Override
    public final boolean json() {
        return options.json();
    }

    /** Runs the command with a client that the caller closes afterwards. */
    abstract ExitCode run(EntryClient client, Console console);

    /** Writes the JSON if {@code --json} was given, and the text otherwise. */
    final void write(Console console, JsonObject json, String text) {
        if (json()) {
            console.json(json);
        } else {
            console.line(text);
        }
    }

    /** Returns a one-line description of a job. */
    static String describe(JsonObject job) {
        StringBuilder text = new StringBuilder(job.getString("job"))
                .append(' ')
                .append(job.getString("state"))
                .append(" (")
                .append(job.getString("team"))
                .append(", ")
                .append(job.getString("template"))
                .append(", ")
                .append(job.getInteger("progressPercent"))
                .append(" %, outcome ")
                .append(job.getString("outcome"))
                .append(')');
        if (job.containsKey("message")) {
            text.append(": ").append(job.getString("message"));
        }
        return text.toString();
    }
}
