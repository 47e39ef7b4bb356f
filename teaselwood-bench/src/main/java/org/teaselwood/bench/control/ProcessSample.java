package org.teaselwood.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resource usage of a process at one moment, as reported by the kernel. Immutable.
 *
 * @param residentKibibytes resident memory, VmRSS
 * @param anonymousKibibytes anonymous part of the resident memory, RssAnon
 * @param processorMilliseconds user and system time of all threads since the start of the process
 */
record ProcessSample(long residentKibibytes, long anonymousKibibytes, long processorMilliseconds) {
    /** Unit of processor time in procfs: 10 ms, because USER_HZ is 100 on every Linux platform. */
    private static final long MILLISECONDS_PER_TICK = 10;

    /** Index of utime in /proc/PID/stat, counted after the command name; stime follows it. */
    private static final int USER_FIELD = 11;

    private static final int SYSTEM_FIELD = 12;

    /** Reads the current values of a process. */
    static ProcessSample read(long processIdentifier) {
        Path directory = Path.of("/proc", Long.toString(processIdentifier));
        try {
            return parse(Files.readString(directory.resolve("status")), Files.readString(directory.resolve("stat")));
        } catch (IOException exception) {
            throw new UncheckedIOException("process " + processIdentifier + " does not exist", exception);
        }
    }

    /** Parses the contents of {@code /proc/PID/status} and {@code /proc/PID/stat}. */
    static ProcessSample parse(String status, String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]);
        return new ProcessSample(
                kibibytes(status, "VmRSS:"), kibibytes(status, "RssAnon:"), ticks * MILLISECONDS_PER_TICK);
    }

    private static long kibibytes(String status, String name) {
        return status.lines()
                .filter(line -> line.startsWith(name))
                .map(line -> line.replaceAll("[^0-9]", ""))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElse(0);
    }
}
