package org.sassafrastrail.runtime;

/**
 * One error in a settings file.
 *
 * @param pointer the JSON pointer to the place, empty for the whole file
 * @param problem what is wrong there
 */
public record SettingsError(String pointer, String problem) {}
