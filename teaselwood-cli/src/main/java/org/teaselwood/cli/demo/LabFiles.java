package org.teaselwood.cli.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Function;
import java.util.stream.Stream;
import org.teaselwood.cli.CommandException;
import org.teaselwood.cli.ExitCode;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.settings.AgentSettings;
import org.teaselwood.settings.EntrySettings;
import org.teaselwood.standins.worker.BuiltInCommand;
import org.teaselwood.store.declaration.DeclarationReader;
import org.teaselwood.store.declaration.SubmissionFile;

/** The files of the Lab below {@code examples/lab}: declarations, settings and jobs. Immutable. */
public final class LabFiles {
    /** Names of the demo jobs with the teams that submit them. */
    static final Map<String, String> JOBS = new TreeMap<>(Map.of(
            "dawn-rota", "winding-desk",
            "tower-clock-drift", "escapement-workshop",
            "cathedral-chime", "carillon",
            "market-chime", "public-clocks"));

    private static final String INI_SUFFIX = ".ini";
    private static final long REQUEST_RUN_MILLISECONDS = 800;
    private static final long JOB_RUN_MILLISECONDS = 2_000;

    private final Path directory;

    /** Creates an accessor for the files below a directory. */
    public LabFiles(Path directory) {
        this.directory = directory;
    }

    /**
     * Returns the Lab's declarations with the command of every template replaced by {@code transform}, which the worker
     * stand-in can run, and with run times of seconds instead of minutes.
     */
    Configuration declarations() {
        Configuration declared = DeclarationReader.read(directory.resolve("declarations" + INI_SUFFIX));
        Map<String, Template> templates = new TreeMap<>();
        declared.templates().forEach((name, template) -> templates.put(name, withStandInCommand(template)));
        return new Configuration(declared.revision(), templates, declared.teams(), declared.serverStates());
    }

    /** Reads the settings of the entries, one for each data centre. */
    List<EntrySettings> entries() {
        return readAll("entries", EntrySettings::read);
    }

    /** Reads the settings of the agents. */
    List<AgentSettings> agents() {
        return readAll("agents", AgentSettings::read);
    }

    /** Reads the submission of a demo job and gives it a new request key. */
    JobSubmission submission(String job) {
        SubmissionFile file = SubmissionFile.read(directory.resolve("jobs").resolve(job + INI_SUFFIX));
        return new JobSubmission(
                UUID.randomUUID().toString(),
                true,
                JOBS.get(job),
                file.template(),
                file.parameters(),
                file.deadlineMilliseconds(),
                file.repeatable(),
                file.urgent());
    }

    private static Template withStandInCommand(Template template) {
        long runMilliseconds = template.kind() == WorkKind.JOB ? JOB_RUN_MILLISECONDS : REQUEST_RUN_MILLISECONDS;
        List<ParameterRule> rules = new ArrayList<>(template.parameters());
        rules.add(new ParameterRule(
                BuiltInCommand.RUN_MILLISECONDS, "[0-9]{1,6}", Optional.of(Long.toString(runMilliseconds))));
        return new Template(
                template.name(),
                template.kind(),
                template.shape(),
                template.capabilities(),
                rules,
                runMilliseconds,
                template.checkpointable(),
                template.maximumAttempts(),
                BuiltInCommand.TRANSFORM.commandName());
    }

    private <T> List<T> readAll(String name, Function<Path, T> reader) {
        try (Stream<Path> files = Files.list(directory.resolve(name))) {
            return files.filter(file -> file.toString().endsWith(INI_SUFFIX))
                    .sorted()
                    .map(reader)
                    .toList();
        } catch (IOException exception) {
            throw new CommandException(ExitCode.BAD_SETTINGS, directory.resolve(name) + " cannot be read");
        }
    }
}
