package org.sassafrastrail.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads settings files and validates them against the JSON schema in the package of the settings class.
 *
 * @param <T> the type of the settings, a record
 */
public final class SettingsReader<T> {

    private final Class<T> type;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a reader for one type of settings. Its schema is the resource named after the class with the suffix
     * {@code .schema.json}.
     *
     * @param type the settings class
     */
    public SettingsReader(Class<T> type) {
        this.type = type;
    }

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings, or all validation errors
     */
    public SettingsResult<T> read(Path file) {
        try {
            return read(mapper.readTree(Files.readAllBytes(file)));
        } catch (IOException unreadable) {
            return new SettingsResult.Rejected<>(
                    List.of(new SettingsError("", "the file can't be read or is not valid JSON")));
        }
    }

    private SettingsResult<T> read(JsonNode tree) throws IOException {
        List<SettingsError> errors = schema().validate(tree).toList();
        return errors.isEmpty()
                ? new SettingsResult.Accepted<>(mapper.treeToValue(tree, type))
                : new SettingsResult.Rejected<>(errors);
    }

    private SettingsSchema schema() throws IOException {
        try (InputStream resource = type.getResourceAsStream(type.getSimpleName() + ".schema.json")) {
            return new SettingsSchema(mapper.readTree(resource));
        }
    }
}
