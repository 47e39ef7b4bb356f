package org.teaselwood.store.declaration;

import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.settings.IniDocument;
import org.teaselwood.settings.SectionSchema;
import org.teaselwood.settings.SectionValues;
import org.teaselwood.settings.Setting;
import org.teaselwood.settings.ValidationErrors;
import org.teaselwood.settings.ValueTypes;

/**
 * A job submission in a file: the template and the parameters that the team sets. Immutable.
 *
 * <p>Sections: {@code [submission]} and {@code [parameters]}, whose keys are the parameters of the template.
 *
 * @param template name of the template
 * @param repeatable whether the job is idempotent and may run more than once
 * @param urgent whether the job belongs to the urgent class
 * @param deadlineMilliseconds time after submission from which the job is no longer started; 0 for no deadline
 * @param parameters parameters by name
 */
public record SubmissionFile(
        String template,
        boolean repeatable,
        boolean urgent,
        long deadlineMilliseconds,
        Map<String, String> parameters) {
    private static final String SUBMISSION = "submission";
    private static final String PARAMETERS = "parameters";
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 90L * 86_400_000;

    private static final Setting<String> TEMPLATE = Setting.required("template", ValueTypes.name());
    private static final Setting<Boolean> REPEATABLE = Setting.withDefault("repeatable", ValueTypes.flag(), false);
    private static final Setting<Boolean> URGENT = Setting.withDefault("urgent", ValueTypes.flag(), false);
    private static final Setting<Long> DEADLINE =
            Setting.withDefault("deadline", ValueTypes.duration(1, MAXIMUM_DEADLINE_MILLISECONDS), 0L);
    private static final SectionSchema SCHEMA = SectionSchema.of(TEMPLATE, REPEATABLE, URGENT, DEADLINE);

    /** Copies the map. */
    public SubmissionFile {
        parameters = Collections.unmodifiableMap(new TreeMap<>(parameters));
    }

    /**
     * Reads and validates a file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with file, line, section and key of every
     *     error
     */
    public static SubmissionFile read(Path path) {
        return of(IniDocument.read(path, ErrorKind.BAD_SETTING));
    }

    /**
     * Validates a parsed file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with file, line, section and key of every
     *     error
     */
    public static SubmissionFile of(IniDocument document) {
        ValidationErrors errors = new ValidationErrors(document.file());
        Map<String, String> parameters = new TreeMap<>();
        SectionValues values = null;
        for (IniDocument.Section section : document.sections()) {
            switch (section.name()) {
                case SUBMISSION -> values = SCHEMA.parse(section, errors);
                case PARAMETERS -> parameters.putAll(SectionSchema.parseMap(section, text -> text, errors));
                default -> errors.add(section.name(), "", section.line(), "unknown section");
            }
        }
        if (values == null) {
            errors.add(SUBMISSION, "", 0, "the section is missing");
        }
        errors.throwIfAny(ErrorKind.BAD_SETTING);
        return new SubmissionFile(
                values.get(TEMPLATE), values.get(REPEATABLE), values.get(URGENT), values.get(DEADLINE), parameters);
    }
}
