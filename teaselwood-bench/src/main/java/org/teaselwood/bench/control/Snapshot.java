package org.teaselwood.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.store.etcd.CallKind;

/**
 * Counters of all processes at one moment. Immutable.
 *
 * @param nanoseconds time of the snapshot, from {@link System#nanoTime}
 * @param entries samples of the entry processes by identifier
 * @param entryBytes bytes exchanged by each entry with agents and other entries since its start
 * @param agents samples of the agent processes
 * @param calls number of calls to the key-value service by kind
 */
record Snapshot(
        long nanoseconds,
        Map<String, ProcessSample> entries,
        Map<String, Double> entryBytes,
        List<ProcessSample> agents,
        Map<CallKind, Long> calls) {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    /** Takes a snapshot. */
    static Snapshot take(ControlCluster cluster) {
        Map<String, ProcessSample> entries = new TreeMap<>();
        Map<String, Double> entryBytes = new TreeMap<>();
        cluster.entries().forEach((name, process) -> {
            entries.put(name, ProcessSample.read(process.pid()));
            entryBytes.put(name, controlBytes(cluster.url(name)));
        });
        return new Snapshot(
                System.nanoTime(),
                entries,
                entryBytes,
                cluster.agents().stream()
                        .map(process -> ProcessSample.read(process.pid()))
                        .toList(),
                Map.copyOf(cluster.store().callCounts()));
    }

    private static double controlBytes(String url) {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(url + "/metrics"))
                    .timeout(REQUEST_TIMEOUT)
                    .build();
            String text =
                    client.send(request, HttpResponse.BodyHandlers.ofString()).body();
            return text.lines()
                    .filter(line -> line.startsWith("teaselwood_control_bytes_total{"))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                    .sum();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        }
    }
}
