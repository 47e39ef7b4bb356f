package org.teaselwood.bench.control;

import io.vertx.core.json.JsonObject;
import java.util.stream.Stream;

/** Reads values from the JSON document that describes the region. Stateless. */
final class RegionState {
    private RegionState() {}

    /** Returns the number of backend servers that are in service. */
    static long inService(JsonObject region) {
        return servers(region).filter(RegionState::isInService).count();
    }

    /** Returns whether a backend server is in service. */
    static boolean inService(JsonObject region, String server) {
        return servers(region).anyMatch(view -> view.getString("name").equals(server) && isInService(view));
    }

    /** Returns the number of running jobs. */
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
