package org.sassafrastrail.runtime;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests that settings are accepted and rejected exactly as by a complete validator of JSON schema. */
class SettingsSchemaTest {

    private static final String SCHEMA =
            """
            {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"a test","type":"object",
             "additionalProperties":false,"required":["name","port"],
             "properties":{
              "name":{"type":"string","minLength":1,"maxLength":5,"pattern":"^[a-z]+$"},
              "port":{"type":"integer","minimum":1,"maximum":65535},
              "share":{"type":["number","null"],"exclusiveMinimum":0},
              "level":{"enum":["INFO","WARN"]},
              "seeds":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/address"}},
              "on":{"type":"boolean"}},
             "$defs":{"address":{"type":"string","pattern":"^[^:]+:[0-9]{1,5}$"}}}""";

    private static final List<String> VALUES = List.of(
            "\"abc\"",
            "\"\"",
            "\"abcdef\"",
            "\"A1\"",
            "80",
            "0",
            "65536",
            "80.0",
            "80.5",
            "-1",
            "1e300",
            "null",
            "true",
            "\"INFO\"",
            "\"a:1\"",
            "[]",
            "[\"a:1\"]",
            "[\"a:1\",\"b\"]",
            "[1]",
            "{}");

    private static final List<String> NAMES = List.of("name", "port", "share", "level", "seeds", "on", "other");
    private static final int DOCUMENTS = 3000;

    private final ObjectMapper mapper = new ObjectMapper();

    @Test
    void documentsAreAcceptedAndRejectedLikeByCompleteValidator() throws Exception {
        SettingsSchema own = new SettingsSchema(mapper.readTree(SCHEMA));
        Schema complete = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(SCHEMA, InputFormat.JSON);
        Random random = new Random(3);
        for (int number = 0; number < DOCUMENTS; number++) {
            JsonNode document = mapper.readTree(document(random));
            assertThat(own.validate(document).findAny().isEmpty())
                    .as(document.toString())
                    .isEqualTo(complete.validate(document).isEmpty());
        }
    }

    private static String document(Random random) {
        Stream<String> valid = Stream.of("\"name\":\"abc\"", "\"port\":80").filter(field -> random.nextInt(8) > 0);
        Stream<String> drawn = IntStream.range(0, random.nextInt(3))
                .mapToObj(number -> "\"" + NAMES.get(random.nextInt(NAMES.size())) + "\":"
                        + VALUES.get(random.nextInt(VALUES.size())));
        return "{" + String.join(",", Stream.concat(valid, drawn).toList()) + "}";
    }

    @Test
    void errorNamesPathOfValue() throws Exception {
        SettingsSchema schema = new SettingsSchema(mapper.readTree(SCHEMA));
        JsonNode document = mapper.readTree("{\"name\":\"abc\",\"port\":80,\"seeds\":[\"a:1\",\"b\"]}");
        assertThat(schema.validate(document)).extracting(SettingsError::pointer).containsExactly("/seeds/1");
    }

    @Test
    void unsupportedKeywordIsReported() throws Exception {
        SettingsSchema schema = new SettingsSchema(mapper.readTree("{\"uniqueItems\":true}"));
        assertThatThrownBy(() -> schema.validate(mapper.readTree("[]")).toList())
                .isInstanceOf(IllegalStateException.class);
    }
}
