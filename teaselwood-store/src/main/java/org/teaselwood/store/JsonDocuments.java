package org.teaselwood.store;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Parses JSON documents that other processes have written. Stateless.
 *
 * <p>The parser calls itself for each level of nesting. On the small stacks of the deployed programs it overflows the
 * stack long before it reaches a limit of its own, and the error ends whatever is being done on that thread.
 */
public final class JsonDocuments {
    /** Largest depth of nested objects and arrays; no document of this project or of its users has more than ten. */
    private static final int MAXIMUM_DEPTH = 64;

    private JsonDocuments() {}

    /**
     * Parses an object.
     *
     * @throws DecodeException if the document is not JSON or is nested too deeply
     * @throws ClassCastException if the document is not an object
     */
    public static JsonObject parse(byte[] document) {
        requireDepth(document);
        return new JsonObject(Buffer.buffer(document));
    }

    /**
     * Parses an object.
     *
     * @throws DecodeException if the document is not JSON or is nested too deeply
     * @throws ClassCastException if the document is not an object
     */
    public static JsonObject parse(Buffer document) {
        return parse(document.getBytes());
    }

    /**
     * Counts the brackets outside of strings. The bytes of these characters occur in no multi-byte character of UTF-8.
     */
    private static void requireDepth(byte[] document) {
        int depth = 0;
        boolean inText = false;
        for (int index = 0; index < document.length; index++) {
            byte character = document[index];
            if (inText) {
                if (character == '\\') {
                    index++;
                } else if (character == '"') {
                    inText = false;
                }
            } else if (character == '"') {
                inText = true;
            } else if (character == '{' || character == '[') {
                depth++;
                if (depth > MAXIMUM_DEPTH) {
                    throw new DecodeException("nested deeper than " + MAXIMUM_DEPTH + " levels");
                }
            } else if (character == '}' || character == ']') {
                depth--;
            }
        }
    }
}
