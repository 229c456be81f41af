package io.dragonflyturn.internal.settings;

/**
 * One fault in the settings of a process.
 *
 * @param name the flag, with the environment variable where the value came from there
 * @param value the bad value; empty where it is missing
 * @param allowed what is allowed
 */
public record SettingProblem(String name, String value, String allowed) {}
