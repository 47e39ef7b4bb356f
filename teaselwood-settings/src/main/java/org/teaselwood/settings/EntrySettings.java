package org.teaselwood.settings;

import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaselwood.model.ErrorKind;

/**
 * Settings of an entry. Immutable.
 *
 * @param identifier name of the entry, unique within its region
 * @param region region
 * @param dataCentre data centre
 * @param httpListen address for callers and operators
 * @param internalListen address for agents and other entries
 * @param seeds internal addresses of other entries, or of the load balancer in front of them; may be empty
 * @param sharedKey key of all processes of the deployment; without it the internal address must be a loopback address
 * @param operatorToken token of operators; without it the HTTP address must be a loopback address
 * @param teamTokens token of each team, by team name
 * @param keyValueEndpoints addresses of the key-value service
 * @param keyValueTimeoutMilliseconds maximum wait for a response of the key-value service
 * @param tls files for TLS; empty for connections without TLS
 * @param timings timeouts and intervals
 */
public record EntrySettings(
        String identifier,
        String region,
        String dataCentre,
        NetworkAddress httpListen,
        NetworkAddress internalListen,
        List<NetworkAddress> seeds,
        Optional<Secret> sharedKey,
        Optional<Secret> operatorToken,
        Map<String, Secret> teamTokens,
        List<NetworkAddress> keyValueEndpoints,
        long keyValueTimeoutMilliseconds,
        Optional<TlsSettings> tls,
        EntryTimings timings) {
    private static final String ENTRY = "entry";
    private static final String KEY_VALUE = "key-value";
    private static final String TEAM_TOKENS = "team-tokens";

    private static final Setting<String> IDENTIFIER = Setting.required("identifier", ValueTypes.name());
    private static final Setting<String> REGION = Setting.required("region", ValueTypes.name());
    private static final Setting<String> DATA_CENTRE = Setting.required("data-centre", ValueTypes.name());
    private static final Setting<NetworkAddress> HTTP_LISTEN = Setting.required("http-listen", ValueTypes.address());
    private static final Setting<NetworkAddress> INTERNAL_LISTEN =
            Setting.required("internal-listen", ValueTypes.address());
    private static final Setting<List<NetworkAddress>> SEEDS =
            Setting.withDefault("seeds", ValueTypes.listOf(ValueTypes.address()), List.of());
    private static final Setting<Optional<Secret>> SHARED_KEY = Setting.optional("shared-key", ValueTypes.secret());
    private static final Setting<Optional<Secret>> OPERATOR_TOKEN =
            Setting.optional("operator-token", ValueTypes.secret());
    private static final Setting<List<NetworkAddress>> ENDPOINTS =
            Setting.required("endpoints", ValueTypes.nonEmptyListOf(ValueTypes.address()));
    private static final Setting<Long> REQUEST_TIMEOUT =
            Setting.withDefault("request-timeout", ValueTypes.duration(10, 60_000), 1_000L);

    private static final SectionSchema ENTRY_SCHEMA = SectionSchema.of(
            IDENTIFIER, REGION, DATA_CENTRE, HTTP_LISTEN, INTERNAL_LISTEN, SEEDS, SHARED_KEY, OPERATOR_TOKEN);
    private static final SectionSchema KEY_VALUE_SCHEMA = SectionSchema.of(ENDPOINTS, REQUEST_TIMEOUT);

    /** Copies the collections. */
    public EntrySettings {
        seeds = List.copyOf(seeds);
        teamTokens = Collections.unmodifiableMap(new TreeMap<>(teamTokens));
        keyValueEndpoints = List.copyOf(keyValueEndpoints);
    }

    /**
     * Reads and validates a file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with one line for each error
     */
    public static EntrySettings read(Path path) {
        return of(IniDocument.read(path, ErrorKind.BAD_SETTING));
    }

    /**
     * Validates a parsed file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING with one line for each error
     */
    public static EntrySettings of(IniDocument document) {
        SettingsFile file = new SettingsFile(document);
        SectionValues entry = file.section(ENTRY, ENTRY_SCHEMA);
        SectionValues keyValue = file.section(KEY_VALUE, KEY_VALUE_SCHEMA);
        Map<String, Secret> teamTokens = file.mapSection(TEAM_TOKENS, ValueTypes.secret());
        Optional<SectionValues> tls = file.optionalSection(TlsSettings.SECTION, TlsSettings.SCHEMA);
        SectionValues timings = EntryTimings.parse(file);
        requireAuthentication(file, entry, teamTokens);
        file.throwIfInvalid();
        return new EntrySettings(
                entry.get(IDENTIFIER),
                entry.get(REGION),
                entry.get(DATA_CENTRE),
                entry.get(HTTP_LISTEN),
                entry.get(INTERNAL_LISTEN),
                entry.get(SEEDS),
                entry.get(SHARED_KEY),
                entry.get(OPERATOR_TOKEN),
                teamTokens,
                keyValue.get(ENDPOINTS),
                keyValue.get(REQUEST_TIMEOUT),
                tls.map(TlsSettings::of),
                EntryTimings.of(timings));
    }

    /** Returns whether callers and operators must present tokens. */
    public boolean requiresTokens() {
        return operatorToken.isPresent() || !teamTokens.isEmpty();
    }

    private static void requireAuthentication(SettingsFile file, SectionValues entry, Map<String, Secret> teamTokens) {
        if (entry.has(HTTP_LISTEN) && entry.has(OPERATOR_TOKEN)) {
            file.require(
                    entry.get(HTTP_LISTEN).isLoopback()
                            || entry.get(OPERATOR_TOKEN).isPresent(),
                    ENTRY,
                    HTTP_LISTEN.key(),
                    "without operator-token only a loopback address is allowed");
            file.require(
                    teamTokens.isEmpty() || entry.get(OPERATOR_TOKEN).isPresent(),
                    ENTRY,
                    OPERATOR_TOKEN.key(),
                    "required when team tokens are configured");
        }
        if (entry.has(INTERNAL_LISTEN) && entry.has(SHARED_KEY)) {
            file.require(
                    entry.get(INTERNAL_LISTEN).isLoopback()
                            || entry.get(SHARED_KEY).isPresent(),
                    ENTRY,
                    INTERNAL_LISTEN.key(),
                    "without shared-key only a loopback address is allowed");
        }
        long distinct = teamTokens.values().stream().distinct().count();
        file.require(distinct == teamTokens.size(), TEAM_TOKENS, "", "two teams have the same token");
    }
}
