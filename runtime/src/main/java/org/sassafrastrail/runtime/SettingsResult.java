package org.sassafrastrail.runtime;

import java.util.List;

/**
 * What came of reading a settings file.
 *
 * @param <T> the type of the settings
 */
public sealed interface SettingsResult<T> {

    /**
     * The settings are right.
     *
     * @param settings the settings
     * @param <T> the type of the settings
     */
    record Accepted<T>(T settings) implements SettingsResult<T> {}

    /**
     * The settings have errors.
     *
     * @param errors every error
     * @param <T> the type of the settings
     */
    record Rejected<T>(List<SettingsError> errors) implements SettingsResult<T> {}
}
