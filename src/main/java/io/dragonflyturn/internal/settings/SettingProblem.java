package io.dragonflyturn.internal.settings;

/**
 * An invalid, missing, or unknown setting of a process.
 *
 * @param name the flag; may include the name of the environment variable
 * @param value the invalid value; empty if it is missing
 * @param allowed a description of the allowed values
 */
public record SettingProblem(String name, String value, String allowed) {}
