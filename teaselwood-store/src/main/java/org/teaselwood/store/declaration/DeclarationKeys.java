package org.teaselwood.store.declaration;

import java.util.List;
import java.util.Optional;
import org.teaselwood.model.Level;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;
import org.teaselwood.model.WorkKind;
import org.teaselwood.settings.SectionSchema;
import org.teaselwood.settings.SectionValues;
import org.teaselwood.settings.Setting;
import org.teaselwood.settings.ValueTypes;

/** Sections and keys of a declarations file. Thread-safe. */
final class DeclarationKeys {
    static final String TEMPLATE = "template";
    static final String PARAMETER = "parameter";
    static final String TEAM = "team";
    static final String GUARANTEE = "guarantee";
    static final String SERVER = "server";

    private static final int MAXIMUM_COUNT = 65_536;
    private static final int MAXIMUM_MEMORY_MEBIBYTES = 64 * 1024 * 1024;
    private static final long MAXIMUM_RUN_MILLISECONDS = 90L * 86_400_000;

    static final Setting<Integer> PARTS = Setting.withDefault("parts", ValueTypes.count(1, Shape.MAXIMUM_PARTS), 1);
    static final Setting<Integer> ACCELERATORS =
            Setting.withDefault("accelerators", ValueTypes.count(0, MAXIMUM_COUNT), 0);
    static final Setting<Integer> SLOTS = Setting.withDefault("slots", ValueTypes.count(0, MAXIMUM_COUNT), 0);
    static final Setting<Integer> CORES = Setting.withDefault("cores", ValueTypes.count(0, MAXIMUM_COUNT), 0);
    static final Setting<Integer> MEMORY =
            Setting.withDefault("memory", ValueTypes.memory(0, MAXIMUM_MEMORY_MEBIBYTES), 0);
    static final Setting<Level> ADJACENCY =
            Setting.withDefault("adjacency", ValueTypes.choice(Level.class), Level.REGION);
    static final Setting<List<String>> CAPABILITIES =
            Setting.withDefault("capabilities", ValueTypes.listOf(ValueTypes.name()), List.of());

    static final Setting<WorkKind> KIND = Setting.required("kind", ValueTypes.choice(WorkKind.class));
    static final Setting<Long> RUN_TIME =
            Setting.required("run-time", ValueTypes.duration(1, MAXIMUM_RUN_MILLISECONDS));
    static final Setting<Boolean> CHECKPOINTABLE = Setting.withDefault("checkpointable", ValueTypes.flag(), false);
    static final Setting<Integer> ATTEMPTS = Setting.withDefault("attempts", ValueTypes.count(1, 16), 3);
    static final Setting<String> COMMAND = Setting.required("command", ValueTypes.text());

    static final Setting<String> PATTERN = Setting.required("pattern", ValueTypes.text());
    static final Setting<Optional<String>> DEFAULT = Setting.optional("default", text -> text);

    static final Setting<Integer> WEIGHT = Setting.withDefault("weight", ValueTypes.count(1, MAXIMUM_COUNT), 1);
    static final Setting<Integer> QUOTA = Setting.required("accelerator-quota", ValueTypes.count(0, MAXIMUM_COUNT));
    static final Setting<Integer> QUEUE_LIMIT =
            Setting.withDefault("queue-limit", ValueTypes.count(1, MAXIMUM_COUNT), 1_000);

    static final Setting<Integer> COUNT = Setting.withDefault("count", ValueTypes.count(1, MAXIMUM_COUNT), 1);

    static final Setting<ServiceState> STATE = Setting.required("state", ValueTypes.choice(ServiceState.class));

    static final SectionSchema TEMPLATE_SCHEMA = SectionSchema.of(
            KIND,
            PARTS,
            ACCELERATORS,
            SLOTS,
            CORES,
            MEMORY,
            ADJACENCY,
            CAPABILITIES,
            RUN_TIME,
            CHECKPOINTABLE,
            ATTEMPTS,
            COMMAND);
    static final SectionSchema PARAMETER_SCHEMA = SectionSchema.of(PATTERN, DEFAULT);
    static final SectionSchema TEAM_SCHEMA = SectionSchema.of(WEIGHT, QUOTA, QUEUE_LIMIT);
    static final SectionSchema GUARANTEE_SCHEMA =
            SectionSchema.of(COUNT, PARTS, ACCELERATORS, SLOTS, CORES, MEMORY, ADJACENCY, CAPABILITIES);
    static final SectionSchema SERVER_SCHEMA = SectionSchema.of(STATE);

    private DeclarationKeys() {}

    /** Returns the shape that a section without errors declares. */
    static Shape shapeOf(SectionValues values) {
        PartResources part =
                new PartResources(values.get(ACCELERATORS), values.get(SLOTS), values.get(CORES), values.get(MEMORY));
        return new Shape(values.get(PARTS), part, values.get(ADJACENCY));
    }
}
