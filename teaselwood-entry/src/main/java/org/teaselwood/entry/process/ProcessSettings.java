package org.teaselwood.entry.process;

import java.time.Duration;
import org.teaselwood.entry.http.HttpSettings;

/**
 * Settings of an entry process, except those of its core. Immutable.
 *
 * @param entry identifier of the entry
 * @param region region of the entry
 * @param dataCentre data centre of the entry
 * @param internal settings of the connections between processes of the deployment
 * @param http settings of the HTTP server
 * @param storeTimeout timeout of one call to the key-value service
 * @param readinessGrace time from the failure of {@code /readyz} until the core shuts down, in which the load balancer
 *     stops sending requests to the entry
 */
public record ProcessSettings(
        String entry,
        String region,
        String dataCentre,
        InternalSettings internal,
        HttpSettings http,
        Duration storeTimeout,
        Duration readinessGrace) {
    /**
     * Default of {@link #storeTimeout}: the service normally answers within milliseconds, so a slower answer counts as
     * an outage.
     */
    public static final Duration DEFAULT_STORE_TIMEOUT = Duration.ofSeconds(2);

    /** Default of {@link #readinessGrace}: two probes of a load balancer with a probe interval of 1 s. */
    public static final Duration DEFAULT_READINESS_GRACE = Duration.ofSeconds(2);
}
