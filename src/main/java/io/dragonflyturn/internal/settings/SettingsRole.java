package io.dragonflyturn.internal.settings;

import java.util.List;

/**
 * A kind of process and the settings that it accepts.
 *
 * @param name the name of the process on the command line
 * @param settings all settings of the process, in the order of the help text
 */
public record SettingsRole(String name, List<Setting<?>> settings) {
  /** Copies the settings. */
  public SettingsRole {
    settings = List.copyOf(settings);
  }
}
