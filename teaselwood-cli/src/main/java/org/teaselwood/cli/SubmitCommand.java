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

/** Submits a job given by a file or by options, and waits for its final state if {@code --wait} is given. */
@Parameters(commandDescription = "Submit a job")
final class SubmitCommand extends ClientCommand {
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    @Parameter(
            description = "[FILE]: INI file with the sections [submission] and [parameters]",
            validateWith = PositionalArgument.class)
    private String file;

    @Parameter(names = "--team", description = "Team (default: the team of the token)")
    private String team = "";

    @Parameter(names = "--template", description = "Template; overrides the file")
    private String template;

    @DynamicParameter(names = "-P", description = "Parameter as -Pname=value; overrides the file")
    private Map<String, String> parameters = new HashMap<>();

    @Parameter(names = "--key", description = "Request key; submissions with the same key create only one job")
    private String key;

    @Parameter(names = "--deadline-seconds", description = "Time after which the job is not started")
    private long deadlineSeconds;

    @Parameter(names = "--not-repeatable", description = "The job must run at most once")
    private boolean notRepeatable;

    @Parameter(names = "--urgent", description = "The job belongs to the urgent class")
    private boolean urgent;

    @Parameter(names = "--wait", description = "Wait for the final state; the exit code is 1 unless the job succeeds")
    private boolean wait;

    @Parameter(names = "--timeout-seconds", description = "Maximum time to wait")
    private long timeoutSeconds = 86_400;

    @Override
    ExitCode run(EntryClient client, Console console) {
        JsonObject job = client.submit(submission());
        if (!wait) {
            write(console, job, describe(job));
            return ExitCode.OK;
        }
        JsonObject lastState = new JobWaiter(client, state -> {})
                .waitFor(job.getString("job"), timeoutSeconds * MILLISECONDS_PER_SECOND);
        write(console, lastState, describe(lastState));
        return "succeeded".equals(lastState.getString("state")) ? ExitCode.OK : ExitCode.FAILED;
    }

    private JobSubmission submission() {
        SubmissionFile submissionFile = file == null
                ? new SubmissionFile(requiredTemplate(), true, false, 0, Map.of())
                : SubmissionFile.read(Path.of(file));
        Map<String, String> mergedParameters = new TreeMap<>(submissionFile.parameters());
        mergedParameters.putAll(parameters);
        return new JobSubmission(
                key == null ? UUID.randomUUID().toString() : key,
                true,
                team,
                template == null ? submissionFile.template() : template,
                mergedParameters,
                deadlineSeconds > 0 ? deadlineSeconds * MILLISECONDS_PER_SECOND : submissionFile.deadlineMilliseconds(),
                submissionFile.repeatable() && !notRepeatable,
                submissionFile.urgent() || urgent);
    }

    private String requiredTemplate() {
        if (template == null) {
            throw new CommandException(ExitCode.USAGE, "either FILE or --template is required");
        }
        return template;
    }
}
