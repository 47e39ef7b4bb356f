package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Options common to all commands that send requests to an entry. */
public final class ClientOptions {
    private static final String DEFAULT_SERVER = "http://127.0.0.1:8080";
    private static final String SERVER_VARIABLE = "TEASELWOOD_SERVER";
    private static final String TOKEN_VARIABLE = "TEASELWOOD_TOKEN";

    @Parameter(
            names = "--server",
            description = "Address of an entry or the load balancer; may be repeated; the next address is used if one"
                    + " cannot be reached (default: $TEASELWOOD_SERVER or " + DEFAULT_SERVER + ")")
    private List<String> servers = new ArrayList<>();

    @Parameter(names = "--token-file", description = "File with the token (default: $TEASELWOOD_TOKEN)")
    private String tokenFile;

    @Parameter(
            names = "--ca-file",
            description = "PEM file of the certificate authority that signed the entries' certificates")
    private String authorityFile;

    @Parameter(names = "--json", description = "Write results and errors as JSON")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean help;

    /** Returns the server addresses in the order in which they are tried. */
    public List<String> servers() {
        if (!servers.isEmpty()) {
            return servers;
        }
        return List.of(System.getenv().getOrDefault(SERVER_VARIABLE, DEFAULT_SERVER));
    }

    /**
     * Returns the token from the token file or the environment, if any.
     *
     * @throws CommandException with BAD_SETTINGS if the token file cannot be read
     */
    public Optional<String> token() {
        if (tokenFile == null) {
            return Optional.ofNullable(System.getenv(TOKEN_VARIABLE)).filter(token -> !token.isBlank());
        }
        try {
            return Optional.of(Files.readString(Path.of(tokenFile)).trim());
        } catch (IOException exception) {
            throw new CommandException(ExitCode.BAD_SETTINGS, "the token file " + tokenFile + " cannot be read");
        }
    }

    /** Returns the PEM file of the certificate authority, if any. */
    public Optional<String> authorityFile() {
        return Optional.ofNullable(authorityFile);
    }

    /** Returns whether results and errors are written as JSON. */
    public boolean json() {
        return json;
    }

    /** Returns whether {@code --help} was given. */
    public boolean help() {
        return help;
    }
}
