package org.teaselwood.bench.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Bytes that TCP connections carried, as the kernel counts them for each socket. /proc/net has no such count, and an
 * agent serves no metrics; so the counts come from the command {@code ss}.
 */
final class SocketBytes {
    private static final Pattern PROCESS = Pattern.compile("pid=([0-9]+)");
    private static final Pattern COUNT = Pattern.compile("bytes_(?:sent|received):([0-9]+)");
    private static final long LIMIT_SECONDS = 10;

    private SocketBytes() {}

    /** Bytes sent and received on open connections to the given ports, by process; empty if {@code ss} fails. */
    static Map<Long, Long> toPorts(List<Integer> ports) {
        String filter = ports.stream().map(port -> "dport = :" + port).collect(Collectors.joining(" or ", "( ", " )"));
        try {
            Process process = new ProcessBuilder("ss", "-tinpOH", "state", "established", filter)
                    .redirectErrorStream(true)
                    .start();
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS);
            return parse(text);
        } catch (IOException exception) {
            return Map.of();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return Map.of();
        }
    }

    /** Parses one line for each socket. */
    static Map<Long, Long> parse(String text) {
        Map<Long, Long> bytes = new HashMap<>();
        text.lines().forEach(line -> {
            OptionalLong process =
                    numbers(PROCESS, line).stream().mapToLong(Long::longValue).findFirst();
            long carried =
                    numbers(COUNT, line).stream().mapToLong(Long::longValue).sum();
            process.ifPresent(identifier -> bytes.merge(identifier, carried, Long::sum));
        });
        return bytes;
    }

    private static List<Long> numbers(Pattern pattern, String line) {
        Matcher matcher = pattern.matcher(line);
        return matcher.results().map(result -> Long.parseLong(result.group(1))).toList();
    }
}
