package org.teaselwood.standins.worker;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.protocol.message.TaskSpecification;

/**
 * What the stand-in can run. Each command takes {@code run-milliseconds} of undisturbed time.
 *
 * <p>The answer of a part depends only on the command, the parameters and the part, so that a test can compute the
 * answer it must receive.
 */
public enum BuiltInCommand {
    /** Succeeds with an answer made of its parameters. */
    TRANSFORM,
    /** Fails at the end of its run time. */
    FAIL,
    /** Succeeds, and uses up to three times the memory and accelerators that it declared unless it is throttled. */
    GROW;

    /** Parameter: run time in milliseconds, 0 by default. */
    public static final String RUN_MILLISECONDS = "run-milliseconds";

    /** Parameter: length of the answer in bytes; without it the answer is as long as the parameters. */
    public static final String ANSWER_BYTES = "answer-bytes";

    /** Parameter: time that a checkpoint takes in milliseconds, 50 by default. */
    public static final String CHECKPOINT_MILLISECONDS = "checkpoint-milliseconds";

    /** The command of a name; null for an unknown one. */
    static BuiltInCommand of(String name) {
        return Arrays.stream(values())
                .filter(command -> command.commandName().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Name in a template. */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The answer of one part. */
    public static byte[] answer(TaskSpecification specification, int part) {
        Map<String, String> parameters = new TreeMap<>(specification.parameters());
        StringBuilder text =
                new StringBuilder(specification.command()).append(" part ").append(part);
        parameters.forEach(
                (name, value) -> text.append(' ').append(name).append('=').append(new StringBuilder(value).reverse()));
        byte[] content = text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
        int length = Integer.parseInt(parameters.getOrDefault(ANSWER_BYTES, String.valueOf(content.length)));
        byte[] sized = new byte[length];
        for (int index = 0; index < length; index++) {
            sized[index] = content[index % content.length];
        }
        return sized;
    }
}
