package org.teaselwood.bench.control;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.teaselwood.store.etcd.CallKind;

/** The interval between two snapshots of the same processes. Immutable. */
record Phase(Snapshot begin, Snapshot end, String placer) {
    private static final double KIBIBYTES_PER_MEBIBYTE = 1024;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    double seconds() {
        return (end.nanoseconds() - begin.nanoseconds()) / 1e9;
    }

    /** Adds all quantities, with the name of the phase as a prefix. */
    void recordTo(FigureRecorder figures, String name) {
        figures.record(name + ".agent.core-percent", percent(agentMilliseconds() / agents()));
        figures.record(name + ".agent.resident-mib", mean(end.agents(), ProcessSample::residentKibibytes));
        figures.record(name + ".agent.resident-mib.highest", maximum(end.agents(), ProcessSample::residentKibibytes));
        figures.record(name + ".agent.anonymous-mib", mean(end.agents(), ProcessSample::anonymousKibibytes));
        figures.record(name + ".agent.kib-per-second.at-most", entryBytes() / agents() / 1024 / seconds());
        recordEntries(figures, name + ".placer", entry -> entry.equals(placer));
        recordEntries(figures, name + ".relay", entry -> !entry.equals(placer));
        figures.record(name + ".key-value.reads-per-second", reads() / seconds());
        figures.record(name + ".key-value.writes-per-second", writes() / seconds());
    }

    /** Returns the processor time of the placer in milliseconds. */
    double placerMilliseconds() {
        return milliseconds(entry -> entry.equals(placer));
    }

    /** Returns the mean processor time of the other entries in milliseconds. */
    double relayMilliseconds() {
        return milliseconds(entry -> !entry.equals(placer)) / (ControlCluster.ENTRIES - 1);
    }

    /** Returns the total processor time of all agents in milliseconds. */
    double agentMilliseconds() {
        return sum(end.agents(), ProcessSample::processorMilliseconds)
                - sum(begin.agents(), ProcessSample::processorMilliseconds);
    }

    /**
     * Returns the bytes sent and received by all entries. This is an upper bound of the agents' traffic, because it
     * includes traffic between entries, counted twice. The agents' traffic is not measured directly, because agents
     * serve no metrics and the kernel's counters of a socket end with its connection.
     */
    double entryBytes() {
        return bytes(entry -> true);
    }

    /** Returns the bytes sent and received by the placer. */
    double placerBytes() {
        return bytes(entry -> entry.equals(placer));
    }

    /** Returns the resident memory of the placer at the end of the phase, in MiB. */
    double placerResident() {
        return end.entries().get(placer).residentKibibytes() / KIBIBYTES_PER_MEBIBYTE;
    }

    /** Returns the number of read calls; opening a watch counts as one. */
    double reads() {
        return calls(CallKind.RANGE) + calls(CallKind.WATCH);
    }

    /** Returns the number of write calls, including lease calls. */
    double writes() {
        return calls(CallKind.TRANSACTION) + calls(CallKind.LEASE_GRANT) + calls(CallKind.LEASE_KEEP_ALIVE);
    }

    private void recordEntries(FigureRecorder figures, String name, Predicate<String> role) {
        List<ProcessSample> samples = end.entries().entrySet().stream()
                .filter(entry -> role.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        figures.record(name + ".core-percent", percent(milliseconds(role) / samples.size()));
        figures.record(name + ".resident-mib", mean(samples, ProcessSample::residentKibibytes));
        figures.record(name + ".anonymous-mib", mean(samples, ProcessSample::anonymousKibibytes));
        figures.record(name + ".kib-per-second", bytes(role) / samples.size() / 1024 / seconds());
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

    private static double maximum(List<ProcessSample> samples, ToDoubleFunction<ProcessSample> value) {
        return samples.stream().mapToDouble(value).max().orElse(0) / KIBIBYTES_PER_MEBIBYTE;
    }
}
