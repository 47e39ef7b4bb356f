package org.teaselwood.entry.http;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaselwood.model.PartReport;
import org.teaselwood.protocol.message.RegionView;
import org.teaselwood.protocol.message.RegionView.ServerView;

/** Read-only HTML status page of a region: racks, accelerators with the teams that use them, and fragmentation. */
public final class StatusPage {
    private static final int REFRESH_SECONDS = 5;
    private static final int HUE_DEGREES = 360;
    private static final String STYLE = """
            body{font:14px sans-serif;margin:1em 2em;color:#222}
            table{border-collapse:collapse}
            td,th{padding:2px 8px;text-align:left}
            .racks{display:flex;flex-wrap:wrap;gap:1em}
            .rack{border:1px solid #bbb;padding:.5em 1em}
            .accelerator{display:inline-block;width:1.6em;height:1.6em;line-height:1.6em;margin:1px;
            text-align:center;border:1px solid #999}
            .idle{background:#fff;color:#bbb}
            .condition{color:#a40;font-size:85%}
            """;

    private StatusPage() {}

    /** Returns the HTML page for a region. */
    public static String of(RegionView region) {
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<meta http-equiv=\"refresh\" content=\"")
                .append(REFRESH_SECONDS)
                .append("\"><title>")
                .append(escaped(region.region()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>");
        appendSummary(page, region);
        appendTeams(page, region);
        racksOf(region).forEach((dataCentre, racks) -> appendDataCentre(page, dataCentre, racks));
        return page.append("</body></html>").toString();
    }

    private static void appendSummary(StringBuilder page, RegionView region) {
        page.append("<h1>Region ").append(escaped(region.region())).append("</h1><table>");
        appendRow(page, "Fragmentation", String.format("%.1f %%", region.fragmentation() * 100));
        appendRow(page, "Placer", region.placer() + " (term " + region.term().number() + ")");
        appendRow(
                page,
                "Configuration",
                "revision " + region.configurationRevision() + "; lowest in force " + region.lowestRevision());
        appendRow(page, "Key-value service", region.storeReachable() ? "reachable" : "not reachable");
        appendRow(
                page,
                "Entries",
                region.entries().stream()
                        .map(entry -> entry.entry() + " (" + entry.dataCentre() + ")")
                        .collect(Collectors.joining(", ")));
        page.append("</table>");
    }

    private static void appendTeams(StringBuilder page, RegionView region) {
        TreeMap<String, Integer> teams = new TreeMap<>(region.waiting());
        region.running().keySet().forEach(team -> teams.putIfAbsent(team, 0));
        page.append("<h2>Teams</h2><table><tr><th>Team</th><th>Waiting</th><th>Running</th></tr>");
        teams.forEach((team, waiting) -> page.append("<tr><td><span class=\"accelerator\" style=\"")
                .append(colourOf(team))
                .append("\"></span> ")
                .append(escaped(team))
                .append("</td><td>")
                .append(waiting)
                .append("</td><td>")
                .append(region.running().getOrDefault(team, 0))
                .append("</td></tr>"));
        page.append("</table>");
    }

    private static void appendDataCentre(StringBuilder page, String dataCentre, Map<String, List<ServerView>> racks) {
        page.append("<h2>").append(escaped(dataCentre)).append("</h2><div class=\"racks\">");
        racks.forEach((rack, servers) -> {
            page.append("<div class=\"rack\"><h3>Rack ").append(escaped(rack)).append("</h3><table>");
            servers.forEach(server -> appendServer(page, server));
            page.append("</table></div>");
        });
        page.append("</div>");
    }

    private static void appendServer(StringBuilder page, ServerView view) {
        page.append("<tr><td>").append(escaped(view.server().name()));
        if (!"in-service".equals(view.condition())) {
            page.append(" <span class=\"condition\">")
                    .append(escaped(view.condition()))
                    .append("</span>");
        }
        page.append("</td><td>");
        IntStream.range(0, view.server().accelerators())
                .forEach(accelerator -> appendAccelerator(page, view, accelerator));
        page.append("</td></tr>");
    }

    private static void appendAccelerator(StringBuilder page, ServerView view, int accelerator) {
        int holder = IntStream.range(0, view.parts().size())
                .filter(index -> covers(view.parts().get(index), accelerator))
                .findFirst()
                .orElse(-1);
        if (holder < 0) {
            page.append("<span class=\"accelerator idle\">").append(accelerator).append("</span>");
            return;
        }
        PartReport report = view.parts().get(holder);
        String team = view.teams().get(holder);
        String title = team + ": job " + report.attempt() + ", part " + report.part() + " of " + report.parts() + ", "
                + JobJson.code(report.phase()) + ", " + report.progressPercent() + " %";
        page.append("<span class=\"accelerator\" style=\"")
                .append(colourOf(team))
                .append("\" title=\"")
                .append(escaped(title))
                .append("\">")
                .append(accelerator)
                .append("</span>");
    }

    private static boolean covers(PartReport report, int accelerator) {
        return report.phase().holdsResources()
                && report.firstAccelerator() >= 0
                && accelerator >= report.firstAccelerator()
                && accelerator < report.firstAccelerator() + report.resources().accelerators();
    }

    private static Map<String, Map<String, List<ServerView>>> racksOf(RegionView region) {
        return region.servers().stream()
                .sorted(Comparator.comparing(view -> view.server().name()))
                .collect(Collectors.groupingBy(
                        view -> view.server().dataCentre(),
                        TreeMap::new,
                        Collectors.groupingBy(view -> view.server().rack(), TreeMap::new, Collectors.toList())));
    }

    private static void appendRow(StringBuilder page, String name, String value) {
        page.append("<tr><th>")
                .append(escaped(name))
                .append("</th><td>")
                .append(escaped(value))
                .append("</td></tr>");
    }

    private static String colourOf(String team) {
        return "background:hsl(" + Math.floorMod(team.hashCode(), HUE_DEGREES) + ",60%,75%)";
    }

    /** Escapes a string for HTML text and attributes; names come from settings and callers and are not trusted. */
    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }
}
