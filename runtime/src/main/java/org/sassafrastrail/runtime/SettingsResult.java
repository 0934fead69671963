package org.sassafrastrail.runtime;

import java.util.List;

/**
 * The result of reading a settings file.
 *
 * @param <T> the type of the settings
 */
public sealed interface SettingsResult<T> {

    /**
     * The settings are valid.
     *
     * @param settings the settings
     * @param <T> the type of the settings
     */
    record Accepted<T>(T settings) implements SettingsResult<T> {}

    /**
     * The file can't be read or the settings are invalid.
     *
     * @param errors all errors found
     * @param <T> the type of the settings
     */
    record Rejected<T>(List<SettingsError> errors) implements SettingsResult<T> {}
}
