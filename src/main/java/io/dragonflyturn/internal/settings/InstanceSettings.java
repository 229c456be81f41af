package io.dragonflyturn.internal.settings;

import java.util.Map;

/**
 * The settings of an entry and a scheduler that share one process, one HTTP address, and one
 * internal protocol address.
 *
 * @param entry the settings of the entry; its schedulers are used when the local one fails
 * @param scheduler the settings of the scheduler
 */
public record InstanceSettings(EntrySettings entry, SchedulerSettings scheduler) {
  /**
   * Parses the settings from flags and environment variables; flags take precedence.
   *
   * @throws io.dragonflyturn.DragonflyturnException with {@link
   *     io.dragonflyturn.ResultCode#INVALID_SETTINGS} if any setting is invalid; the message lists
   *     every problem
   */
  public static InstanceSettings parse(String[] arguments, Map<String, String> environment) {
    SettingValues values = SettingsReader.read(SettingsCatalogue.INSTANCE, arguments, environment);
    EntrySettings entry = EntrySettings.from(values);
    return new InstanceSettings(entry, SchedulerSettings.from(values, entry.httpAddress()));
  }
}
