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
 * @param nanoseconds when
 * @param entries processes of the entries by identifier
 * @param entryBytes bytes that each entry sent to and received from agents and entries since its start
 * @param agents processes of the agents
 * @param calls calls to the key-value service by kind
 */
record Snapshot(
        long nanoseconds,
        Map<String, ProcessSample> entries,
        Map<String, Double> entryBytes,
        List<ProcessSample> agents,
        Map<CallKind, Long> calls) {
    private static final Duration LIMIT = Duration.ofSeconds(10);

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
                    .timeout(LIMIT)
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
