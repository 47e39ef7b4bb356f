package org.teaselwood.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Metrics of one process, exported in the Prometheus text format. Thread-safe.
 *
 * <p>Histograms use a small fixed set of buckets, because Micrometer's percentile histograms would publish about 70
 * buckets per series for each of 130 teams. Team names come from the configuration or from a token, never from a
 * request, so that callers cannot create series.
 */
public final class ProcessMetrics {
    private static final String PREFIX = "teaselwood.";
    private static final Duration[] HISTOGRAM_BUCKETS = Stream.of(
                    5, 20, 100, 500, 1_000, 2_000, 5_900, 15_000, 60_000, 300_000, 1_800_000, 7_200_000, 28_800_000)
            .map(Duration::ofMillis)
            .toArray(Duration[]::new);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Records a duration reported by the core, such as waiting, completion or reclaim time.
     *
     * @param metric metric name, optionally followed by a dot and the work class
     */
    public void recordDuration(String metric, String team, long milliseconds) {
        int dot = metric.indexOf('.');
        String name = dot < 0 ? metric : metric.substring(0, dot);
        String workClass = dot < 0 ? "all" : metric.substring(dot + 1);
        timer(name, team, workClass).record(Duration.ofMillis(Math.max(0, milliseconds)));
    }

    /** Records the duration and status of one HTTP request of a request class such as submit or wait. */
    public void recordRequest(String team, String requestClass, int status, long nanoseconds) {
        timer("request", team, requestClass).record(Duration.ofNanos(nanoseconds));
        Counter.builder(PREFIX + "responses")
                .tags("class", requestClass, "status", Integer.toString(status))
                .register(registry)
                .increment();
    }

    /** Counts a call to the key-value service. */
    public void recordStoreCall(String call, boolean succeeded) {
        Counter.builder(PREFIX + "store.calls")
                .tags("call", call, "result", succeeded ? "replied" : "failed")
                .register(registry)
                .increment();
    }

    /** Increments the counter of an infrequent event, such as a rejected event or a message that could not be sent. */
    public void increment(String name) {
        registry.counter(PREFIX + name).increment();
    }

    /** Registers a gauge whose value is read at each scrape. */
    public <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
        Gauge.builder(PREFIX + name, source, value).strongReference(true).register(registry);
    }

    /** Registers a monotonic counter whose value is read at each scrape. */
    public <T> void counter(String name, String direction, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(PREFIX + name, source, value)
                .tags(Tags.of("direction", direction))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    private Timer timer(String name, String team, String workClass) {
        return Timer.builder(PREFIX + name)
                .tags("team", team, "class", workClass)
                .serviceLevelObjectives(HISTOGRAM_BUCKETS)
                .register(registry);
    }
}
