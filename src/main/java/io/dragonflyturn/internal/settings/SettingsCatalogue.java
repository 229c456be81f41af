package io.dragonflyturn.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** The registry of all settings of the processes, with name, type, default, and description. */
public final class SettingsCatalogue {
  static final Setting<String> INSTANCE_NAME =
      Setting.required("instance-name", "Unique name of the instance.", SettingTypes.name());
  static final Setting<String> FAILURE_DOMAIN =
      Setting.required("failure-domain", "Failure domain of the instance.", SettingTypes.name());
  static final Setting<String> REGION =
      Setting.optional("region", "main", "Region of the failure domain.", SettingTypes.name());
  static final Setting<InetSocketAddress> HTTP_ADDRESS =
      Setting.optional(
          "http-address",
          "127.0.0.1:7400",
          "Address for callers and operators; port 0 selects a free port.",
          SettingTypes.address());
  static final Setting<InetSocketAddress> SCHEDULER_HTTP_ADDRESS =
      Setting.optional(
          "http-address",
          "127.0.0.1:7401",
          "Address that serves /metrics and /health; port 0 selects a free port.",
          SettingTypes.address());
  static final Setting<InetSocketAddress> CONTROL_ADDRESS =
      Setting.optional(
          "control-address",
          "127.0.0.1:7410",
          "Address of the internal protocol for other processes; port 0 selects a free port.",
          SettingTypes.address());
  static final Setting<List<InetSocketAddress>> PEERS =
      Setting.optional(
          "peers",
          "",
          "Internal protocol addresses of the other schedulers.",
          SettingTypes.addresses());
  static final Setting<List<InetSocketAddress>> SCHEDULERS =
      Setting.required(
          "schedulers",
          "Internal protocol addresses of schedulers; the first is the one on this instance.",
          SettingTypes.addresses());
  static final Setting<List<InetSocketAddress>> ADDITIONAL_SCHEDULERS =
      Setting.optional(
          "schedulers",
          "",
          "Internal protocol addresses of schedulers on other instances, for failover.",
          SettingTypes.addresses());
  static final Setting<URI> PLATFORM =
      Setting.required(
          "platform",
          "URL of the platform's log service and instance list.",
          SettingTypes.httpUrl());
  static final Setting<Map<String, String>> CUSTOMER_TOKENS =
      Setting.optional("customer-tokens", "", "Tokens of customers.", SettingTypes.namesByToken());
  static final Setting<Map<String, String>> OPERATOR_TOKENS =
      Setting.optional("operator-tokens", "", "Tokens of operators.", SettingTypes.namesByToken());
  static final Setting<Duration> FRESHNESS_BOUND =
      Setting.optional(
          "freshness-bound",
          "2s",
          "Maximum age of the last information from the log; no task starts beyond it.",
          SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(1)));
  static final Setting<Duration> LEADERSHIP_LEASE =
      Setting.optional(
          "leadership-lease",
          "6s",
          "How long leadership lasts without a renewal; at least 3 heartbeat intervals.",
          SettingTypes.duration(Duration.ofMillis(300), Duration.ofMinutes(5)));
  static final Setting<Duration> HEARTBEAT_INTERVAL =
      Setting.optional(
          "heartbeat-interval",
          "1s",
          "Interval at which processes and workers are polled.",
          SettingTypes.duration(Duration.ofMillis(50), Duration.ofMinutes(1)));
  static final Setting<Duration> DRAIN_DEADLINE =
      Setting.optional(
          "drain-deadline",
          "20s",
          "Maximum time for work in flight to finish after SIGTERM.",
          SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(30)));
  static final Setting<Duration> REQUEST_KEY_RETENTION =
      Setting.optional(
          "request-key-retention",
          "24h",
          "How long the outcome of a request is kept under its key; older keys are rejected.",
          SettingTypes.duration(Duration.ofSeconds(1), Duration.ofHours(24 * 30)));
  static final Setting<Double> RETRY_BUDGET =
      Setting.optional(
          "retry-budget",
          "0.1",
          "Fraction of idempotent requests that may be retried.",
          SettingTypes.share());
  static final Setting<Integer> MAXIMUM_BODY_BYTES =
      Setting.optional(
          "maximum-body-bytes",
          "262144",
          "Maximum size of the body of a call.",
          SettingTypes.wholeNumber("bytes", 1024, 64 * 1024 * 1024));
  static final Setting<Duration> BODY_TIMEOUT =
      Setting.optional(
          "body-timeout",
          "10s",
          "Maximum time for a caller to send a body.",
          SettingTypes.duration(Duration.ofMillis(100), Duration.ofMinutes(10)));
  static final Setting<Integer> MAXIMUM_WAITING_REQUESTS =
      Setting.optional(
          "maximum-waiting-requests",
          "1000",
          "Maximum number of requests that wait for a slot of a target.",
          SettingTypes.wholeNumber("requests", 1, 100_000));
  static final Setting<Duration> MAXIMUM_DEADLINE =
      Setting.optional(
          "maximum-deadline",
          "120s",
          "Maximum deadline of a request.",
          SettingTypes.duration(Duration.ofMillis(100), Duration.ofHours(1)));
  static final Setting<LogFormat> LOG_FORMAT =
      Setting.optional(
          "log-format",
          "json",
          "Format of log lines on standard error.",
          SettingTypes.choice(LogFormat.class));

  /** The settings of an entry process. */
  public static final SettingsRole ENTRY =
      new SettingsRole(
          "entry",
          List.of(
              INSTANCE_NAME,
              FAILURE_DOMAIN,
              REGION,
              HTTP_ADDRESS,
              CONTROL_ADDRESS,
              SCHEDULERS,
              CUSTOMER_TOKENS,
              OPERATOR_TOKENS,
              FRESHNESS_BOUND,
              DRAIN_DEADLINE,
              REQUEST_KEY_RETENTION,
              RETRY_BUDGET,
              MAXIMUM_BODY_BYTES,
              BODY_TIMEOUT,
              MAXIMUM_WAITING_REQUESTS,
              MAXIMUM_DEADLINE,
              LOG_FORMAT));

  /** The settings of a scheduler process. */
  public static final SettingsRole SCHEDULER =
      new SettingsRole(
          "scheduler",
          List.of(
              INSTANCE_NAME,
              FAILURE_DOMAIN,
              REGION,
              SCHEDULER_HTTP_ADDRESS,
              CONTROL_ADDRESS,
              PEERS,
              PLATFORM,
              FRESHNESS_BOUND,
              LEADERSHIP_LEASE,
              HEARTBEAT_INTERVAL,
              DRAIN_DEADLINE,
              REQUEST_KEY_RETENTION,
              LOG_FORMAT));

  /** The settings of an entry and a scheduler in one process. */
  public static final SettingsRole INSTANCE =
      new SettingsRole(
          "instance",
          List.of(
              INSTANCE_NAME,
              FAILURE_DOMAIN,
              REGION,
              HTTP_ADDRESS,
              CONTROL_ADDRESS,
              PEERS,
              ADDITIONAL_SCHEDULERS,
              PLATFORM,
              CUSTOMER_TOKENS,
              OPERATOR_TOKENS,
              FRESHNESS_BOUND,
              LEADERSHIP_LEASE,
              HEARTBEAT_INTERVAL,
              DRAIN_DEADLINE,
              REQUEST_KEY_RETENTION,
              RETRY_BUDGET,
              MAXIMUM_BODY_BYTES,
              BODY_TIMEOUT,
              MAXIMUM_WAITING_REQUESTS,
              MAXIMUM_DEADLINE,
              LOG_FORMAT));

  private SettingsCatalogue() {}

  /** Returns the settings of each kind of process. */
  public static List<SettingsRole> roles() {
    return List.of(ENTRY, SCHEDULER, INSTANCE);
  }

  static ProcessIdentity identity(SettingValues values) {
    return new ProcessIdentity(
        values.get(INSTANCE_NAME), values.get(FAILURE_DOMAIN), values.get(REGION));
  }

  static RequestLimits limits(SettingValues values) {
    return new RequestLimits(
        values.get(MAXIMUM_BODY_BYTES),
        values.get(BODY_TIMEOUT),
        values.get(MAXIMUM_WAITING_REQUESTS),
        values.get(MAXIMUM_DEADLINE));
  }
}
