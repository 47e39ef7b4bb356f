package org.teaselwood.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;

/**
 * A cluster with its teams and classes of work. Immutable. docs/policy.md gives the reasons for the parameters.
 *
 * @param servers backend servers
 * @param configuration configuration with the teams and their guarantees
 * @param classes classes of work
 * @param horizonMilliseconds duration of the arrivals in milliseconds
 * @param largeAccelerators minimum number of accelerators of a job that counts as large
 * @param serverLossesPerDay number of server losses per day
 */
record Deployment(
        List<BackendServer> servers,
        Configuration configuration,
        List<WorkClass> classes,
        long horizonMilliseconds,
        int largeAccelerators,
        double serverLossesPerDay) {
    private static final long SECOND = 1_000;
    private static final long MINUTE = 60 * SECOND;
    private static final long HOUR = 60 * MINUTE;
    private static final Set<String> SMALL = Set.of("proof");
    private static final Set<String> RENDER = Set.of("render");

    /** Returns the deployment with the given command-line name. */
    static Deployment named(String name) {
        return switch (name) {
            case "lab" -> lab();
            case "cooperativa" -> cooperativa();
            case "two-year" -> scaled(1_100, 1_400, 130);
            default -> throw new IllegalArgumentException("unknown deployment " + name);
        };
    }

    private static Deployment lab() {
        List<WorkClass> classes = List.of(
                new WorkClass(request("winding-plan", 1), 0.10, 4 * SECOND, 0.8, 2 * MINUTE, 150),
                new WorkClass(
                        job("drift-check", shape(1, 1, 2, Level.SERVER), SMALL, false, MINUTE),
                        0.10,
                        60 * SECOND,
                        1.0,
                        HOUR,
                        60),
                new WorkClass(
                        job("tuning-preview", shape(1, 2, 4, Level.SERVER), SMALL, true, 5 * MINUTE),
                        0.20,
                        4 * MINUTE,
                        1.2,
                        3 * HOUR,
                        10),
                new WorkClass(
                        job("chime-tuning-render", shape(3, 4, 8, Level.RACK), RENDER, true, 30 * MINUTE),
                        0.50,
                        20 * MINUTE,
                        1.2,
                        4 * HOUR,
                        4),
                new WorkClass(
                        job("carillon-render", shape(2, 8, 16, Level.RACK), RENDER, true, 30 * MINUTE),
                        0.20,
                        30 * MINUTE,
                        1.0,
                        4 * HOUR,
                        2));
        return new Deployment(
                elevenServers(32, 131_072),
                teams(List.of(
                        team("carillon", 2, guarantee(shape(3, 4, 8, Level.RACK), 2, RENDER)),
                        team("escapement-workshop", 2, guarantee(shape(1, 2, 4, Level.SERVER), 6, SMALL)),
                        team("public-clocks", 1, guarantee(shape(2, 8, 16, Level.RACK), 1, RENDER)),
                        team(
                                "winding-desk",
                                3,
                                guarantee(shape(1, 1, 2, Level.SERVER), 8, SMALL),
                                slots("proof", 24, 1)))),
                classes,
                24 * HOUR,
                12,
                0.2);
    }

    private static Deployment cooperativa() {
        List<WorkClass> classes = List.of(
                new WorkClass(request("engraving-proof", 2), 0.10, 3 * SECOND, 0.8, 2 * MINUTE, 150),
                new WorkClass(
                        job("plate-proof", shape(1, 1, 4, Level.SERVER), SMALL, false, 2 * MINUTE),
                        0.15,
                        2 * MINUTE,
                        1.2,
                        2 * HOUR,
                        40),
                new WorkClass(
                        job("tone-path", shape(1, 2, 8, Level.SERVER), SMALL, true, 10 * MINUTE),
                        0.20,
                        8 * MINUTE,
                        1.2,
                        4 * HOUR,
                        10),
                new WorkClass(
                        job("plate-path", shape(1, 4, 16, Level.SERVER), RENDER, true, 30 * MINUTE),
                        0.15,
                        20 * MINUTE,
                        1.2,
                        6 * HOUR,
                        4),
                new WorkClass(
                        job("etching-path", shape(2, 8, 32, Level.RACK), RENDER, true, HOUR),
                        0.50,
                        45 * MINUTE,
                        1.0,
                        6 * HOUR,
                        3));
        return new Deployment(
                elevenServers(64, 262_144),
                teams(List.of(
                        team("imprenta-aguada", 1, guarantee(shape(1, 4, 16, Level.SERVER), 2, RENDER)),
                        team(
                                "ordering-service",
                                3,
                                guarantee(shape(1, 1, 4, Level.SERVER), 8, SMALL),
                                slots("proof", 24, 2)),
                        team("taller-cordon", 2, guarantee(shape(2, 8, 32, Level.RACK), 1, RENDER)),
                        team("taller-pocitos", 2, guarantee(shape(2, 8, 32, Level.RACK), 1, RENDER)))),
                classes,
                24 * HOUR,
                12,
                0.2);
    }

    /** Returns the workload mix of the two-year size on a cluster of any size, in one region with nine data centres. */
    static Deployment scaled(int workers, int accelerators, int teamCount) {
        List<BackendServer> servers = new ArrayList<>();
        for (int index = 0; index < workers; index++) {
            int serverAccelerators =
                    (int) ((long) accelerators * (index + 1) / workers - (long) accelerators * index / workers);
            servers.add(server(index, serverAccelerators, 32, 131_072, 9 * index / Math.max(9, workers), index / 12));
        }
        int gang = Math.clamp(accelerators / 12, 2, Shape.MAXIMUM_PARTS);
        List<WorkClass> classes = List.of(
                new WorkClass(
                        job("batch", shape(11, 0, 4, Level.DATA_CENTRE), Set.of(), true, 6 * HOUR),
                        0.35,
                        6 * HOUR,
                        0.7,
                        24 * HOUR,
                        10),
                new WorkClass(
                        job("single", shape(1, 1, 4, Level.SERVER), SMALL, true, 2 * HOUR),
                        0.20,
                        4 * HOUR,
                        1.0,
                        24 * HOUR,
                        20),
                new WorkClass(
                        job("octet", shape(8, 1, 4, Level.RACK), SMALL, true, 4 * HOUR),
                        0.40,
                        6 * HOUR,
                        1.0,
                        24 * HOUR,
                        4),
                new WorkClass(
                        job("gang", shape(gang, 1, 4, Level.REGION), RENDER, true, 4 * HOUR),
                        0.40,
                        4 * HOUR,
                        0.8,
                        24 * HOUR,
                        1));
        List<Team> teams = new ArrayList<>();
        for (int index = 0; index < teamCount; index++) {
            String name = "team-%03d".formatted(index);
            int guaranteedShapes = Math.max(1, accelerators / 2 / teamCount);
            List<Guarantee> guarantees = new ArrayList<>();
            if (index % 10 == 0 && accelerators >= 8 * teamCount) {
                guarantees.add(guarantee(shape(8, 1, 4, Level.RACK), 1, SMALL));
            } else {
                guarantees.add(guarantee(shape(1, 1, 4, Level.SERVER), guaranteedShapes, SMALL));
            }
            teams.add(new Team(name, guarantees, 1 + index % 3, accelerators, 2_000));
        }
        return new Deployment(servers, teams(teams), classes, 48 * HOUR, Math.max(8, gang), 21.0 * workers / 1_100);
    }

    private static List<BackendServer> elevenServers(int cores, int memory) {
        List<BackendServer> servers = new ArrayList<>();
        for (int index = 0; index < 11; index++) {
            int rack = index / 3;
            servers.add(server(index, 8, cores, memory, Math.max(0, rack - 1), rack));
        }
        return servers;
    }

    private static BackendServer server(int index, int accelerators, int cores, int memory, int dataCentre, int rack) {
        // One server in eleven cannot render; one in four is of a faster hardware generation.
        Set<String> capabilities = index % 11 == 10 ? SMALL : Set.of("proof", "render");
        String name = "s%04d".formatted(index);
        double speed = index % 4 == 3 ? 1.2 : 1.0;
        return new BackendServer(
                name,
                "region",
                "d%d".formatted(dataCentre),
                "k%03d".formatted(rack),
                capabilities,
                accelerators,
                cores,
                memory,
                8,
                64,
                speed);
    }

    private static Shape shape(int parts, int accelerators, int cores, Level level) {
        return new Shape(parts, new PartResources(accelerators, 0, cores, 1_024), level);
    }

    private static Template request(String name, int cores) {
        Shape shape = new Shape(1, new PartResources(0, 1, cores, 512), Level.SERVER);
        return new Template(name, WorkKind.REQUEST, shape, SMALL, List.of(), 4 * SECOND, false, 4, name);
    }

    private static Template job(String name, Shape shape, Set<String> needs, boolean checkpointable, long declared) {
        return new Template(name, WorkKind.JOB, shape, needs, List.of(), declared, checkpointable, 4, name);
    }

    private static Guarantee guarantee(Shape shape, int count, Set<String> capabilities) {
        return new Guarantee(shape, count, capabilities);
    }

    private static Guarantee slots(String capability, int count, int cores) {
        Shape shape = new Shape(1, new PartResources(0, 1, cores, 512), Level.SERVER);
        return new Guarantee(shape, count, Set.of(capability));
    }

    private static Team team(String name, int weight, Guarantee... guarantees) {
        return new Team(name, List.of(guarantees), weight, 88, 5_000);
    }

    private static Configuration teams(List<Team> teams) {
        Map<String, Team> byName = new TreeMap<>();
        teams.forEach(team -> byName.put(team.name(), team));
        return new Configuration(1, Map.of(), byName, Map.of());
    }

    /** Returns the total number of accelerators. */
    int accelerators() {
        return servers.stream().mapToInt(BackendServer::accelerators).sum();
    }
}
