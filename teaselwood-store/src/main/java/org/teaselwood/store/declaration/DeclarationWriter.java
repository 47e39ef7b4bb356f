package org.teaselwood.store.declaration;

import java.util.Set;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.settings.IniWriter;
import org.teaselwood.settings.Setting;
import org.teaselwood.settings.ValueTypes;

/**
 * Writer of a configuration as declarations in canonical form. Sections are ordered by name and every key is present,
 * so that equal configurations give equal text. {@link DeclarationReader} parses the text to an equal configuration.
 * Confined to one thread.
 */
public final class DeclarationWriter {
    private final IniWriter writer = new IniWriter();

    private DeclarationWriter() {}

    /** Returns the text of a configuration; its revision is not written. */
    public static String write(Configuration configuration) {
        DeclarationWriter declarations = new DeclarationWriter();
        configuration.templates().values().forEach(declarations::writeTemplate);
        configuration.teams().values().forEach(declarations::writeTeam);
        configuration.serverStates().forEach((name, state) -> {
            declarations.writer.section(DeclarationKeys.SERVER + " " + name);
            declarations.put(DeclarationKeys.STATE, ValueTypes.choiceText(state));
        });
        return declarations.writer.text();
    }

    private void writeTemplate(Template template) {
        writer.section(DeclarationKeys.TEMPLATE + " " + template.name());
        put(DeclarationKeys.KIND, ValueTypes.choiceText(template.kind()));
        putShape(template.shape(), template.capabilities());
        put(DeclarationKeys.RUN_TIME, template.declaredRunMilliseconds() + " ms");
        put(DeclarationKeys.CHECKPOINTABLE, template.checkpointable() ? "yes" : "no");
        put(DeclarationKeys.ATTEMPTS, String.valueOf(template.maximumAttempts()));
        put(DeclarationKeys.COMMAND, template.command());
        template.parameters().forEach(rule -> writeParameter(template, rule));
    }

    private void writeParameter(Template template, ParameterRule rule) {
        writer.section(DeclarationKeys.PARAMETER + " " + template.name() + " " + rule.name());
        put(DeclarationKeys.PATTERN, rule.pattern());
        rule.defaultValue().ifPresent(value -> put(DeclarationKeys.DEFAULT, value));
    }

    private void writeTeam(Team team) {
        writer.section(DeclarationKeys.TEAM + " " + team.name());
        put(DeclarationKeys.WEIGHT, String.valueOf(team.weight()));
        put(DeclarationKeys.QUOTA, String.valueOf(team.acceleratorQuota()));
        put(DeclarationKeys.QUEUE_LIMIT, String.valueOf(team.queueLimit()));
        int number = 1;
        for (Guarantee guarantee : team.guarantees()) {
            writer.section(DeclarationKeys.GUARANTEE + " " + team.name() + " " + number);
            put(DeclarationKeys.COUNT, String.valueOf(guarantee.count()));
            putShape(guarantee.shape(), guarantee.capabilities());
            number++;
        }
    }

    private void putShape(Shape shape, Set<String> capabilities) {
        put(DeclarationKeys.PARTS, String.valueOf(shape.parts()));
        put(DeclarationKeys.ACCELERATORS, String.valueOf(shape.part().accelerators()));
        put(DeclarationKeys.SLOTS, String.valueOf(shape.part().slots()));
        put(DeclarationKeys.CORES, String.valueOf(shape.part().cores()));
        put(DeclarationKeys.MEMORY, shape.part().memoryMebibytes() + " MiB");
        put(DeclarationKeys.ADJACENCY, ValueTypes.choiceText(shape.adjacency()));
        put(DeclarationKeys.CAPABILITIES, String.join(", ", capabilities));
    }

    private void put(Setting<?> setting, String value) {
        writer.entry(setting.key(), value);
    }
}
