package org.sassafrastrail.runtime;

import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Validates settings against a JSON schema. It implements the keywords that the schemas of this project use, because
 * loading a complete validator delays the start of a process.
 */
final class SettingsSchema {

    /** Keywords that describe a schema or hold its definitions, and constrain nothing by themselves. */
    private static final Set<String> ANNOTATIONS = Set.of("$schema", "$defs", "title", "description");

    private final JsonNode root;
    private final Map<String, Keyword> keywords = Map.ofEntries(
            Map.entry("$ref", this::checkReference),
            Map.entry("type", SettingsSchema::checkType),
            Map.entry("enum", SettingsSchema::checkEnum),
            Map.entry("required", SettingsSchema::checkRequired),
            Map.entry("properties", this::checkProperties),
            Map.entry("items", this::checkItems),
            Map.entry(
                    "minItems",
                    (value, minimum, path) -> require(
                            !value.isArray() || value.size() >= minimum.asInt(),
                            path,
                            "has fewer items than " + minimum)),
            Map.entry(
                    "minimum",
                    (value, minimum, path) -> require(
                            !value.isNumber() || value.doubleValue() >= minimum.doubleValue(),
                            path,
                            "is less than " + minimum)),
            Map.entry(
                    "exclusiveMinimum",
                    (value, minimum, path) -> require(
                            !value.isNumber() || value.doubleValue() > minimum.doubleValue(),
                            path,
                            "is not greater than " + minimum)),
            Map.entry(
                    "maximum",
                    (value, maximum, path) -> require(
                            !value.isNumber() || value.doubleValue() <= maximum.doubleValue(),
                            path,
                            "is greater than " + maximum)),
            Map.entry(
                    "minLength",
                    (value, minimum, path) -> require(
                            !value.isTextual() || length(value) >= minimum.asInt(),
                            path,
                            "is shorter than " + minimum)),
            Map.entry(
                    "maxLength",
                    (value, maximum, path) -> require(
                            !value.isTextual() || length(value) <= maximum.asInt(), path, "is longer than " + maximum)),
            Map.entry(
                    "pattern",
                    (value, pattern, path) -> require(
                            !value.isTextual()
                                    || Pattern.compile(pattern.asText())
                                            .matcher(value.asText())
                                            .find(),
                            path,
                            "does not match " + pattern)));

    SettingsSchema(JsonNode root) {
        this.root = root;
    }

    /** One keyword of JSON schema. */
    private interface Keyword {

        /** Returns the errors of a value at a path under the argument of the keyword. */
        Stream<SettingsError> check(JsonNode value, JsonNode argument, String path);
    }

    /** Returns all errors of a document. */
    Stream<SettingsError> validate(JsonNode document) {
        return check(document, root, "");
    }

    private Stream<SettingsError> check(JsonNode value, JsonNode schema, String path) {
        return schema.properties().stream()
                .filter(keyword -> !ANNOTATIONS.contains(keyword.getKey()))
                .flatMap(keyword -> keyword.getKey().equals("additionalProperties")
                        ? checkAdditionalProperties(value, schema, path)
                        : keyword(keyword.getKey()).check(value, keyword.getValue(), path));
    }

    private Keyword keyword(String name) {
        Keyword keyword = keywords.get(name);
        if (keyword == null) {
            throw new IllegalStateException("unsupported keyword in a schema: " + name);
        }
        return keyword;
    }

    private Stream<SettingsError> checkReference(JsonNode value, JsonNode reference, String path) {
        return check(value, root.at(reference.asText().substring(1)), path);
    }

    private static Stream<SettingsError> checkType(JsonNode value, JsonNode types, String path) {
        boolean matches = types.isArray()
                ? elements(types).anyMatch(type -> isOfType(value, type.asText()))
                : isOfType(value, types.asText());
        return require(matches, path, "is not of type " + types);
    }

    private static boolean isOfType(JsonNode value, String type) {
        return switch (type) {
            case "object" -> value.isObject();
            case "array" -> value.isArray();
            case "string" -> value.isTextual();
            case "boolean" -> value.isBoolean();
            case "null" -> value.isNull();
            case "number" -> value.isNumber();
            case "integer" -> value.isNumber() && value.doubleValue() % 1 == 0;
            default -> throw new IllegalStateException("unsupported type in a schema: " + type);
        };
    }

    private static Stream<SettingsError> checkEnum(JsonNode value, JsonNode allowed, String path) {
        return require(elements(allowed).anyMatch(value::equals), path, "is not one of " + allowed);
    }

    private static Stream<SettingsError> checkRequired(JsonNode value, JsonNode names, String path) {
        return value.isObject()
                ? elements(names)
                        .filter(name -> !value.has(name.asText()))
                        .map(name -> new SettingsError(path, "lacks " + name))
                : Stream.empty();
    }

    private Stream<SettingsError> checkProperties(JsonNode value, JsonNode schemas, String path) {
        return schemas.properties().stream()
                .filter(property -> value.has(property.getKey()))
                .flatMap(property ->
                        check(value.get(property.getKey()), property.getValue(), path + "/" + property.getKey()));
    }

    private static Stream<SettingsError> checkAdditionalProperties(JsonNode value, JsonNode schema, String path) {
        return value.properties().stream()
                .filter(property -> !schema.path("properties").has(property.getKey()))
                .map(property -> new SettingsError(path, "has the unknown property " + property.getKey()));
    }

    private Stream<SettingsError> checkItems(JsonNode value, JsonNode schema, String path) {
        return value.isArray()
                ? IntStream.range(0, value.size())
                        .boxed()
                        .flatMap(index -> check(value.get(index), schema, path + "/" + index))
                : Stream.empty();
    }

    private static Stream<SettingsError> require(boolean valid, String path, String message) {
        return valid ? Stream.empty() : Stream.of(new SettingsError(path, message));
    }

    private static int length(JsonNode text) {
        return text.asText().codePointCount(0, text.asText().length());
    }

    private static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }
}
