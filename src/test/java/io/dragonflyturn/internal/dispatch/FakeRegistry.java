package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The registrations of in-memory workers, which may be older than the workers, or missing. */
final class FakeRegistry {
  private final FakeWorkers workers;
  private final Map<String, Optional<WorkerRegistration>> outdated = new HashMap<>();

  FakeRegistry(FakeWorkers workers) {
    this.workers = workers;
  }

  /** Returns the registrations that a reader finds now. */
  List<WorkerRegistration> registrations() {
    return workers.registrations().stream()
        .flatMap(each -> outdated.getOrDefault(each.id(), Optional.of(each)).stream())
        .toList();
  }

  /** Keeps the present registration of a worker until it is published again. */
  void withhold(String id) {
    outdated.putIfAbsent(id, Optional.of(workers.registration(id)));
  }

  /** Replaces the registration of a worker until it is published again. */
  void replace(WorkerRegistration registration) {
    outdated.put(registration.id(), Optional.of(registration));
  }

  /** Removes the registration of a worker until it is published again. */
  void remove(String id) {
    outdated.put(id, Optional.empty());
  }

  /** Publishes the registration that a worker reports now. */
  void publish(String id) {
    outdated.remove(id);
  }
}
