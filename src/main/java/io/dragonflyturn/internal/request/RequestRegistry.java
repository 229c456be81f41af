package io.dragonflyturn.internal.request;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Keeps the non-idempotent requests of this entry: those in progress and the most recent outcomes.
 *
 * <p>An outcome may be evicted once it can be determined by other means: it is recorded in the log,
 * or the issued identifier is marked as used.
 */
final class RequestRegistry {
  private final int outcomeLimit;
  private final Map<RequestKey, TrackedRequest> inProgress = new HashMap<>();
  private final Map<RequestKey, RetainedOutcome> outcomes = new LinkedHashMap<>();

  RequestRegistry(int outcomeLimit) {
    this.outcomeLimit = outcomeLimit;
  }

  /** Returns the request with the given key, if it is known. */
  synchronized Optional<TrackedRequest> find(RequestKey key) {
    TrackedRequest request = inProgress.get(key);
    if (request != null) {
      return Optional.of(request);
    }
    return Optional.ofNullable(outcomes.get(key)).map(RetainedOutcome::request);
  }

  /** Returns the request with the given key, or adds a new one if none is known. */
  synchronized TrackedRequest joinOrStart(RequestKey key, Supplier<TrackedRequest> start) {
    RetainedOutcome outcome = outcomes.get(key);
    if (outcome != null) {
      return outcome.request();
    }
    return inProgress.computeIfAbsent(key, unused -> start.get());
  }

  /** Returns whether another outcome fits, possibly after evicting one. */
  synchronized boolean hasCapacity() {
    return outcomes.size() < outcomeLimit
        || outcomes.values().stream().anyMatch(RetainedOutcome::evictable);
  }

  /** Removes a request that ended without an outcome to retain. */
  synchronized void remove(TrackedRequest request) {
    inProgress.remove(request.call().key(), request);
  }

  /**
   * Moves a request from those in progress to the retained outcomes.
   *
   * @param request the request that has an outcome
   * @param evictable whether the outcome may be evicted before it is recorded in the log
   */
  synchronized void recordOutcome(TrackedRequest request, boolean evictable) {
    remove(request);
    outcomes.put(request.call().key(), new RetainedOutcome(request, evictable));
    evict();
  }

  /** Marks an outcome as recorded in the log, so that it may be evicted. */
  synchronized void markRecorded(RequestKey key) {
    outcomes.computeIfPresent(key, (same, outcome) -> new RetainedOutcome(outcome.request(), true));
  }

  /** Returns the number of requests in progress. */
  synchronized int inProgressCount() {
    return inProgress.size();
  }

  private void evict() {
    Iterator<RetainedOutcome> oldestFirst = outcomes.values().iterator();
    while (outcomes.size() > outcomeLimit && oldestFirst.hasNext()) {
      if (oldestFirst.next().evictable()) {
        oldestFirst.remove();
      }
    }
  }

  private record RetainedOutcome(TrackedRequest request, boolean evictable) {}
}
