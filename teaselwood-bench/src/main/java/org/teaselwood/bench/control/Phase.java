package org.teaselwood.bench.control;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.teaselwood.store.etcd.CallKind;

/** The time between two snapshots of the same processes. Immutable. */
record Phase(Snapshot begin, Snapshot end, String placer) {
    private static final double KIBIBYTES_PER_MEBIBYTE = 1024;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    double seconds() {
        return (end.nanoseconds() - begin.nanoseconds()) / 1e9;
    }

    /** Adds all quantities with the name of the phase in front. */
    void addTo(Figures figures, String name) {
        figures.add(name + ".agent.core-percent", percent(agentMilliseconds() / agents()));
        figures.add(name + ".agent.resident-mib", mean(end.agents(), ProcessSample::residentKibibytes));
        figures.add(name + ".agent.resident-mib.highest", highest(end.agents(), ProcessSample::residentKibibytes));
        figures.add(name + ".agent.anonymous-mib", mean(end.agents(), ProcessSample::anonymousKibibytes));
        figures.add(name + ".agent.kib-per-second.at-most", entryBytes() / agents() / 1024 / seconds());
        addEntries(figures, name + ".placer", entry -> entry.equals(placer));
        addEntries(figures, name + ".relay", entry -> !entry.equals(placer));
        figures.add(name + ".key-value.reads-per-second", reads() / seconds());
        figures.add(name + ".key-value.writes-per-second", writes() / seconds());
    }

    /** Processor time of the placer in milliseconds. */
    double placerMilliseconds() {
        return milliseconds(entry -> entry.equals(placer));
    }

    /** Processor time of the other entries, on average. */
    double relayMilliseconds() {
        return milliseconds(entry -> !entry.equals(placer)) / (ControlCluster.ENTRIES - 1);
    }

    /** Processor time of all agents. */
    double agentMilliseconds() {
        return sum(end.agents(), ProcessSample::processorMilliseconds)
                - sum(begin.agents(), ProcessSample::processorMilliseconds);
    }

    /**
     * Bytes of all entries. What goes between entries counts twice, so this is more than what agents send and receive;
     * agents serve no metrics, and the kernel's count of a socket ends with its connection.
     */
    double entryBytes() {
        return bytes(entry -> true);
    }

    /** Bytes of the placer. */
    double placerBytes() {
        return bytes(entry -> entry.equals(placer));
    }

    /** Resident memory of the placer in MiB at the end. */
    double placerResident() {
        return end.entries().get(placer).residentKibibytes() / KIBIBYTES_PER_MEBIBYTE;
    }

    /** Calls that read; opening a watch counts as one. */
    double reads() {
        return calls(CallKind.RANGE) + calls(CallKind.WATCH);
    }

    /** Calls that write, lease calls included. */
    double writes() {
        return calls(CallKind.TRANSACTION) + calls(CallKind.LEASE_GRANT) + calls(CallKind.LEASE_KEEP_ALIVE);
    }

    private void addEntries(Figures figures, String name, Predicate<String> role) {
        List<ProcessSample> samples = end.entries().entrySet().stream()
                .filter(entry -> role.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        figures.add(name + ".core-percent", percent(milliseconds(role) / samples.size()));
        figures.add(name + ".resident-mib", mean(samples, ProcessSample::residentKibibytes));
        figures.add(name + ".anonymous-mib", mean(samples, ProcessSample::anonymousKibibytes));
        figures.add(name + ".kib-per-second", bytes(role) / samples.size() / 1024 / seconds());
    }

    private double milliseconds(Predicate<String> role) {
        return end.entries().keySet().stream()
                .filter(role)
                .mapToDouble(entry -> end.entries().get(entry).processorMilliseconds()
                        - begin.entries().get(entry).processorMilliseconds())
                .sum();
    }

    private double bytes(Predicate<String> role) {
        return end.entryBytes().keySet().stream()
                .filter(role)
                .mapToDouble(entry ->
                        end.entryBytes().get(entry) - begin.entryBytes().get(entry))
                .sum();
    }

    private double percent(double milliseconds) {
        return 100 * milliseconds / MILLISECONDS_PER_SECOND / seconds();
    }

    private int agents() {
        return end.agents().size();
    }

    private double calls(CallKind kind) {
        return end.calls().getOrDefault(kind, 0L) - begin.calls().getOrDefault(kind, 0L);
    }

    private static double sum(List<ProcessSample> samples, ToDoubleFunction<ProcessSample> value) {
        return samples.stream().mapToDouble(value).sum();
    }

    private static double mean(List<ProcessSample> samples, ToDoubleFunction<ProcessSample> value) {
        return sum(samples, value) / samples.size() / KIBIBYTES_PER_MEBIBYTE;
    }

    private static double highest(List<ProcessSample> samples, ToDoubleFunction<ProcessSample> value) {
        return samples.stream().mapToDouble(value).max().orElse(0) / KIBIBYTES_PER_MEBIBYTE;
    }
}
