package org.sassafrastrail.runtime;

/**
 * One validation error of a settings file.
 *
 * @param pointer the JSON pointer to the invalid value, empty for the whole file
 * @param problem the description of the error
 */
public record SettingsError(String pointer, String problem) {}
