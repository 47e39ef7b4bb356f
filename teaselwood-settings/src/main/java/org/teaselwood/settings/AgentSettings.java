package org.teaselwood.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.ErrorKind;

/**
 * Settings of an agent, from the section {@code [agent]}. Immutable.
 *
 * @param server properties of the backend server that the agent registers with the entries
 * @param entries internal addresses of entries, or of the load balancer in front of them
 * @param worker HTTP address of the worker on the same server
 * @param sharedKey key shared by all processes of the deployment; without it only loopback addresses are allowed
 * @param tlsAuthorities file with the certificate authorities for verifying entries; without it connections use no TLS
 * @param drainTimeoutMilliseconds maximum time that a stopping agent waits for its running tasks to end
 */
public record AgentSettings(
        BackendServer server,
        List<NetworkAddress> entries,
        NetworkAddress worker,
        Optional<Secret> sharedKey,
        Optional<Path> tlsAuthorities,
        long drainTimeoutMilliseconds) {
    private static final String SECTION = "agent";
    private static final int MAXIMUM_COUNT = 65_536;
    private static final int MAXIMUM_MEMORY_MEBIBYTES = 64 * 1024 * 1024;
    private static final long DAY_MILLISECONDS = 86_400_000L;

    private static final Setting<String> NAME = Setting.required("name", ValueTypes.name());
    private static final Setting<String> REGION = Setting.required("region", ValueTypes.name());
    private static final Setting<String> DATA_CENTRE = Setting.required("data-centre", ValueTypes.name());
    private static final Setting<String> RACK = Setting.required("rack", ValueTypes.name());
    private static final Setting<List<String>> CAPABILITIES =
            Setting.required("capabilities", ValueTypes.listOf(ValueTypes.name()));
    private static final Setting<Integer> ACCELERATORS = Setting.required("accelerators", ValueTypes.count(0, 1_024));
    private static final Setting<Integer> CORES = Setting.required("cores", ValueTypes.count(1, MAXIMUM_COUNT));
    private static final Setting<Integer> MEMORY =
            Setting.required("memory", ValueTypes.memory(1, MAXIMUM_MEMORY_MEBIBYTES));
    private static final Setting<Integer> SLOTS = Setting.withDefault("slots", ValueTypes.count(0, MAXIMUM_COUNT), 0);
    private static final Setting<Integer> CONNECTIONS =
            Setting.withDefault("connections", ValueTypes.count(1, MAXIMUM_COUNT), 64);
    private static final Setting<Double> SPEED = Setting.withDefault("speed", ValueTypes.decimal(0.01, 100), 1.0);
    private static final Setting<List<NetworkAddress>> ENTRIES =
            Setting.required("entries", ValueTypes.nonEmptyListOf(ValueTypes.address()));
    private static final Setting<NetworkAddress> WORKER = Setting.required("worker", ValueTypes.address());
    private static final Setting<Optional<Secret>> SHARED_KEY = Setting.optional("shared-key", ValueTypes.secret());
    private static final Setting<Optional<Path>> TLS_AUTHORITIES =
            Setting.optional("tls-authorities", ValueTypes.path());
    private static final Setting<Long> DRAIN_TIMEOUT =
            Setting.withDefault("drain-timeout", ValueTypes.duration(0, 30 * DAY_MILLISECONDS), DAY_MILLISECONDS);

    private static final SectionSchema SCHEMA = SectionSchema.of(
            NAME,
            REGION,
            DATA_CENTRE,
            RACK,
            CAPABILITIES,
            ACCELERATORS,
            CORES,
            MEMORY,
            SLOTS,
            CONNECTIONS,
            SPEED,
            ENTRIES,
            WORKER,
            SHARED_KEY,
            TLS_AUTHORITIES,
            DRAIN_TIMEOUT);

    /** Copies the list. */
    public AgentSettings {
        entries = List.copyOf(entries);
    }

    /**
     * Reads and validates a file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with one line for each error
     */
    public static AgentSettings read(Path path) {
        return of(IniDocument.read(path, ErrorKind.BAD_SETTING));
    }

    /**
     * Validates a parsed file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with one line for each error
     */
    public static AgentSettings of(IniDocument document) {
        SettingsFile file = new SettingsFile(document);
        SectionValues values = file.section(SECTION, SCHEMA);
        if (values.has(ENTRIES)
                && values.has(SHARED_KEY)
                && values.get(SHARED_KEY).isEmpty()) {
            file.require(
                    values.get(ENTRIES).stream().allMatch(NetworkAddress::isLoopback),
                    SECTION,
                    ENTRIES.key(),
                    "without shared-key only loopback addresses are allowed");
        }
        if (values.has(WORKER)) {
            file.require(
                    values.get(WORKER).isLoopback(), SECTION, WORKER.key(), "the worker must have a loopback address");
        }
        file.throwIfInvalid();
        return new AgentSettings(
                serverOf(values),
                values.get(ENTRIES),
                values.get(WORKER),
                values.get(SHARED_KEY),
                values.get(TLS_AUTHORITIES),
                values.get(DRAIN_TIMEOUT));
    }

    private static BackendServer serverOf(SectionValues values) {
        return new BackendServer(
                values.get(NAME),
                values.get(REGION),
                values.get(DATA_CENTRE),
                values.get(RACK),
                new TreeSet<>(values.get(CAPABILITIES)),
                values.get(ACCELERATORS),
                values.get(CORES),
                values.get(MEMORY),
                values.get(SLOTS),
                values.get(CONNECTIONS),
                values.get(SPEED));
    }
}
