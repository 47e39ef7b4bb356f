package org.teaselwood.store.declaration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.ParameterRule;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;
import org.teaselwood.settings.IniDocument;
import org.teaselwood.settings.SectionSchema;
import org.teaselwood.settings.SectionValues;
import org.teaselwood.settings.ValidationErrors;
import org.teaselwood.settings.ValueTypes;
import org.teaselwood.store.configuration.ConfigurationRules;

/**
 * Parser of a declarations file into a configuration of revision 0. Confined to one thread; an instance reads one file.
 *
 * <p>Sections: {@code [template NAME]}, {@code [parameter TEMPLATE NAME]}, {@code [team NAME]},
 * {@code [guarantee TEAM NUMBER]} and {@code [server NAME]}. Parameters and guarantees keep the order of the file.
 */
public final class DeclarationReader {
    private final ValidationErrors errors;
    private final IniDocument document;
    private final Map<String, SectionValues> templates = new TreeMap<>();
    private final Map<String, SectionValues> teams = new TreeMap<>();
    private final Map<String, List<ParameterRule>> parameters = new TreeMap<>();
    private final Map<String, List<Guarantee>> guarantees = new TreeMap<>();
    private final Map<String, ServiceState> servers = new TreeMap<>();
    private boolean allValuesValid = true;

    private DeclarationReader(IniDocument document) {
        this.document = document;
        this.errors = new ValidationErrors(document.file());
    }

    /**
     * Reads and validates a file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_CONFIGURATION with file, line, section and key of
     *     every error
     */
    public static Configuration read(Path path) {
        return of(IniDocument.read(path, ErrorKind.BAD_CONFIGURATION));
    }

    /**
     * Validates a parsed file.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_CONFIGURATION with file, line, section and key of
     *     every error
     */
    public static Configuration of(IniDocument document) {
        return new DeclarationReader(document).read();
    }

    private Configuration read() {
        document.sections().forEach(this::readSection);
        document.sections().forEach(this::requireParentSection);
        errors.throwIfAny(ErrorKind.BAD_CONFIGURATION);
        Configuration configuration = new Configuration(0, templates(), teams(), servers);
        ConfigurationRules.check(configuration).forEach(this::addViolation);
        errors.throwIfAny(ErrorKind.BAD_CONFIGURATION);
        return configuration;
    }

    private void readSection(IniDocument.Section section) {
        List<String> words = Arrays.asList(section.name().split(" ", -1));
        String name = words.size() > 1 ? words.get(1) : "";
        String sectionType = words.getFirst() + "/" + words.size();
        switch (sectionType) {
            case DeclarationKeys.TEMPLATE + "/2" ->
                templates.put(name, parse(section, DeclarationKeys.TEMPLATE_SCHEMA));
            case DeclarationKeys.TEAM + "/2" -> teams.put(name, parse(section, DeclarationKeys.TEAM_SCHEMA));
            case DeclarationKeys.SERVER + "/2" -> readServer(section, name);
            case DeclarationKeys.PARAMETER + "/3" -> readParameter(section, name, words.get(2));
            case DeclarationKeys.GUARANTEE + "/3" -> readGuarantee(section, name, words.get(2));
            default ->
                errors.add(
                        section.name(),
                        "",
                        section.line(),
                        "unknown section; expected [template NAME], [parameter TEMPLATE NAME], [team NAME],"
                                + " [guarantee TEAM NUMBER] or [server NAME]");
        }
        words.stream().skip(1).filter(word -> !ValueTypes.isName(word)).forEach(word -> {
            errors.add(section.name(), "", section.line(), "'" + word + "' is not a valid name");
        });
    }

    private SectionValues parse(IniDocument.Section section, SectionSchema schema) {
        SectionValues values = schema.parse(section, errors);
        allValuesValid &= schema.settings().stream().allMatch(values::has);
        return values;
    }

    private void readServer(IniDocument.Section section, String name) {
        SectionValues values = parse(section, DeclarationKeys.SERVER_SCHEMA);
        if (allValuesValid && values.get(DeclarationKeys.STATE) != ServiceState.IN_SERVICE) {
            servers.put(name, values.get(DeclarationKeys.STATE));
        }
    }

    private void readParameter(IniDocument.Section section, String template, String name) {
        SectionValues values = parse(section, DeclarationKeys.PARAMETER_SCHEMA);
        if (allValuesValid) {
            parameters
                    .computeIfAbsent(template, key -> new ArrayList<>())
                    .add(new ParameterRule(
                            name, values.get(DeclarationKeys.PATTERN), values.get(DeclarationKeys.DEFAULT)));
        }
    }

    /**
     * Reads a guarantee. Guarantees must be numbered in file order, because {@link ConfigurationRules} identifies them
     * by their position and errors are mapped back to the section with that number.
     */
    private void readGuarantee(IniDocument.Section section, String team, String number) {
        SectionValues values = parse(section, DeclarationKeys.GUARANTEE_SCHEMA);
        List<Guarantee> list = guarantees.computeIfAbsent(team, key -> new ArrayList<>());
        if (allValuesValid) {
            String expected = String.valueOf(list.size() + 1);
            if (!expected.equals(number)) {
                errors.add(section.name(), "", section.line(), "the guarantee number must be " + expected);
            }
            Set<String> capabilities = new TreeSet<>(values.get(DeclarationKeys.CAPABILITIES));
            list.add(new Guarantee(DeclarationKeys.shapeOf(values), values.get(DeclarationKeys.COUNT), capabilities));
        }
    }

    private void requireParentSection(IniDocument.Section section) {
        String[] words = section.name().split(" ", -1);
        if (words.length != 3) {
            return;
        }
        if (words[0].equals(DeclarationKeys.PARAMETER) && !templates.containsKey(words[1])) {
            errors.add(section.name(), "", section.line(), "there is no section [template " + words[1] + "]");
        }
        if (words[0].equals(DeclarationKeys.GUARANTEE) && !teams.containsKey(words[1])) {
            errors.add(section.name(), "", section.line(), "there is no section [team " + words[1] + "]");
        }
    }

    private Map<String, Template> templates() {
        Map<String, Template> result = new TreeMap<>();
        templates.forEach((name, values) -> result.put(
                name,
                new Template(
                        name,
                        values.get(DeclarationKeys.KIND),
                        DeclarationKeys.shapeOf(values),
                        new TreeSet<>(values.get(DeclarationKeys.CAPABILITIES)),
                        parameters.getOrDefault(name, List.of()),
                        values.get(DeclarationKeys.RUN_TIME),
                        values.get(DeclarationKeys.CHECKPOINTABLE),
                        values.get(DeclarationKeys.ATTEMPTS),
                        values.get(DeclarationKeys.COMMAND))));
        return result;
    }

    private Map<String, Team> teams() {
        Map<String, Team> result = new TreeMap<>();
        teams.forEach((name, values) -> result.put(
                name,
                new Team(
                        name,
                        guarantees.getOrDefault(name, List.of()),
                        values.get(DeclarationKeys.WEIGHT),
                        values.get(DeclarationKeys.QUOTA),
                        values.get(DeclarationKeys.QUEUE_LIMIT))));
        return result;
    }

    private void addViolation(ConfigurationRules.Violation violation) {
        IniDocument.Section section = document.find(violation.section()).orElse(null);
        int line = section == null
                ? 0
                : section.find(violation.key()).map(IniDocument.Entry::line).orElse(section.line());
        errors.add(violation.section(), violation.key(), line, violation.text());
    }
}
