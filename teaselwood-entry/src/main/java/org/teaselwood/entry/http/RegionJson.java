package org.teaselwood.entry.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.teaselwood.model.PartReport;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.RegionView;
import org.teaselwood.protocol.message.RegionView.ServerView;

/** Conversion of the state of a region to JSON. Stateless and thread-safe. */
public final class RegionJson {
    private RegionJson() {}

    /** Returns the JSON of the state of a region. */
    public static JsonObject of(RegionView region) {
        return new JsonObject()
                .put("region", region.region())
                .put("placer", region.placer())
                .put("term", region.term().number())
                .put("configurationRevision", region.configurationRevision())
                .put("lowestRevision", region.lowestRevision())
                .put("storeReachable", region.storeReachable())
                .put("fragmentation", region.fragmentation())
                .put(
                        "entries",
                        new JsonArray(
                                region.entries().stream().map(RegionJson::of).toList()))
                .put(
                        "servers",
                        new JsonArray(
                                region.servers().stream().map(RegionJson::of).toList()))
                .put("waiting", counts(region.waiting()))
                .put("running", counts(region.running()));
    }

    private static JsonObject of(EntryAddress entry) {
        return new JsonObject()
                .put("entry", entry.entry())
                .put("dataCentre", entry.dataCentre())
                .put("address", entry.host() + ":" + entry.port());
    }

    private static JsonObject of(ServerView view) {
        List<JsonObject> parts = IntStream.range(0, view.parts().size())
                .mapToObj(index -> of(view.parts().get(index), view.teams().get(index)))
                .toList();
        return new JsonObject()
                .put("name", view.server().name())
                .put("dataCentre", view.server().dataCentre())
                .put("rack", view.server().rack())
                .put("condition", view.condition())
                .put("capabilities", new JsonArray(List.copyOf(view.server().capabilities())))
                .put("accelerators", view.server().accelerators())
                .put("parts", new JsonArray(parts));
    }

    private static JsonObject of(PartReport report, String team) {
        return new JsonObject()
                .put("job", report.attempt().job().value())
                .put("attempt", report.attempt().number())
                .put("part", report.part())
                .put("parts", report.parts())
                .put("team", team)
                .put("phase", JobJson.code(report.phase()))
                .put("firstAccelerator", report.firstAccelerator())
                .put("accelerators", report.resources().accelerators())
                .put("progressPercent", report.progressPercent());
    }

    private static JsonObject counts(Map<String, Integer> counts) {
        JsonObject json = new JsonObject();
        counts.forEach(json::put);
        return json;
    }
}
