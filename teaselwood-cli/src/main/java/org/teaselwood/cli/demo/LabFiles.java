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
    /** The jobs of the demo with the teams that submit them. */
    static final Map<String, String> JOBS = new TreeMap<>(Map.of(
            "dawn-rota", "winding-desk",
            "tower-clock-drift", "escapement-workshop",
            "cathedral-chime", "carillon",
            "market-chime", "public-clocks"));

    private static final String SUFFIX = ".ini";
    private static final long REQUEST_MILLISECONDS = 800;
    private static final long JOB_MILLISECONDS = 2_000;

    private final Path directory;

    /** Files below a directory. */
    public LabFiles(Path directory) {
        this.directory = directory;
    }

    /**
     * The Lab's declarations with the work that the worker stand-in knows in place of the Lab's: every template runs
     * {@code transform} for seconds instead of minutes.
     */
    Configuration declarations() {
        Configuration declared = DeclarationReader.read(directory.resolve("declarations" + SUFFIX));
        Map<String, Template> templates = new TreeMap<>();
        declared.templates().forEach((name, template) -> templates.put(name, forStandIn(template)));
        return new Configuration(declared.revision(), templates, declared.teams(), declared.serverStates());
    }

    /** Settings of the entries, one for each data centre. */
    List<EntrySettings> entries() {
        return readAll("entries", EntrySettings::read);
    }

    /** Settings of the agents. */
    List<AgentSettings> agents() {
        return readAll("agents", AgentSettings::read);
    }

    /** A submission of a job of the Lab, with a request key of its own. */
    JobSubmission submission(String job) {
        SubmissionFile file = SubmissionFile.read(directory.resolve("jobs").resolve(job + SUFFIX));
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

    private static Template forStandIn(Template template) {
        long runMilliseconds = template.kind() == WorkKind.JOB ? JOB_MILLISECONDS : REQUEST_MILLISECONDS;
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
            return files.filter(file -> file.toString().endsWith(SUFFIX))
                    .sorted()
                    .map(reader)
                    .toList();
        } catch (IOException exception) {
            throw new CommandException(ExitCode.BAD_SETTINGS, directory.resolve(name) + " cannot be read");
        }
    }
}
