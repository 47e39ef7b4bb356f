package org.teaselwood.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The child processes of the benchmark. Each is killed by its process identifier when the group is closed, or when the
 * JVM exits because of a signal or an uncaught error. Thread-safe.
 */
final class ProcessGroup implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private final Queue<Process> processes = new ConcurrentLinkedQueue<>();
    private final Thread hook = new Thread(this::killAll, "end-processes");

    ProcessGroup() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Starts a process and appends its output to a file. */
    Process start(List<String> command, Path log) {
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            processes.add(process);
            return process;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Sends a signal for which {@link Process} has no method. */
    static void signal(Process process, String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        killAll();
        Runtime.getRuntime().removeShutdownHook(hook);
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
        processes.forEach(process -> {
            try {
                process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        processes.clear();
    }
}
