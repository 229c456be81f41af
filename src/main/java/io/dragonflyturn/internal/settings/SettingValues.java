package io.dragonflyturn.internal.settings;

import java.util.Map;

/** Gives typed access to the texts of settings, falling back to defaults. */
final class SettingValues {
  private final Map<String, String> texts;

  SettingValues(Map<String, String> texts) {
    this.texts = Map.copyOf(texts);
  }

  /** Returns the value of a setting. */
  <T> T get(Setting<T> setting) {
    return setting.type().parse(texts.getOrDefault(setting.name(), setting.defaultText()));
  }
}
