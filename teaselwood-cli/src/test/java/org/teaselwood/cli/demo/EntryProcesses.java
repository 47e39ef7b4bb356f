package org.teaselwood.cli.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.teaselwood.settings.EntrySettings;
import org.teaselwood.settings.NetworkAddress;

/** Entries that the test starts and ends as separate processes. */
final class EntryProcesses implements AutoCloseable {
    private static final Pattern LISTENING_LINE =
            Pattern.compile("entry (\\S+) listens: http (\\S+):(\\d+), internal (\\S+):(\\d+)");
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    private final Path directory;
    private final int storePort;
    private final List<EntryInstance> instances = new ArrayList<>();

    /** An entry process and the ports that it listens on. */
    record EntryInstance(String entry, Process process, int httpPort, int internalPort) {
        String url() {
            return "http://127.0.0.1:" + httpPort;
        }

        NetworkAddress address() {
            return new NetworkAddress("127.0.0.1", internalPort);
        }

        /** Waits until the process exits and returns its exit code. */
        int exitCode() throws InterruptedException {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError(entry + " did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
            }
            return process.exitValue();
        }
    }

    EntryProcesses(Path directory, int storePort) {
        this.directory = directory;
        this.storePort = storePort;
    }

    List<EntryInstance> instances() {
        return List.copyOf(instances);
    }

    /** Starts an entry for each element of the settings, all at the same time; each has the others as seeds. */
    void start(List<EntrySettings> settings) throws IOException {
        List<Integer> ports = freePorts(settings.size());
        List<Process> processes = new ArrayList<>();
        try {
            for (int index = 0; index < settings.size(); index++) {
                processes.add(launch(settings.get(index), ports.get(index), ports));
            }
            for (int index = 0; index < settings.size(); index++) {
                instances.add(awaitPorts(settings.get(index).identifier(), processes.get(index)));
            }
        } catch (IOException | RuntimeException exception) {
            processes.forEach(Process::destroyForcibly);
            throw exception;
        }
    }

    private Process launch(EntrySettings settings, int port, List<Integer> ports) throws IOException {
        Path file = directory.resolve(settings.identifier() + ".ini");
        Files.writeString(file, settingsOf(settings, port, ports));
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.teaselwood.cli.Main",
                        "entry",
                        "--settings",
                        file.toString())
                .redirectError(directory.resolve(settings.identifier() + ".log").toFile())
                .start();
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    @Override
    public void close() {
        instances.forEach(entry -> entry.process.destroyForcibly());
    }

    private static EntryInstance awaitPorts(String entry, Process process) throws IOException {
        BufferedReader reader = process.inputReader();
        String line = reader.readLine();
        Matcher matcher = LISTENING_LINE.matcher(line == null ? "" : line);
        if (!matcher.matches()) {
            throw new UncheckedIOException(new IOException("unexpected first line: " + line));
        }
        return new EntryInstance(
                entry, process, Integer.parseInt(matcher.group(3)), Integer.parseInt(matcher.group(5)));
    }

    private String settingsOf(EntrySettings settings, int port, List<Integer> ports) {
        String seeds = ports.stream()
                .filter(other -> other != port)
                .map(other -> "127.0.0.1:" + other)
                .collect(Collectors.joining(", "));
        return """
                [entry]
                identifier = %s
                region = %s
                data-centre = %s
                http-listen = 127.0.0.1:0
                internal-listen = 127.0.0.1:%d
                shared-key = example-shared-key-of-lab
                seeds = %s
                [key-value]
                endpoints = 127.0.0.1:%d
                """.formatted(settings.identifier(), settings.region(), settings.dataCentre(), port, seeds, storePort);
    }
}
