package io.dragonflyturn.internal.settings;

import java.util.Locale;

/**
 * The definition of one setting of a process: its name, unit, default, and parser.
 *
 * @param <T> the type of the value
 * @param name the name, in lower case with hyphens, such as {@code drain-deadline}
 * @param unit the unit or the format of the value
 * @param defaultText the text of the default value; empty for none
 * @param required whether the process cannot start without a value
 * @param description what the setting does
 * @param type the parser and the description of the allowed values
 */
public record Setting<T>(
    String name,
    String unit,
    String defaultText,
    boolean required,
    String description,
    SettingType<T> type) {
  private static final String FLAG_PREFIX = "--";
  private static final String ENVIRONMENT_PREFIX = "DRAGONFLYTURN_";

  /** Creates an optional setting with a default. */
  static <T> Setting<T> optional(
      String name, String defaultText, String description, SettingType<T> type) {
    return new Setting<>(name, type.unit(), defaultText, false, description, type);
  }

  /** Creates a required setting. */
  static <T> Setting<T> required(String name, String description, SettingType<T> type) {
    return new Setting<>(name, type.unit(), "", true, description, type);
  }

  /** Returns the command line flag. */
  public String flag() {
    return FLAG_PREFIX + name;
  }

  /** Returns the name of the environment variable that is read if the flag is absent. */
  public String environmentVariable() {
    return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  /** Returns a description of the allowed values, as a phrase. */
  public String allowed() {
    return type.allowed();
  }
}
