package io.dragonflyturn.internal.settings;

import io.dragonflyturn.internal.Reporter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and validates the settings of a process, and reports all problems together. */
final class SettingsReader {
  private static final int MINIMUM_HEARTBEATS_PER_LEASE = 3;

  private final SettingsRole role;
  private final Map<String, String> texts = new HashMap<>();
  private final List<SettingProblem> problems = new ArrayList<>();

  private SettingsReader(SettingsRole role) {
    this.role = role;
  }

  static SettingValues read(
      SettingsRole role, String[] arguments, Map<String, String> environment) {
    SettingsReader reader = new SettingsReader(role);
    reader.readEnvironment(environment);
    reader.readFlags(arguments);
    return reader.check();
  }

  private void readEnvironment(Map<String, String> environment) {
    for (Setting<?> setting : role.settings()) {
      String text = environment.get(setting.environmentVariable());
      if (text != null) {
        texts.put(setting.name(), text);
      }
    }
  }

  private void readFlags(String[] arguments) {
    SettingFlags flags = new SettingFlags(role);
    flags.parse(arguments);
    texts.putAll(flags.texts());
    problems.addAll(flags.problems());
  }

  private SettingValues check() {
    for (Setting<?> setting : role.settings()) {
      checkValue(setting);
    }
    SettingValues values = new SettingValues(texts);
    if (problems.isEmpty()) {
      checkCombinations(values);
    }
    if (!problems.isEmpty()) {
      throw Reporter.invalidSettings(role.name(), problems);
    }
    return values;
  }

  private void checkValue(Setting<?> setting) {
    String text = texts.getOrDefault(setting.name(), "");
    if (text.isBlank()) {
      if (setting.required()) {
        addProblem(setting, text, setting.allowed());
      }
      texts.remove(setting.name());
      return;
    }
    try {
      setting.type().parse(text);
    } catch (IllegalArgumentException invalidValue) {
      addProblem(setting, text, setting.allowed());
    }
  }

  private void checkCombinations(SettingValues values) {
    if (role.settings().contains(SettingsCatalogue.LEADERSHIP_LEASE)) {
      checkLeaseDuration(values);
    }
    if (role.settings().contains(SettingsCatalogue.CUSTOMER_TOKENS)) {
      checkDistinctTokens(values);
    }
  }

  private void checkLeaseDuration(SettingValues values) {
    Duration lease = values.get(SettingsCatalogue.LEADERSHIP_LEASE);
    Duration minimum =
        values.get(SettingsCatalogue.HEARTBEAT_INTERVAL).multipliedBy(MINIMUM_HEARTBEATS_PER_LEASE);
    if (lease.compareTo(minimum) < 0) {
      addProblem(
          SettingsCatalogue.LEADERSHIP_LEASE,
          SettingTypes.text(lease),
          "at least "
              + MINIMUM_HEARTBEATS_PER_LEASE
              + " heartbeat intervals, "
              + SettingTypes.text(minimum));
    }
  }

  private void checkDistinctTokens(SettingValues values) {
    Map<String, String> customers = values.get(SettingsCatalogue.CUSTOMER_TOKENS);
    Map<String, String> operators = values.get(SettingsCatalogue.OPERATOR_TOKENS);
    for (Map.Entry<String, String> operator : operators.entrySet()) {
      if (customers.containsKey(operator.getKey())) {
        addProblem(
            SettingsCatalogue.OPERATOR_TOKENS,
            operator.getValue() + "=...",
            "a token that no customer has");
      }
    }
  }

  private void addProblem(Setting<?> setting, String text, String allowed) {
    boolean secret =
        setting.equals(SettingsCatalogue.CUSTOMER_TOKENS)
            || setting.equals(SettingsCatalogue.OPERATOR_TOKENS);
    String name = setting.flag() + " (" + setting.environmentVariable() + ")";
    problems.add(new SettingProblem(name, secret ? maskTokens(text) : text, allowed));
  }

  /** Masks tokens, so that error messages do not reveal them. */
  private static String maskTokens(String text) {
    return text.replaceAll("=[^,]*", "=...");
  }
}
