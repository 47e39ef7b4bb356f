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
 * Metrics of one process, in Prometheus text form. Thread-safe.
 *
 * <p>Histograms have a fixed, small set of buckets: at 130 teams the percentile histograms of the library would publish
 * about 70 buckets for each series. Team names come from the configuration or from a token, never from a request, so
 * that callers cannot add series.
 */
public final class ProcessMetrics {
    private static final String PREFIX = "teaselwood.";
    private static final Duration[] BUCKETS = Stream.of(
                    5, 20, 100, 500, 1_000, 2_000, 5_900, 15_000, 60_000, 300_000, 1_800_000, 7_200_000, 28_800_000)
            .map(Duration::ofMillis)
            .toArray(Duration[]::new);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Records a measured time of the core: waiting, completion or reclaim.
     *
     * @param metric name, optionally followed by a dot and the class of the work
     */
    public void observed(String metric, String team, long milliseconds) {
        int dot = metric.indexOf('.');
        String name = dot < 0 ? metric : metric.substring(0, dot);
        String workClass = dot < 0 ? "all" : metric.substring(dot + 1);
        timer(name, team, workClass).record(Duration.ofMillis(Math.max(0, milliseconds)));
    }

    /** Records the time of one HTTP request of a class such as submit or wait. */
    public void requestEnded(String team, String requestClass, int status, long nanoseconds) {
        timer("request", team, requestClass).record(Duration.ofNanos(nanoseconds));
        Counter.builder(PREFIX + "responses")
                .tags("class", requestClass, "status", Integer.toString(status))
                .register(registry)
                .increment();
    }

    /** Counts one call to the key-value service. */
    public void storeCalled(String call, boolean succeeded) {
        Counter.builder(PREFIX + "store.calls")
                .tags("call", call, "result", succeeded ? "replied" : "failed")
                .register(registry)
                .increment();
    }

    /** Counts an event of a rare kind, such as a rejected event or a message that could not be sent. */
    public void counted(String name) {
        registry.counter(PREFIX + name).increment();
    }

    /** Publishes a value that is read at each scrape. */
    public <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
        Gauge.builder(PREFIX + name, source, value).strongReference(true).register(registry);
    }

    /** Publishes a rising count that is read at each scrape. */
    public <T> void counter(String name, String direction, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(PREFIX + name, source, value)
                .tags(Tags.of("direction", direction))
                .register(registry);
    }

    /** All metrics in Prometheus text form. */
    public String scrape() {
        return registry.scrape();
    }

    private Timer timer(String name, String team, String workClass) {
        return Timer.builder(PREFIX + name)
                .tags("team", team, "class", workClass)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }
}
