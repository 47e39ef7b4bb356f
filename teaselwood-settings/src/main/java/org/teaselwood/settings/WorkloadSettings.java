package org.teaselwood.settings;

import java.nio.file.Path;
import java.util.Optional;
import org.teaselwood.model.ErrorKind;

/**
 * Settings of the processes that run multi-step jobs, from the sections {@code [node]} and {@code [bounds]}. Immutable.
 *
 * @param name name of the VM
 * @param dataCentre data centre of the VM
 * @param internal address for communication between the entries and agents of this deployment
 * @param callers address for callers; present for an entry
 * @param readiness address of the readiness check; present for an entry
 * @param announcements address on which the agent receives its backend server's announcements; present for an agent
 * @param worker address of the backend server; present for an agent
 * @param advice address of the service that knows which backend servers may run the steps of some queues; empty if
 *     there is no such service
 * @param metrics address of the metrics endpoint; empty for a process that exposes no metrics
 * @param processor processor capacity of the VM in cores
 * @param store address of the key-value service
 * @param maximumLeaseMilliseconds maximum lease of a run on a backend server
 * @param gangWaitTimeoutMilliseconds time after which a gang member that waits alone for the other members ends
 * @param stopTimeoutMilliseconds maximum time that a backend server takes to stop a task
 * @param statusRetentionMilliseconds minimum retention of the status of a job that has ended
 * @param shutdownGraceMilliseconds time between a request to stop the process and its termination
 */
public record WorkloadSettings(
        String name,
        String dataCentre,
        NetworkAddress internal,
        Optional<NetworkAddress> callers,
        Optional<NetworkAddress> readiness,
        Optional<NetworkAddress> announcements,
        Optional<NetworkAddress> worker,
        Optional<NetworkAddress> advice,
        Optional<NetworkAddress> metrics,
        double processor,
        NetworkAddress store,
        long maximumLeaseMilliseconds,
        long gangWaitTimeoutMilliseconds,
        long stopTimeoutMilliseconds,
        long statusRetentionMilliseconds,
        long shutdownGraceMilliseconds) {
    private static final long HOUR_MILLISECONDS = 3_600_000;

    /** Two minutes, within which callers query the result of a job. */
    private static final long DEFAULT_STATUS_MILLISECONDS = 120_000;

    private static final Setting<String> NAME = Setting.required("name", ValueTypes.name());
    private static final Setting<String> DATA_CENTRE = Setting.required("data-centre", ValueTypes.name());
    private static final Setting<NetworkAddress> INTERNAL = Setting.required("internal", ValueTypes.address());
    private static final Setting<Optional<NetworkAddress>> CALLERS = Setting.optional("callers", ValueTypes.address());
    private static final Setting<Optional<NetworkAddress>> READINESS =
            Setting.optional("readiness", ValueTypes.address());
    private static final Setting<Optional<NetworkAddress>> ANNOUNCEMENTS =
            Setting.optional("announcements", ValueTypes.address());
    private static final Setting<Optional<NetworkAddress>> WORKER = Setting.optional("worker", ValueTypes.address());
    private static final Setting<Optional<NetworkAddress>> ADVICE = Setting.optional("advice", ValueTypes.address());
    private static final Setting<Optional<NetworkAddress>> METRICS = Setting.optional("metrics", ValueTypes.address());
    private static final Setting<Double> PROCESSOR_SHARE =
            Setting.withDefault("processor-share", ValueTypes.decimal(0.01, 1), 1.0);
    private static final Setting<Double> PROCESSOR_CORES =
            Setting.withDefault("processor-cores", ValueTypes.decimal(0.01, 1_024), 1.0);
    private static final Setting<NetworkAddress> STORE = Setting.required("store", ValueTypes.address());
    private static final SectionSchema NODE = SectionSchema.of(
            NAME,
            DATA_CENTRE,
            INTERNAL,
            CALLERS,
            READINESS,
            ANNOUNCEMENTS,
            WORKER,
            ADVICE,
            METRICS,
            PROCESSOR_SHARE,
            PROCESSOR_CORES,
            STORE);

    private static final Setting<Long> LONGEST_HOLD =
            Setting.required("longest-hold", ValueTypes.duration(1, HOUR_MILLISECONDS));
    private static final Setting<Long> GANG_WAIT =
            Setting.required("gang-wait", ValueTypes.duration(1, HOUR_MILLISECONDS));
    private static final Setting<Long> STOP = Setting.required("stop", ValueTypes.duration(0, HOUR_MILLISECONDS));
    private static final Setting<Long> STATUS =
            Setting.withDefault("status", ValueTypes.duration(1, HOUR_MILLISECONDS), DEFAULT_STATUS_MILLISECONDS);
    private static final Setting<Long> GRACE = Setting.required("grace", ValueTypes.duration(0, HOUR_MILLISECONDS));
    private static final SectionSchema BOUNDS = SectionSchema.of(LONGEST_HOLD, GANG_WAIT, STOP, STATUS, GRACE);

    /**
     * Reads and validates a file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with one line for each error
     */
    public static WorkloadSettings read(Path path) {
        return of(IniDocument.read(path, ErrorKind.BAD_SETTING));
    }

    /**
     * Validates a parsed file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with one line for each error
     */
    public static WorkloadSettings of(IniDocument document) {
        SettingsFile file = new SettingsFile(document);
        SectionValues node = file.section("node", NODE);
        SectionValues bounds = file.section("bounds", BOUNDS);
        file.throwIfInvalid();
        return new WorkloadSettings(
                node.get(NAME),
                node.get(DATA_CENTRE),
                node.get(INTERNAL),
                node.get(CALLERS),
                node.get(READINESS),
                node.get(ANNOUNCEMENTS),
                node.get(WORKER),
                node.get(ADVICE),
                node.get(METRICS),
                node.get(PROCESSOR_SHARE) * node.get(PROCESSOR_CORES),
                node.get(STORE),
                bounds.get(LONGEST_HOLD),
                bounds.get(GANG_WAIT),
                bounds.get(STOP),
                bounds.get(STATUS),
                bounds.get(GRACE));
    }
}
