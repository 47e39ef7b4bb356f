package org.teaselwood.agent;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.LowMemoryVertx;
import org.teaselwood.settings.AgentSettings;

/** Entry point of the agent process. */
public final class Main {
    private static final int EXIT_USAGE = 64;
    private static final int EXIT_SETTINGS = 78;

    /** Exit status if parts are unfinished at the end of {@code drain-timeout}. */
    private static final int EXIT_UNFINISHED = 75;

    @Parameter(names = "--settings", description = "INI file with the settings of the agent")
    private String settings;

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Print the version")
    private boolean version;

    private Main() {}

    /** Exits with 0, with 64 for a usage error, or with 78 for invalid settings. */
    public static void main(String[] arguments) {
        LowMemoryVertx.limitMemory();
        int status = run(arguments);
        if (status >= 0) {
            System.exit(status);
        }
    }

    /** Returns the exit status, or -1 when the agent was started and keeps running. */
    static int run(String[] arguments) {
        return new Main().parse(arguments);
    }

    private int parse(String[] arguments) {
        JCommander commander = JCommander.newBuilder()
                .programName("teaselwood-agent")
                .addObject(this)
                .build();
        try {
            commander.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println("teaselwood-agent: " + exception.getMessage());
            return EXIT_USAGE;
        }
        if (help) {
            commander.usage();
            return 0;
        }
        if (version) {
            System.out.println("teaselwood-agent " + Main.class.getPackage().getImplementationVersion());
            return 0;
        }
        if (settings == null) {
            System.err.println("teaselwood-agent: --settings FILE is required");
            return EXIT_USAGE;
        }
        try {
            start(AgentSettings.read(Path.of(settings)));
            return -1;
        } catch (TeaselwoodException exception) {
            System.err.println("teaselwood-agent: " + exception.getMessage());
            return EXIT_SETTINGS;
        }
    }

    private static void start(AgentSettings agentSettings) {
        AgentProcess process = new AgentProcess(LowMemoryVertx.create(), agentSettings);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> shutDown(process, agentSettings.drainTimeoutMilliseconds()), "leave"));
    }

    /** Shuts down gracefully on SIGTERM. Halts with 0 once drained, where the JVM would exit with 143. */
    private static void shutDown(AgentProcess process, long timeoutMilliseconds) {
        Logger logger = LoggerFactory.getLogger(Main.class);
        try {
            process.startGracefulShutdown();
            if (process.awaitDrained(timeoutMilliseconds)) {
                logger.info("graceful shutdown completed; exiting");
                Runtime.getRuntime().halt(0);
            }
            logger.error("graceful shutdown did not complete within drain-timeout; exiting with unfinished parts");
            Runtime.getRuntime().halt(EXIT_UNFINISHED);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
