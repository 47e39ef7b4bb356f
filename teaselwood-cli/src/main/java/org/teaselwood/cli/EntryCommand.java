package org.teaselwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.entry.process.EntryAssembly;
import org.teaselwood.entry.process.EntryProcess;
import org.teaselwood.settings.EntrySettings;

/**
 * Runs an entry until SIGTERM or SIGINT starts a graceful shutdown, which completes the requests in progress. The exit
 * code is then 0.
 */
@Parameters(commandDescription = "Run an entry process")
final class EntryCommand implements Command {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryCommand.class);

    @Parameter(names = "--settings", description = "INI file with the settings of the entry", required = true)
    private String file;

    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean help;

    @Override
    public ExitCode run(Console console) {
        EntrySettings settings = EntrySettings.read(Path.of(file));
        EntryProcess process = start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "shutdown"));
        console.line("entry " + settings.identifier() + " listens: http "
                + settings.httpListen().host() + ":" + process.httpPort() + ", internal "
                + settings.internalListen().host() + ":" + process.internalPort());
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    @Override
    public boolean help() {
        return help;
    }

    private static EntryProcess start(EntrySettings settings) {
        try {
            return EntryAssembly.start(Vertx.vertx(), settings)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get();
        } catch (ExecutionException exception) {
            throw new CommandException(
                    ExitCode.UNAVAILABLE,
                    "the entry failed to start: " + exception.getCause().getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.INTERNAL, "interrupted");
        }
    }

    /** Shuts the entry down and halts with exit code 0; after a signal, the JVM would exit with 128 plus its number. */
    private static void stop(EntryProcess process) {
        int code = ExitCode.OK.number();
        try {
            process.shutdown().toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException | InterruptedException exception) {
            LOGGER.error("graceful shutdown of the entry failed", exception);
            code = ExitCode.INTERNAL.number();
        }
        Runtime.getRuntime().halt(code);
    }
}
