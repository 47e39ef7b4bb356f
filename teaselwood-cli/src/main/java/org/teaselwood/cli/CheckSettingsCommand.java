package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.settings.AgentSettings;
import org.teaselwood.settings.EntrySettings;
import org.teaselwood.settings.IniDocument;
import org.teaselwood.settings.WorkloadSettings;

/** Validates a settings file of an entry or an agent without starting a process. */
@Parameters(commandDescription = "Validate a settings file of an entry or an agent")
final class CheckSettingsCommand implements Command {
    private static final String AGENT_SECTION = "agent";
    private static final String NODE_SECTION = "node";

    @Parameter(description = "FILE", validateWith = PositionalArgument.class, required = true)
    private String file;

    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean help;

    @Override
    public ExitCode run(Console console) {
        IniDocument document = IniDocument.read(Path.of(file), ErrorKind.BAD_SETTING);
        if (document.find(AGENT_SECTION).isPresent()) {
            AgentSettings.of(document);
        } else if (document.find(NODE_SECTION).isPresent()) {
            WorkloadSettings.of(document);
        } else {
            EntrySettings.of(document);
        }
        console.line(file + ": valid");
        return ExitCode.OK;
    }

    @Override
    public boolean help() {
        return help;
    }
}
