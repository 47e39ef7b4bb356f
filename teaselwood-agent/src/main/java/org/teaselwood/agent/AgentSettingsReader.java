package org.teaselwood.agent;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.ex.ConfigurationRuntimeException;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/** Reads the agent's settings from an INI file. */
final class AgentSettingsReader {
    private static final String DEFAULT_WORKER_HOST = "127.0.0.1";

    private AgentSettingsReader() {}

    /**
     * Reads the settings.
     *
     * @throws TeaselwoodException of kind BAD_SETTING
     */
    static AgentSettings read(Path file) {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file)) {
            ini.read(reader);
            SubnodeConfiguration agent = ini.getSection("agent");
            SubnodeConfiguration worker = ini.getSection("worker");
            return new AgentSettings(
                    server(agent),
                    words(required(agent, "entries")).stream()
                            .map(AgentSettingsReader::address)
                            .toList(),
                    required(agent, "shared-key"),
                    worker.getString("host", DEFAULT_WORKER_HOST),
                    Integer.parseInt(required(worker, "port")));
        } catch (IOException | ConfigurationException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_SETTING, file + ": " + exception.getMessage());
        } catch (ConfigurationRuntimeException | NumberFormatException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_SETTING, file + ": " + exception.getMessage());
        }
    }

    private static BackendServer server(SubnodeConfiguration agent) {
        return new BackendServer(
                required(agent, "name"),
                required(agent, "region"),
                required(agent, "data-centre"),
                required(agent, "rack"),
                new TreeSet<>(words(agent.getString("capabilities", ""))),
                Integer.parseInt(required(agent, "accelerators")),
                Integer.parseInt(required(agent, "cores")),
                Integer.parseInt(required(agent, "memory-mebibytes")),
                Integer.parseInt(required(agent, "slots")),
                Integer.parseInt(required(agent, "connections")),
                Double.parseDouble(agent.getString("speed", "1.0")));
    }

    private static List<String> words(String text) {
        return Arrays.stream(text.split("[,\\s]+"))
                .filter(word -> !word.isEmpty())
                .toList();
    }

    private static EntryAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw TeaselwoodException.of(ErrorKind.BAD_SETTING, "entries: " + text + " is not host:port");
        }
        return new EntryAddress("", "", text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static String required(SubnodeConfiguration section, String key) {
        String value = section.getString(key);
        if (value == null || value.isBlank()) {
            throw TeaselwoodException.of(ErrorKind.BAD_SETTING, "section [agent] or [worker]: " + key + " is missing");
        }
        return value;
    }
}
