package io.dragonflyturn.internal.request;

import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Counts the attempts in flight at each worker and keeps them within the slot credits of this
 * entry.
 *
 * <p>If the credits at a worker drop below the number of attempts in flight, nothing new is sent to
 * it until enough attempts have ended.
 *
 * <p>Not thread-safe: guarded by {@link SlotQueue}.
 */
final class CreditPool {
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final RandomGenerator random;

  CreditPool(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Acquires a slot at the less loaded of two targets, chosen at random from those with free
   * credit.
   *
   * @param view the current routing view
   * @param usable filters the targets to choose from
   * @return the chosen worker, or empty if no target has free credit
   */
  Optional<Worker> tryAcquire(RoutingView view, Predicate<Worker> usable) {
    List<Worker> available = availableTargets(view, usable);
    if (available.isEmpty()) {
      return Optional.empty();
    }
    Worker first = available.get(random.nextInt(available.size()));
    Worker second = available.get(random.nextInt(available.size()));
    Worker chosen = load(first, view) <= load(second, view) ? first : second;
    inFlight.merge(chosen.name(), 1, Integer::sum);
    return Optional.of(chosen);
  }

  /** Releases a slot. */
  void release(String worker) {
    inFlight.computeIfPresent(worker, (name, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Returns whether the number of attempts in flight at every worker is within the given credits.
   */
  boolean isWithin(Map<String, Integer> credits) {
    return inFlight.entrySet().stream()
        .allMatch(entry -> entry.getValue() <= credits.getOrDefault(entry.getKey(), 0));
  }

  /** Returns the number of attempts in flight at a worker. */
  int inFlightAt(String worker) {
    return inFlight.getOrDefault(worker, 0);
  }

  /** Returns the number of attempts in flight at all workers. */
  int inFlight() {
    return inFlight.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Returns the number of slots of this entry, free or in use, at all targets that are not
   * excluded.
   */
  static int totalSlots(RoutingView view, Set<String> excluded) {
    return view.targets().stream()
        .filter(worker -> !excluded.contains(worker.name()))
        .mapToInt(worker -> slotsAt(worker, view))
        .sum();
  }

  /** Returns whether this entry has a slot, free or in use, at any target. */
  static boolean hasSlots(RoutingView view) {
    return view.targets().stream().anyMatch(worker -> slotsAt(worker, view) > 0);
  }

  private static int slotsAt(Worker worker, RoutingView view) {
    return worker.leaving() ? 0 : credit(worker.name(), view);
  }

  private List<Worker> availableTargets(RoutingView view, Predicate<Worker> usable) {
    List<Worker> available = new ArrayList<>();
    for (Worker worker : view.targets()) {
      if (inFlightAt(worker.name()) < slotsAt(worker, view) && usable.test(worker)) {
        available.add(worker);
      }
    }
    return available;
  }

  private static int credit(String worker, RoutingView view) {
    return view.credits().getOrDefault(worker, 0);
  }

  private double load(Worker worker, RoutingView view) {
    return (double) inFlightAt(worker.name()) / credit(worker.name(), view);
  }
}
