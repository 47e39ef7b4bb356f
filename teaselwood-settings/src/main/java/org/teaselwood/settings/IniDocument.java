package org.teaselwood.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/**
 * A parsed INI file with the line number of every section and key. Immutable.
 *
 * <p>Sections and keys keep the order of the file. A line that begins with {@code #} or {@code ;} is a comment.
 *
 * @param file name of the file, for error messages
 * @param sections the sections
 */
public record IniDocument(String file, List<Section> sections) {
    /** Maximum size of a file in bytes. */
    public static final int MAXIMUM_BYTES = 1024 * 1024;

    /** Copies the list. */
    public IniDocument {
        sections = List.copyOf(sections);
    }

    /**
     * One section.
     *
     * @param name text between the brackets
     * @param line line number, from 1
     * @param entries entries in the order of the file
     */
    public record Section(String name, int line, List<Entry> entries) {
        /** Copies the list. */
        public Section {
            entries = List.copyOf(entries);
        }

        /** Returns the entry with the given key. */
        public Optional<Entry> find(String key) {
            return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
        }
    }

    /** A key with its value; line numbers start at 1. */
    public record Entry(String key, String value, int line) {}

    /**
     * Reads and parses a file.
     *
     * @param kind kind of the exception for every error
     * @throws TeaselwoodException of the given kind when the file cannot be read or is not an INI file
     */
    public static IniDocument read(Path path, ErrorKind kind) {
        try {
            if (Files.size(path) > MAXIMUM_BYTES) {
                throw TeaselwoodException.of(kind, path + ": the file exceeds " + MAXIMUM_BYTES + " bytes");
            }
            return parse(path.toString(), Files.readString(path, StandardCharsets.UTF_8), kind);
        } catch (IOException exception) {
            throw TeaselwoodException.causedBy(exception, kind, path + ": the file cannot be read: " + exception);
        }
    }

    /**
     * Parses the text of a file.
     *
     * @param kind kind of the exception for every error
     * @throws TeaselwoodException of the given kind when a line is neither a section, a key nor a comment, or when a
     *     section or key is duplicated
     */
    public static IniDocument parse(String file, String text, ErrorKind kind) {
        ValidationErrors errors = new ValidationErrors(file);
        LineIndex lineIndex = LineIndex.of(text, errors);
        errors.throwIfAny(kind);
        INIConfiguration configuration = new INIConfiguration();
        configuration.setSeparatorUsedInInput("=");
        try {
            configuration.read(new StringReader(text));
        } catch (ConfigurationException | IOException exception) {
            throw TeaselwoodException.causedBy(exception, kind, file + ": " + exception.getMessage());
        }
        List<Section> sections = new ArrayList<>();
        for (ImmutableNode node : configuration.getNodeModel().getNodeHandler().getRootNode()) {
            sections.add(sectionOf(node, lineIndex));
        }
        requireLineNumbers(sections, errors);
        errors.throwIfAny(kind);
        return new IniDocument(file, sections);
    }

    /**
     * Rejects entries without a line number. In some cases the library splits a line with a quoted part at the wrong
     * separator; the resulting key is then missing from the line index.
     */
    private static void requireLineNumbers(List<Section> sections, ValidationErrors errors) {
        for (Section section : sections) {
            section.entries().stream().filter(entry -> entry.line() == 0).forEach(entry -> {
                String message = "the line with '" + entry.key() + "' is ambiguous; put its whole value in quotes";
                errors.add(section.name(), "", section.line(), message);
            });
        }
    }

    private static Section sectionOf(ImmutableNode node, LineIndex lineIndex) {
        List<Entry> entries = new ArrayList<>();
        for (ImmutableNode child : node) {
            String key = child.getNodeName();
            String value = child.getValue() == null ? "" : child.getValue().toString();
            entries.add(new Entry(key, value, lineIndex.lineOf(node.getNodeName(), key)));
        }
        return new Section(node.getNodeName(), lineIndex.lineOf(node.getNodeName(), ""), entries);
    }

    /** Returns the section with the given name. */
    public Optional<Section> find(String name) {
        return sections.stream().filter(section -> section.name().equals(name)).findFirst();
    }
}
