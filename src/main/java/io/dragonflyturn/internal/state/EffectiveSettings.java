package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import org.jspecify.annotations.Nullable;

/** The state settings in effect: those determined by the log, or the initial ones until then. */
final class EffectiveSettings {
  private StateSettings current;
  private ControlRecord.@Nullable SettingsDecided decided;

  EffectiveSettings(StateSettings initial) {
    current = initial;
  }

  /** Adopts the first settings in the log, and rejects different ones from then on. */
  Decision decide(ControlRecord.SettingsDecided record) {
    if (decided == null) {
      restore(record);
      return Decision.ACCEPTED;
    }
    return decided.equals(record)
        ? Decision.of(ResultCode.JOINED, "")
        : Decision.of(
            ResultCode.INVALID_SETTINGS, "The log has already determined different settings.");
  }

  StateSettings current() {
    return current;
  }

  ControlRecord.@Nullable SettingsDecided decided() {
    return decided;
  }

  void restore(ControlRecord.@Nullable SettingsDecided saved) {
    decided = saved;
    if (saved != null) {
      current = saved.settings();
    }
  }
}
