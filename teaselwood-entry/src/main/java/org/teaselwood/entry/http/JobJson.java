package org.teaselwood.entry.http;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.UUID;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.JobView;
import org.teaselwood.protocol.message.Principal;

/** Conversion of jobs and submissions to and from JSON. Stateless and thread-safe. */
public final class JobJson {
    private static final int MAXIMUM_KEY_CHARACTERS = 200;
    private static final int MAXIMUM_PARAMETERS = 256;
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 30L * 24 * 3_600_000;

    private JobJson() {}

    /**
     * Returns the submission of a request body. A random request key is generated if the key is missing. The team
     * of the token is used if the team is missing, except for operators, who must name a team.
     *
     * @throws TeaselwoodException of kind BAD_REQUEST if a field is missing, unknown or invalid
     */
    public static JobSubmission submissionOf(JsonFields fields, Principal principal) {
        JobSubmission submission = new JobSubmission(
                fields.optionalText("requestKey")
                        .orElseGet(() -> UUID.randomUUID().toString()),
                fields.optionalText("requestKey").isPresent(),
                principal.operator()
                        ? fields.text("team")
                        : fields.optionalText("team").orElse(principal.team()),
                fields.text("template"),
                fields.textMap("parameters"),
                fields.number("deadlineMilliseconds", 0, 0, MAXIMUM_DEADLINE_MILLISECONDS),
                fields.flag("repeatable", true),
                fields.flag("urgent", false));
        fields.rejectUnknownFields();
        if (submission.requestKey().isEmpty() || submission.requestKey().length() > MAXIMUM_KEY_CHARACTERS) {
            throw TeaselwoodException.of(
                    ErrorKind.BAD_REQUEST, "requestKey must have 1 to " + MAXIMUM_KEY_CHARACTERS + " characters");
        }
        if (submission.parameters().size() > MAXIMUM_PARAMETERS) {
            throw TeaselwoodException.of(
                    ErrorKind.BAD_REQUEST, "at most " + MAXIMUM_PARAMETERS + " parameters are allowed");
        }
        return submission;
    }

    /** Returns the JSON of a submission as a client sends it; with an empty team, the server uses that of the token. */
    public static JsonObject of(JobSubmission submission) {
        JsonObject parameters = new JsonObject();
        submission.parameters().forEach(parameters::put);
        return new JsonObject()
                .put("requestKey", submission.requestKey())
                .put("team", submission.team().isEmpty() ? null : submission.team())
                .put("template", submission.template())
                .put("parameters", parameters)
                .put("deadlineMilliseconds", submission.deadlineMilliseconds())
                .put("repeatable", submission.repeatable())
                .put("urgent", submission.urgent());
    }

    /** Returns the JSON of a job for its caller. */
    public static JsonObject of(JobView view) {
        JsonObject json = new JsonObject()
                .put("job", view.job().value())
                .put("region", view.region())
                .put("requestKey", view.requestKey())
                .put("team", view.team())
                .put("template", view.template())
                .put("state", code(view.state()))
                .put("final", view.state().isFinal())
                .put("outcome", code(view.outcome()))
                .put("version", view.version())
                .put("attempt", view.attempt())
                .put("progressPercent", view.progressPercent())
                .put("submittedMilliseconds", view.submittedMilliseconds())
                .put("startedMilliseconds", view.startedMilliseconds())
                .put("finishedMilliseconds", view.finishedMilliseconds())
                .put("durable", view.durable());
        if (!view.errorKind().isEmpty()) {
            json.put("errorKind", view.errorKind());
        }
        if (!view.message().isEmpty()) {
            json.put("message", view.message());
        }
        if (view.answerLength() >= 0) {
            json.put("answerLength", view.answerLength()).put("answerCrc32c", checksum(view.answerChecksum()));
        }
        return json;
    }

    /** Returns the name of a constant in lower case with hyphens. */
    public static String code(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns a CRC-32C as eight hexadecimal digits. */
    public static String checksum(int value) {
        return String.format("%08x", value);
    }
}
