package io.dragonflyturn.scenario;

import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.StateSnapshot;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.ServiceState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Computes from the log when failure domains were out of service.
 *
 * <p>A repeated take-out continues the current outage. A configuration change sets the service
 * state only of the failure domains that it adds; only operators change the state of existing ones.
 */
final class DomainOutages {
  /**
   * Period in which a failure domain was out of service.
   *
   * @param domain the name of the failure domain
   * @param fromMillis the start, in milliseconds since the epoch
   * @param untilMillis the end, in milliseconds since the epoch
   */
  record Outage(String domain, long fromMillis, long untilMillis) {}

  private final List<Outage> ended = new ArrayList<>();
  private final Map<String, Long> outSince = new HashMap<>();
  private final Set<String> configured = new HashSet<>();

  private DomainOutages() {}

  /** Returns the outages in a history; an ongoing outage ends at {@link Long#MAX_VALUE}. */
  static List<Outage> of(LogHistory log) {
    DomainOutages outages = new DomainOutages();
    log.start().ifPresent(outages::restore);
    log.accepted().forEach(outages::apply);
    List<Outage> all = new ArrayList<>(outages.ended);
    outages.outSince.forEach((domain, since) -> all.add(new Outage(domain, since, Long.MAX_VALUE)));
    return all;
  }

  private void restore(StateSnapshot snapshot) {
    configure(snapshot.configuration().failureDomains(), 0);
    for (FailureDomain domain : snapshot.configuration().failureDomains()) {
      outSince.computeIfPresent(domain.name(), (name, since) -> domain.changedAtMillis());
    }
  }

  private void apply(LogHistory.Applied each) {
    long atMillis = each.envelope().atMillis();
    switch (each.envelope().record()) {
      case ControlRecord.DomainServiceChanged changed ->
          set(changed.failureDomain(), changed.serviceState(), atMillis);
      case ControlRecord.ConfigurationChanged changed ->
          configure(changed.configuration().failureDomains(), atMillis);
      default -> {}
    }
  }

  private void configure(List<FailureDomain> domains, long atMillis) {
    domains.stream()
        .filter(domain -> !configured.contains(domain.name()))
        .forEach(domain -> set(domain.name(), domain.serviceState(), atMillis));
    configured.clear();
    configured.addAll(domains.stream().map(FailureDomain::name).collect(Collectors.toSet()));
  }

  private void set(String domain, ServiceState serviceState, long atMillis) {
    if (serviceState == ServiceState.TAKEN_OUT) {
      outSince.putIfAbsent(domain, atMillis);
    } else if (outSince.containsKey(domain)) {
      ended.add(new Outage(domain, outSince.remove(domain), atMillis));
    }
  }
}
