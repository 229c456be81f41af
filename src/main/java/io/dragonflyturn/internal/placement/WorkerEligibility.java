package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.Span;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Decides on which workers jobs may start now. Excluded are quarantined and leaving workers and
 * failure domains that are out of service. In a returning failure domain, the number of workers
 * that accept jobs grows with time.
 */
final class WorkerEligibility {
  private final Topology topology;
  private final PolicySettings settings;
  private final Instant now;
  private final Map<String, FailureDomain> domains = new HashMap<>();
  private final BitSet inService = new BitSet();
  private final BitSet startable = new BitSet();
  private final BitSet probation = new BitSet();

  WorkerEligibility(
      Topology topology,
      Configuration configuration,
      List<WorkerView> views,
      BitSet quarantined,
      PolicySettings settings,
      Instant now) {
    this.topology = topology;
    this.settings = settings;
    this.now = now;
    configuration.failureDomains().forEach(domain -> domains.put(domain.name(), domain));
    for (int[] group : topology.groups(Span.FAILURE_DOMAIN)) {
      addDomain(group, quarantined);
    }
    for (WorkerView view : views) {
      int index = topology.indexOf(view.worker().name());
      if (!view.quarantined()
          && view.quarantineChangedAt() != null
          && !completedSinceChange(view)) {
        probation.set(index);
      }
    }
  }

  /** Returns the indexes of the workers whose accelerators count towards guarantees. */
  BitSet inService() {
    return inService;
  }

  /** Returns the indexes of the workers on which jobs may start now. */
  BitSet startable() {
    return startable;
  }

  /** Returns the indexes of the workers that left quarantine and have completed no task since. */
  BitSet probation() {
    return probation;
  }

  /** Returns whether jobs must leave the worker, because it or its failure domain is leaving. */
  boolean mustLeave(int index) {
    FailureDomain domain = domains.get(topology.worker(index).failureDomain());
    return topology.worker(index).leaving() || (domain != null && !domain.acceptsStarts());
  }

  /** Returns the time by which jobs must have left the worker, or null if there is no deadline. */
  @Nullable Instant deadline(int index) {
    FailureDomain domain = domains.get(topology.worker(index).failureDomain());
    if (domain == null || domain.acceptsStarts()) {
      return null;
    }
    return Instant.ofEpochMilli(domain.changedAtMillis() + domain.leaveWithinMillis());
  }

  private void addDomain(int[] group, BitSet quarantined) {
    FailureDomain domain = domains.get(topology.worker(group[0]).failureDomain());
    int limit = group.length;
    if (domain != null) {
      limit = domain.acceptsStarts() ? startableLimit(domain, group.length) : 0;
    }
    int startableCount = 0;
    for (int index : group) {
      if (quarantined.get(index) || mustLeave(index)) {
        continue;
      }
      inService.set(index);
      if (startableCount < limit) {
        startable.set(index);
        startableCount++;
      }
    }
  }

  private int startableLimit(FailureDomain domain, int size) {
    return switch (domain.serviceState()) {
      case IN_SERVICE -> size;
      case TAKEN_OUT -> 0;
      case RETURNING -> rampedLimit(domain, size);
    };
  }

  private int rampedLimit(FailureDomain domain, int size) {
    Instant changedAt = Instant.ofEpochMilli(domain.changedAtMillis());
    double elapsedMillis = Duration.between(changedAt, now).toMillis();
    double share = Math.clamp(elapsedMillis / settings.returnRampDuration().toMillis(), 0.0, 1.0);
    return Math.max(1, (int) Math.ceil(size * share));
  }

  private static boolean completedSinceChange(WorkerView view) {
    Instant completedAt = view.lastCompletionAt();
    Instant changedAt = view.quarantineChangedAt();
    return completedAt != null && changedAt != null && completedAt.isAfter(changedAt);
  }
}
