package org.teaselwood.cli;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.store.declaration.SubmissionFile;

/** Submits a job, from a file or from options, and waits for it if asked to. */
@Parameters(commandDescription = "Submit a job")
final class SubmitCommand extends ClientCommand {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    @Parameter(
            description = "[FILE]: INI file with the sections [submission] and [parameters]",
            validateWith = PositionalArgument.class)
    private String file;

    @Parameter(names = "--team", description = "Team (default: the one that the token belongs to)")
    private String team = "";

    @Parameter(names = "--template", description = "Template; replaces the one of the file")
    private String template;

    @DynamicParameter(names = "-P", description = "Parameter as -Pname=value; replaces the one of the file")
    private Map<String, String> parameters = new HashMap<>();

    @Parameter(names = "--key", description = "Request key: the same key means the same submission")
    private String key;

    @Parameter(names = "--deadline-seconds", description = "Do not start the job after this time")
    private long deadlineSeconds;

    @Parameter(names = "--not-repeatable", description = "The job must run at most once")
    private boolean notRepeatable;

    @Parameter(names = "--urgent", description = "The job belongs to the urgent class")
    private boolean urgent;

    @Parameter(names = "--wait", description = "Wait for the final state; exit code 1 unless the job succeeded")
    private boolean wait;

    @Parameter(names = "--timeout-seconds", description = "Longest time to wait")
    private long timeoutSeconds = 86_400;

    @Override
    ExitCode run(EntryClient client, Console console) {
        JsonObject job = client.submit(submission());
        if (!wait) {
            write(console, job, describe(job));
            return ExitCode.OK;
        }
        JsonObject last = new JobWaiter(client, state -> {})
                .waitFor(job.getString("job"), timeoutSeconds * MILLISECONDS_PER_SECOND);
        write(console, last, describe(last));
        return "succeeded".equals(last.getString("state")) ? ExitCode.OK : ExitCode.FAILED;
    }

    private JobSubmission submission() {
        SubmissionFile given = file == null
                ? new SubmissionFile(requiredTemplate(), true, false, 0, Map.of())
                : SubmissionFile.read(Path.of(file));
        Map<String, String> all = new TreeMap<>(given.parameters());
        all.putAll(parameters);
        return new JobSubmission(
                key == null ? UUID.randomUUID().toString() : key,
                true,
                team,
                template == null ? given.template() : template,
                all,
                deadlineSeconds > 0 ? deadlineSeconds * MILLISECONDS_PER_SECOND : given.deadlineMilliseconds(),
                given.repeatable() && !notRepeatable,
                given.urgent() || urgent);
    }

    private String requiredTemplate() {
        if (template == null) {
            throw new CommandException(ExitCode.USAGE, "a file or --template must be given");
        }
        return template;
    }
}
