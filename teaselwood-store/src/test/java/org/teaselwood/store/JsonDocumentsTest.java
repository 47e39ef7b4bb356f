package org.teaselwood.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a limit on the nesting that refuses sound documents or lets others pass. */
final class JsonDocumentsTest {
    @Test
    void brackets_within_texts_do_not_count_as_nesting() {
        String text = "[{\\\"".repeat(200) + "ä\\\\";
        assertThat(parse("{\"text\":\"" + text + "\",\"next\":[]}").fieldNames())
                .containsExactly("text", "next");
    }

    @Test
    void neighbouring_brackets_do_not_add_up() {
        assertThat(parse("{\"list\":[" + "[],{},".repeat(500) + "1]}").getJsonArray("list"))
                .hasSize(1_001);
    }

    @Test
    void a_document_that_is_nested_too_deeply_is_refused_also_after_a_text_with_an_escaped_quote() {
        String deep = "[".repeat(64) + "]".repeat(64);
        assertThrows(DecodeException.class, () -> parse("{\"text\":\"\\\"\",\"deep\":" + deep + "}"));
    }

    private static JsonObject parse(String document) {
        return JsonDocuments.parse(document.getBytes(StandardCharsets.UTF_8));
    }
}
