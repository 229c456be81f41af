package io.dragonflyturn.internal.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The settings of an entry process.
 *
 * @param identity the instance, failure domain, and region of the process
 * @param httpAddress the address for callers and operators; port 0 selects a free port
 * @param controlAddress the address of the internal protocol, to which other entries forward
 *     requests
 * @param schedulers the addresses of schedulers, in order of preference; may be empty if a
 *     scheduler runs in the same process
 * @param customersByToken the names of customers, keyed by token
 * @param operatorsByToken the names of operators, keyed by token
 * @param freshnessBound the maximum age of the last information from the log; no work starts once
 *     it is exceeded
 * @param drainDeadline the maximum time for requests in flight to finish during shutdown
 * @param requestKeyRetention how long the outcome of a request is kept under a key chosen by the
 *     caller
 * @param retryBudget the fraction of requests that may be retried
 * @param limits the limits on calls
 * @param logFormat the format of log lines
 */
public record EntrySettings(
    ProcessIdentity identity,
    InetSocketAddress httpAddress,
    InetSocketAddress controlAddress,
    List<InetSocketAddress> schedulers,
    Map<String, String> customersByToken,
    Map<String, String> operatorsByToken,
    Duration freshnessBound,
    Duration drainDeadline,
    Duration requestKeyRetention,
    double retryBudget,
    RequestLimits limits,
    LogFormat logFormat) {
  /** Copies the collections. */
  public EntrySettings {
    schedulers = List.copyOf(schedulers);
    customersByToken = Map.copyOf(customersByToken);
    operatorsByToken = Map.copyOf(operatorsByToken);
  }

  /**
   * Parses the settings from flags and environment variables; flags take precedence.
   *
   * @throws io.dragonflyturn.DragonflyturnException with {@link
   *     io.dragonflyturn.ResultCode#INVALID_SETTINGS} if any setting is invalid; the message lists
   *     every problem
   */
  public static EntrySettings parse(String[] arguments, Map<String, String> environment) {
    return from(SettingsReader.read(SettingsCatalogue.ENTRY, arguments, environment));
  }

  /** Creates the settings from validated values. */
  static EntrySettings from(SettingValues values) {
    return new EntrySettings(
        SettingsCatalogue.identity(values),
        values.get(SettingsCatalogue.HTTP_ADDRESS),
        values.get(SettingsCatalogue.CONTROL_ADDRESS),
        values.get(SettingsCatalogue.SCHEDULERS),
        values.get(SettingsCatalogue.CUSTOMER_TOKENS),
        values.get(SettingsCatalogue.OPERATOR_TOKENS),
        values.get(SettingsCatalogue.FRESHNESS_BOUND),
        values.get(SettingsCatalogue.DRAIN_DEADLINE),
        values.get(SettingsCatalogue.REQUEST_KEY_RETENTION),
        values.get(SettingsCatalogue.RETRY_BUDGET),
        SettingsCatalogue.limits(values),
        values.get(SettingsCatalogue.LOG_FORMAT));
  }
}
