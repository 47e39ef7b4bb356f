package org.teaselwood.entry.process;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.entry.core.EntryCore;
import org.teaselwood.entry.core.EntryCoreSettings;
import org.teaselwood.entry.core.EntryTimings;
import org.teaselwood.entry.http.HttpSettings;
import org.teaselwood.entry.http.HttpSettings.ServerCertificate;
import org.teaselwood.entry.http.Tokens;
import org.teaselwood.entry.process.InternalSettings.InternalTls;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.settings.EntrySettings;
import org.teaselwood.settings.Secret;
import org.teaselwood.settings.TlsSettings;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.store.etcd.EtcdKeyValueService;
import org.teaselwood.store.etcd.EtcdOptions;

/**
 * Creates an entry process from a settings file. Only this class refers to the implementations of the interfaces that
 * the process uses. Stateless and thread-safe.
 */
public final class EntryAssembly {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryAssembly.class);

    private EntryAssembly() {}

    /** Starts an entry; the result is the process once it serves requests. */
    public static Future<EntryProcess> start(Vertx vertx, EntrySettings settings) {
        if (!settings.requiresTokens()) {
            LOGGER.warn("no tokens are configured: every caller is an operator, and HTTP is served on loopback only");
        }
        if (settings.sharedKey().isEmpty()) {
            LOGGER.warn("no shared key is configured: connections of agents and entries are accepted on loopback only");
        }
        KeyValueService service = new EtcdKeyValueService(
                vertx,
                new EtcdOptions(
                        settings.keyValueEndpoints().stream()
                                .map(address -> SocketAddress.inetSocketAddress(address.port(), address.host()))
                                .toList(),
                        settings.keyValueTimeoutMilliseconds()));
        return EntryProcess.start(
                vertx,
                processSettings(settings),
                service,
                (self, registered, effects) -> new EntryCore(
                        coreSettings(settings, self, registered), GuaranteeScheduler::new, effects)::handle);
    }

    private static ProcessSettings processSettings(EntrySettings settings) {
        Map<String, String> teamTokens = new HashMap<>();
        settings.teamTokens().forEach((team, token) -> teamTokens.put(team, token.value()));
        HttpSettings http = new HttpSettings(
                settings.httpListen().host(),
                settings.httpListen().port(),
                HttpSettings.DEFAULT_BODY_LIMIT_BYTES,
                HttpSettings.DEFAULT_REQUEST_TIMEOUT_MILLISECONDS,
                settings.tls().map(EntryAssembly::certificate),
                new Tokens(teamTokens, settings.operatorToken().map(Secret::value)));
        InternalSettings internal = new InternalSettings(
                settings.internalListen().host(),
                settings.internalListen().port(),
                settings.sharedKey()
                        .map(secret -> new SharedKey(secret.value()))
                        .orElseGet(SharedKey::withoutSecret),
                settings.tls()
                        .map(tls -> new InternalTls(
                                certificate(tls), tls.authorities().toString())));
        return new ProcessSettings(
                settings.identifier(),
                settings.region(),
                settings.dataCentre(),
                internal,
                http,
                Duration.ofMillis(settings.keyValueTimeoutMilliseconds()),
                ProcessSettings.DEFAULT_READINESS_GRACE);
    }

    /** Returns the settings of the core. The epoch offset is 0, because the clock already counts from the epoch. */
    private static EntryCoreSettings coreSettings(
            EntrySettings settings, EntryAddress self, List<EntryAddress> registered) {
        List<EntryAddress> seeds = Stream.concat(
                        settings.seeds().stream().map(seed -> new EntryAddress("", "", seed.host(), seed.port())),
                        registered.stream())
                .distinct()
                .toList();
        return new EntryCoreSettings(
                self, settings.region(), UUID.randomUUID().toString(), seeds, 0, timings(settings.timings()));
    }

    private static EntryTimings timings(org.teaselwood.settings.EntryTimings configured) {
        EntryTimings defaults = EntryTimings.DEFAULT;
        return new EntryTimings(
                defaults.startMilliseconds(),
                configured.entryHeartbeat(),
                configured.entrySuspect(),
                configured.takeoverWait(),
                configured.agentSuspect(),
                configured.agentLost(),
                configured.hold(),
                defaults.resendMilliseconds(),
                configured.gangRenewal(),
                defaults.forwardMilliseconds(),
                defaults.retentionMilliseconds(),
                defaults.leavingMilliseconds(),
                defaults.maximumJobs(),
                defaults.maximumWaits(),
                defaults.answerMemoryBytes());
    }

    private static ServerCertificate certificate(TlsSettings tls) {
        return new ServerCertificate(
                tls.certificate().toString(), tls.privateKey().toString());
    }
}
