package org.teaselwood.entry.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.Level;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.protocol.message.ConfigurationChange;

/** Conversion of configurations and configuration changes to and from JSON. Stateless and thread-safe. */
public final class ConfigurationJson {
    private static final int MAXIMUM_MEBIBYTES = 1 << 24;

    private ConfigurationJson() {}

    /** Returns the JSON of a configuration. */
    public static JsonObject of(Configuration configuration) {
        return new JsonObject()
                .put("revision", configuration.revision())
                .put("templates", array(configuration.templates().values(), ConfigurationJson::of))
                .put("teams", array(configuration.teams().values(), ConfigurationJson::of))
                .put("serverStates", states(configuration.serverStates()));
    }

    /**
     * Returns the configuration of a JSON object.
     *
     * @throws TeaselwoodException of kind BAD_REQUEST or BAD_CONFIGURATION
     */
    public static Configuration configurationOf(JsonFields fields) {
        Map<String, Template> templates = new TreeMap<>();
        fields.objects("templates").stream()
                .map(ConfigurationJson::templateOf)
                .forEach(template -> templates.put(template.name(), template));
        Map<String, Team> teams = new TreeMap<>();
        fields.objects("teams").stream().map(ConfigurationJson::teamOf).forEach(team -> teams.put(team.name(), team));
        return new Configuration(
                fields.number("revision", 0, 0, Long.MAX_VALUE),
                templates,
                teams,
                statesOf(fields.textMap("serverStates")));
    }

    /** Returns the JSON of a configuration change. */
    public static JsonObject of(ConfigurationChange change) {
        return new JsonObject()
                .put("identifier", change.identifier())
                .put("baseRevision", change.baseRevision())
                .put("templates", array(change.templates(), ConfigurationJson::of))
                .put("removedTemplates", new JsonArray(change.removedTemplates()))
                .put("teams", array(change.teams(), ConfigurationJson::of))
                .put("removedTeams", new JsonArray(change.removedTeams()))
                .put("serverStates", states(change.serverStates()));
    }

