package org.teaselwood.store.configuration;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
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
import org.teaselwood.store.JsonDocuments;

/**
 * Encoder and decoder of the JSON documents of the configuration, one document for each object. Thread-safe.
 *
 * <p>Equal objects are encoded to equal bytes. Unknown fields are ignored, so that entries of two versions can read the
 * same document during a rolling upgrade.
 */
final class ConfigurationDocuments {
    private ConfigurationDocuments() {}

    static byte[] encodeHead(long revision, String change) {
        return bytes(new JsonObject().put("revision", revision).put("change", change));
    }

    static long decodeHead(byte[] document) {
        return required(parse(document).getLong("revision"), "revision");
    }

    static byte[] encodeChange(AcceptedChange change) {
        return bytes(new JsonObject().put("revision", change.revision()).put("digest", change.digest()));
    }

    static AcceptedChange decodeChange(byte[] document) {
        JsonObject json = parse(document);
        return new AcceptedChange(required(json.getLong("revision"), "revision"), text(json, "digest"));
    }

    static byte[] encodeState(ServiceState state) {
        return bytes(new JsonObject().put("state", state.name()));
    }

    static ServiceState decodeState(byte[] document) {
        return ServiceState.valueOf(text(parse(document), "state"));
    }

    static byte[] encodeTemplate(Template template) {
        JsonArray parameters = new JsonArray();
        template.parameters().forEach(rule -> parameters.add(encodeParameter(rule)));
        return bytes(new JsonObject()
                .put("kind", template.kind().name())
                .put("shape", encodeShape(template.shape()))
                .put("capabilities", new JsonArray(List.copyOf(template.capabilities())))
                .put("parameters", parameters)
                .put("declaredRunMilliseconds", template.declaredRunMilliseconds())
                .put("checkpointable", template.checkpointable())
                .put("attempts", template.maximumAttempts())
                .put("command", template.command()));
    }

    static Template decodeTemplate(String name, byte[] document) {
        JsonObject json = parse(document);
        return new Template(
                name,
                WorkKind.valueOf(text(json, "kind")),
                decodeShape(required(json.getJsonObject("shape"), "shape")),
                decodeNames(json, "capabilities"),
                required(json.getJsonArray("parameters"), "parameters").stream()
                        .map(JsonObject.class::cast)
                        .map(ConfigurationDocuments::decodeParameter)
                        .toList(),
                required(json.getLong("declaredRunMilliseconds"), "declaredRunMilliseconds"),
                required(json.getBoolean("checkpointable"), "checkpointable"),
                number(json, "attempts"),
                text(json, "command"));
    }

    static byte[] encodeTeam(Team team) {
        JsonArray guarantees = new JsonArray();
        team.guarantees().forEach(guarantee -> guarantees.add(encodeGuarantee(guarantee)));
        return bytes(new JsonObject()
                .put("guarantees", guarantees)
                .put("weight", team.weight())
                .put("acceleratorQuota", team.acceleratorQuota())
                .put("queueLimit", team.queueLimit()));
    }

    static Team decodeTeam(String name, byte[] document) {
        JsonObject json = parse(document);
        return new Team(
                name,
                required(json.getJsonArray("guarantees"), "guarantees").stream()
                        .map(JsonObject.class::cast)
                        .map(ConfigurationDocuments::decodeGuarantee)
                        .toList(),
                number(json, "weight"),
                number(json, "acceleratorQuota"),
                number(json, "queueLimit"));
    }

    private static JsonObject encodeParameter(ParameterRule rule) {
        JsonObject json = new JsonObject().put("name", rule.name()).put("pattern", rule.pattern());
        rule.defaultValue().ifPresent(value -> json.put("default", value));
        return json;
    }

    private static ParameterRule decodeParameter(JsonObject json) {
        return new ParameterRule(
                text(json, "name"), text(json, "pattern"), Optional.ofNullable(json.getString("default")));
    }

    private static JsonObject encodeGuarantee(Guarantee guarantee) {
        return new JsonObject()
                .put("shape", encodeShape(guarantee.shape()))
                .put("count", guarantee.count())
                .put("capabilities", new JsonArray(List.copyOf(guarantee.capabilities())));
    }

    private static Guarantee decodeGuarantee(JsonObject json) {
        return new Guarantee(
                decodeShape(required(json.getJsonObject("shape"), "shape")),
                number(json, "count"),
                decodeNames(json, "capabilities"));
    }

    private static JsonObject encodeShape(Shape shape) {
        return new JsonObject()
                .put("parts", shape.parts())
                .put("accelerators", shape.part().accelerators())
                .put("slots", shape.part().slots())
                .put("cores", shape.part().cores())
                .put("memoryMebibytes", shape.part().memoryMebibytes())
                .put("adjacency", shape.adjacency().name());
    }

    private static Shape decodeShape(JsonObject json) {
        PartResources part = new PartResources(
                number(json, "accelerators"),
                number(json, "slots"),
                number(json, "cores"),
                number(json, "memoryMebibytes"));
        return new Shape(number(json, "parts"), part, Level.valueOf(text(json, "adjacency")));
    }

    private static Set<String> decodeNames(JsonObject json, String field) {
        Set<String> names = new TreeSet<>();
        required(json.getJsonArray(field), field).forEach(name -> names.add((String) name));
        return names;
    }

    private static byte[] bytes(JsonObject json) {
        return json.toBuffer().getBytes();
    }

    private static JsonObject parse(byte[] document) {
        return JsonDocuments.parse(document);
    }

    private static String text(JsonObject json, String field) {
        return required(json.getString(field), field);
    }

    private static int number(JsonObject json, String field) {
        return Math.toIntExact(required(json.getLong(field), field));
    }

    private static <T> T required(T value, String field) {
        if (value == null) {
            throw TeaselwoodException.of(ErrorKind.BAD_CONFIGURATION, "the field " + field + " is missing");
        }
        return value;
    }
}
