package org.teaselwood.bench.control;

import io.vertx.core.json.JsonObject;
import java.util.stream.Stream;

/** Reads what the benchmark needs from the region's document. */
final class RegionState {
    private RegionState() {}

    /** Number of backend servers that get new work. */
    static long inService(JsonObject region) {
        return servers(region).filter(RegionState::isInService).count();
    }

    /** Whether a backend server gets new work. */
    static boolean inService(JsonObject region, String server) {
        return servers(region).anyMatch(view -> view.getString("name").equals(server) && isInService(view));
    }

    /** Number of running jobs. */
    static int running(JsonObject region) {
        return region.getJsonObject("running").stream()
                .mapToInt(entry -> (Integer) entry.getValue())
                .sum();
    }

    private static boolean isInService(JsonObject view) {
        return "in-service".equals(view.getString("condition"));
    }

    private static Stream<JsonObject> servers(JsonObject region) {
        return region.getJsonArray("servers").stream().map(JsonObject.class::cast);
    }
}
