package io.dragonflyturn.internal.settings;

import java.util.function.Function;

/**
 * The type of a setting: parses its text and describes the allowed values.
 *
 * @param <T> the type of the value
 * @param unit the unit or the format of the value
 * @param allowed a description of the allowed values, as a phrase
 * @param parser parses the text; throws {@link IllegalArgumentException} if it is not allowed
 */
public record SettingType<T>(String unit, String allowed, Function<String, T> parser) {
  /**
   * Parses the text of a setting.
   *
   * @throws IllegalArgumentException if the text is not allowed
   */
  public T parse(String text) {
    return parser.apply(text.strip());
  }
}
