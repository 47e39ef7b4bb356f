package org.teaselwood.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the kernel reports of one process at one moment. Immutable.
 *
 * @param residentKibibytes resident memory, VmRSS
 * @param anonymousKibibytes its anonymous portion, RssAnon
 * @param processorMilliseconds processor time of all threads since the start, user and system
 */
record ProcessSample(long residentKibibytes, long anonymousKibibytes, long processorMilliseconds) {
    /** The kernel counts processor time in units of 10 ms for programs (USER_HZ is 100 on every Linux platform). */
    private static final long MILLISECONDS_PER_TICK = 10;

    /** Positions of utime and stime after the command's name in /proc/PID/stat. */
    private static final int USER_FIELD = 11;

    private static final int SYSTEM_FIELD = 12;

    /** Reads the present values. */
    static ProcessSample read(long processIdentifier) {
        Path directory = Path.of("/proc", Long.toString(processIdentifier));
        try {
            return parse(Files.readString(directory.resolve("status")), Files.readString(directory.resolve("stat")));
        } catch (IOException exception) {
            throw new UncheckedIOException("process " + processIdentifier + " is gone", exception);
        }
    }

    /** Parses the texts of the files {@code status} and {@code stat}. */
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