    /**
     * Returns the configuration change of a request body.
     *
     * @throws TeaselwoodException of kind BAD_REQUEST or BAD_CONFIGURATION
     */
    public static ConfigurationChange changeOf(JsonFields fields) {
        ConfigurationChange change = new ConfigurationChange(
                fields.text("identifier"),
                fields.number("baseRevision", -1, 0, Long.MAX_VALUE),
                fields.objects("templates").stream()
                        .map(ConfigurationJson::templateOf)
                        .toList(),
                fields.textList("removedTemplates"),
                fields.objects("teams").stream().map(ConfigurationJson::teamOf).toList(),
                fields.textList("removedTeams"),
                statesOf(fields.textMap("serverStates")));
        fields.rejectUnknownFields();
        if (change.baseRevision() < 0) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "baseRevision is required");
        }
        return change;
    }

    private static JsonObject of(Template template) {
        return new JsonObject()
                .put("name", template.name())
                .put("kind", JobJson.code(template.kind()))
                .put("shape", of(template.shape()))
                .put("capabilities", new JsonArray(List.copyOf(template.capabilities())))
                .put("parameters", array(template.parameters(), ConfigurationJson::of))
                .put("declaredRunMilliseconds", template.declaredRunMilliseconds())
                .put("checkpointable", template.checkpointable())
                .put("attempts", template.maximumAttempts())
                .put("command", template.command());
    }

    private static Template templateOf(JsonFields fields) {
        Template template = new Template(
                fields.text("name"),
                fields.constant("kind", WorkKind.class),
                shapeOf(fields.object("shape")),
                new HashSet<>(fields.textList("capabilities")),
                fields.objects("parameters").stream()
                        .map(ConfigurationJson::ruleOf)
                        .toList(),
                fields.number("declaredRunMilliseconds", 0, 0, Long.MAX_VALUE),
                fields.flag("checkpointable", false),
                fields.integer("attempts", 1, 1, Integer.MAX_VALUE),
                fields.text("command"));
        fields.rejectUnknownFields();
        return template;
    }

    private static JsonObject of(Shape shape) {
        return new JsonObject()
                .put("parts", shape.parts())
                .put("acceleratorsPerPart", shape.part().accelerators())
                .put("slotsPerPart", shape.part().slots())
                .put("coresPerPart", shape.part().cores())
                .put("memoryMebibytesPerPart", shape.part().memoryMebibytes())
                .put("adjacency", JobJson.code(shape.adjacency()));
    }

    private static Shape shapeOf(JsonFields fields) {
        Shape shape = new Shape(
                fields.integer("parts", 1, 1, Shape.MAXIMUM_PARTS),
                new PartResources(
                        fields.integer("acceleratorsPerPart", 0, 0, Short.MAX_VALUE),
                        fields.integer("slotsPerPart", 0, 0, Short.MAX_VALUE),
                        fields.integer("coresPerPart", 0, 0, Short.MAX_VALUE),
                        fields.integer("memoryMebibytesPerPart", 0, 0, MAXIMUM_MEBIBYTES)),
                fields.constant("adjacency", Level.class));
        fields.rejectUnknownFields();
        return shape;
    }

    private static JsonObject of(ParameterRule rule) {
        JsonObject json = new JsonObject().put("name", rule.name()).put("pattern", rule.pattern());
        rule.defaultValue().ifPresent(value -> json.put("default", value));
        return json;
    }

    private static ParameterRule ruleOf(JsonFields fields) {
        ParameterRule rule =
                new ParameterRule(fields.text("name"), fields.text("pattern"), fields.optionalText("default"));
        fields.rejectUnknownFields();
        return rule;
    }

    private static JsonObject of(Team team) {
        return new JsonObject()
                .put("name", team.name())
                .put("guarantees", array(team.guarantees(), ConfigurationJson::of))
                .put("weight", team.weight())
                .put("acceleratorQuota", team.acceleratorQuota())
                .put("queueLimit", team.queueLimit());
    }

    private static Team teamOf(JsonFields fields) {
        Team team = new Team(
                fields.text("name"),
                fields.objects("guarantees").stream()
                        .map(ConfigurationJson::guaranteeOf)
                        .toList(),
                fields.integer("weight", 1, 1, Integer.MAX_VALUE),
                fields.integer("acceleratorQuota", 0, 0, Integer.MAX_VALUE),
                fields.integer("queueLimit", 0, 0, Integer.MAX_VALUE));
        fields.rejectUnknownFields();
        return team;
    }

    private static JsonObject of(Guarantee guarantee) {
        return new JsonObject()
                .put("shape", of(guarantee.shape()))
                .put("count", guarantee.count())
                .put("capabilities", new JsonArray(List.copyOf(guarantee.capabilities())));
    }

    private static Guarantee guaranteeOf(JsonFields fields) {
        Guarantee guarantee = new Guarantee(
                shapeOf(fields.object("shape")),
                fields.integer("count", 1, 1, Integer.MAX_VALUE),
                new HashSet<>(fields.textList("capabilities")));
        fields.rejectUnknownFields();
        return guarantee;
    }

    private static JsonObject states(Map<String, ServiceState> states) {
        JsonObject json = new JsonObject();
        states.forEach((server, state) -> json.put(server, JobJson.code(state)));
        return json;
    }

    private static Map<String, ServiceState> statesOf(Map<String, String> texts) {
        Map<String, ServiceState> states = new TreeMap<>();
        texts.forEach((server, text) -> states.put(server, stateOf(server, text)));
        return states;
    }

    private static ServiceState stateOf(String server, String text) {
        try {
            return ServiceState.valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException exception) {
            throw TeaselwoodException.causedBy(
                    exception,
                    ErrorKind.BAD_REQUEST,
                    "serverStates." + server + ": " + text + " is not a service state");
        }
    }

    private static <T> JsonArray array(Collection<T> values, Function<T, JsonObject> converter) {
        return new JsonArray(values.stream().map(converter).toList());
    }
}
