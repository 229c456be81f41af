package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers that were listed recently and no longer are. They still count when the policy decides
 * whether a job can ever run, so that a failed rack or a stale worker list does not cause jobs to
 * be refused that fit once the workers return.
 */
final class MissingWorkers {
  /** How long after its removal from the list a worker is expected to return. */
  static final Duration RETURN_TIMEOUT = Duration.ofHours(24);

  static final MissingWorkers NONE = new MissingWorkers(Map.of());

  private final Map<String, MissingWorker> byName;

  private MissingWorkers(Map<String, MissingWorker> byName) {
    this.byName = Map.copyOf(byName);
  }

  /**
   * Returns the missing workers after a new list arrived: adds the workers that it no longer
   * contains and removes those that are listed again or have expired.
   *
   * @param previous the workers listed before
   * @param listed the workers listed now
   */
  MissingWorkers update(List<Worker> previous, List<Worker> listed, Instant now) {
    Map<String, MissingWorker> missing = new HashMap<>(byName);
    previous.forEach(worker -> missing.putIfAbsent(worker.name(), new MissingWorker(worker, now)));
    listed.forEach(worker -> missing.remove(worker.name()));
    missing.values().removeIf(worker -> worker.hasExpired(now));
    return missing.isEmpty() ? NONE : new MissingWorkers(missing);
  }

  /** Returns whether any worker has been missing for {@link #RETURN_TIMEOUT} or longer. */
  boolean hasExpired(Instant now) {
    return byName.values().stream().anyMatch(worker -> worker.hasExpired(now));
  }

  /** Returns the workers that may return, sorted by name. */
  List<Worker> workers() {
    return byName.values().stream()
        .map(MissingWorker::worker)
        .sorted(Comparator.comparing(Worker::name))
        .toList();
  }

  private record MissingWorker(Worker worker, Instant missingSince) {
    boolean hasExpired(Instant now) {
      return !now.isBefore(missingSince.plus(RETURN_TIMEOUT));
    }
  }
}
