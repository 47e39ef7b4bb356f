package org.teaselwood.entry.process;

import java.time.Duration;
import org.teaselwood.entry.http.HttpSettings;

/**
 * Settings of one entry process around its core. Immutable.
 *
 * @param entry identifier of the entry
 * @param region its region
 * @param dataCentre its data centre
 * @param internal connections between our own processes
 * @param http the front
 * @param storeTimeout longest time of one call to the key-value service
 * @param readinessGrace time between the failing of {@code /readyz} and the shutdown of the core, for the balancer to
 *     notice
 */
public record ProcessSettings(
        String entry,
        String region,
        String dataCentre,
        InternalSettings internal,
        HttpSettings http,
        Duration storeTimeout,
        Duration readinessGrace) {
    /** Default of {@link #storeTimeout}: the service answers in milliseconds; a slow answer counts as an outage. */
    public static final Duration DEFAULT_STORE_TIMEOUT = Duration.ofSeconds(2);

    /** Default of {@link #readinessGrace}: two probes of a balancer that asks every second. */
    public static final Duration DEFAULT_READINESS_GRACE = Duration.ofSeconds(2);
}
