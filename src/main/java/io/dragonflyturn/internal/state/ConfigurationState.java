package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.FailureDomain;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Holds the current configuration and its version, which increases with every change.
 *
 * <p>A configuration change preserves the service state of existing failure domains. Only a {@link
 * ControlRecord.DomainServiceChanged} record changes the service state.
 */
final class ConfigurationState {
  private static final long ANY_VERSION = -1;

  private final AuditTrail audit;
  private Configuration configuration = Configuration.EMPTY;
  private long version;

  ConfigurationState(AuditTrail audit) {
    this.audit = audit;
  }

  Configuration configuration() {
    return configuration;
  }

  long version() {
    return version;
  }

  Decision changeConfiguration(ControlRecord.ConfigurationChanged record, ApplyContext context) {
    if (record.baseVersion() != version) {
      return versionConflict(record.baseVersion());
    }
    Configuration next = record.configuration();
    List<FailureDomain> domains = preserveServiceStates(next.failureDomains());
    commit(
        new Configuration(next.customers(), domains, next.instanceLabels(), next.rules()),
        record.actor(),
        "configuration-changed",
        record.summary(),
        context);
    return Decision.ACCEPTED;
  }

  Decision changeServiceState(ControlRecord.DomainServiceChanged record, ApplyContext context) {
    if (record.baseVersion() != ANY_VERSION && record.baseVersion() != version) {
      return versionConflict(record.baseVersion());
    }
    String name = record.failureDomain();
    if (configuration.failureDomains().stream().noneMatch(known -> known.name().equals(name))) {
      return Decision.of(
          ResultCode.UNKNOWN_FAILURE_DOMAIN, "There is no failure domain " + name + ".");
    }
    List<FailureDomain> domains =
        configuration.failureDomains().stream()
            .map(
                domain ->
                    domain.name().equals(name) ? withServiceState(domain, record, context) : domain)
            .toList();
    commit(
        new Configuration(
            configuration.customers(),
            domains,
            configuration.instanceLabels(),
            configuration.rules()),
        record.actor(),
        "domain-service-changed",
        name + " is " + record.serviceState() + ".",
        context);
    return Decision.ACCEPTED;
  }

  void restore(Configuration saved, long savedVersion) {
    configuration = saved;
    version = savedVersion;
  }

  private void commit(
      Configuration next, String actor, String action, String summary, ApplyContext context) {
    audit.add(context, actor, action, version, version + 1, summary);
    configuration = next;
    version++;
  }

  private List<FailureDomain> preserveServiceStates(List<FailureDomain> next) {
    Map<String, FailureDomain> currentByName =
        configuration.failureDomains().stream()
            .collect(
                Collectors.toMap(
                    FailureDomain::name, Function.identity(), (first, second) -> first));
    return next.stream().map(domain -> preserveServiceState(domain, currentByName)).toList();
  }

  private static FailureDomain preserveServiceState(
      FailureDomain next, Map<String, FailureDomain> currentByName) {
    FailureDomain current = currentByName.get(next.name());
    if (current == null) {
      return next;
    }
    return new FailureDomain(
        next.name(),
        next.region(),
        current.serviceState(),
        current.changedAtMillis(),
        current.leaveWithinMillis(),
        next.labels());
  }

  private static FailureDomain withServiceState(
      FailureDomain domain, ControlRecord.DomainServiceChanged record, ApplyContext context) {
    return new FailureDomain(
        domain.name(),
        domain.region(),
        record.serviceState(),
        context.atMillis(),
        record.leaveWithinMillis(),
        domain.labels());
  }

  private Decision versionConflict(long baseVersion) {
    return Decision.of(
        ResultCode.VERSION_CONFLICT,
        "The change is based on configuration version "
            + baseVersion
            + ", but the current version is "
            + version
            + "; read it and make the change again.");
  }
}
