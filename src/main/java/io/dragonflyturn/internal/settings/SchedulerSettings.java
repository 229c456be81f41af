package io.dragonflyturn.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The settings of a scheduler process.
 *
 * @param identity the instance, failure domain, and region of the process
 * @param httpAddress the address that serves {@code /metrics} and {@code /health}
 * @param controlAddress the address of the internal protocol, for entries and other schedulers
 * @param peers the internal protocol addresses of the other schedulers
 * @param platform the URL of the platform, which provides the log and the instance list
 * @param freshnessBound the maximum age of the last information from the log; no task starts once
 *     it is exceeded
 * @param leadershipLease how long leadership lasts without a renewal
 * @param heartbeatInterval the interval at which leadership is renewed and workers are polled
 * @param drainDeadline the maximum time for work in flight to finish during shutdown
 * @param requestKeyRetention how long the outcome of a request is kept under a key chosen by the
 *     caller
 * @param logFormat the format of log lines
 */
public record SchedulerSettings(
    ProcessIdentity identity,
    InetSocketAddress httpAddress,
    InetSocketAddress controlAddress,
    List<InetSocketAddress> peers,
    URI platform,
    Duration freshnessBound,
    Duration leadershipLease,
    Duration heartbeatInterval,
    Duration drainDeadline,
    Duration requestKeyRetention,
    LogFormat logFormat) {
  /** Copies the collections. */
  public SchedulerSettings {
    peers = List.copyOf(peers);
  }

  /**
   * Parses the settings from flags and environment variables; flags take precedence.
   *
   * @throws io.dragonflyturn.DragonflyturnException with {@link
   *     io.dragonflyturn.ResultCode#INVALID_SETTINGS} if any setting is invalid; the message lists
   *     every problem
   */
  public static SchedulerSettings parse(String[] arguments, Map<String, String> environment) {
    SettingValues values = SettingsReader.read(SettingsCatalogue.SCHEDULER, arguments, environment);
    return from(values, values.get(SettingsCatalogue.SCHEDULER_HTTP_ADDRESS));
  }

  /** Creates the settings from validated values. */
  static SchedulerSettings from(SettingValues values, InetSocketAddress httpAddress) {
    return new SchedulerSettings(
        SettingsCatalogue.identity(values),
        httpAddress,
        values.get(SettingsCatalogue.CONTROL_ADDRESS),
        values.get(SettingsCatalogue.PEERS),
        values.get(SettingsCatalogue.PLATFORM),
        values.get(SettingsCatalogue.FRESHNESS_BOUND),
        values.get(SettingsCatalogue.LEADERSHIP_LEASE),
        values.get(SettingsCatalogue.HEARTBEAT_INTERVAL),
        values.get(SettingsCatalogue.DRAIN_DEADLINE),
        values.get(SettingsCatalogue.REQUEST_KEY_RETENTION),
        values.get(SettingsCatalogue.LOG_FORMAT));
  }
}
