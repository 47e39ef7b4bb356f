package org.teaselwood.standins.worker;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.protocol.message.TaskSpecification;

/**
 * Commands that the worker stand-in can run. Each takes {@code run-milliseconds} if it is not slowed down or stopped.
 *
 * <p>The answer of a part depends only on the command, the parameters and the part number, so that a test can compute
 * the expected answer.
 */
public enum BuiltInCommand {
    /** Succeeds with an answer that is derived from its parameters. */
    TRANSFORM,
    /** Fails when its run time has elapsed. */
    FAIL,
    /** Succeeds, and uses up to three times its declared memory and accelerators unless it is throttled. */
    GROW;

    /** Parameter for the run time in milliseconds; 0 by default. */
    public static final String RUN_MILLISECONDS = "run-milliseconds";

    /** Parameter for the length of the answer in bytes; by default, that of the text derived from the parameters. */
    public static final String ANSWER_BYTES = "answer-bytes";

    /** Parameter for the duration of a checkpoint in milliseconds; 50 by default. */
    public static final String CHECKPOINT_MILLISECONDS = "checkpoint-milliseconds";

    /** Returns the command with a name, or null if there is none. */
    static BuiltInCommand of(String name) {
        return Arrays.stream(values())
                .filter(command -> command.commandName().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Returns the name that templates use for the command. */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the answer of one part. */
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
