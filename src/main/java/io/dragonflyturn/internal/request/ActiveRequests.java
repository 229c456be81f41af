package io.dragonflyturn.internal.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Tracks the requests of this entry that have no outcome yet. */
final class ActiveRequests {
  private final Set<TrackedRequest> requests = new HashSet<>();
  private final List<CompletableFuture<Void>> emptyFutures = new ArrayList<>();
  private boolean closed;

  /**
   * Adds a request until its outcome is known.
   *
   * @return whether the request was added; {@code false} once this collection is closed
   */
  boolean add(TrackedRequest request) {
    synchronized (this) {
      if (closed) {
        return false;
      }
      requests.add(request);
    }
    request.outcome().whenComplete((response, failure) -> remove(request));
    return true;
  }

  /**
   * Returns a future that completes as soon as no request is left without an outcome. From then on
   * {@link #add} rejects requests.
   */
  CompletableFuture<Void> closeWhenEmpty() {
    CompletableFuture<Void> empty = new CompletableFuture<>();
    synchronized (this) {
      emptyFutures.add(empty);
    }
    completeIfEmpty();
    return empty;
  }

  /** Returns a copy of the requests without an outcome. */
  synchronized List<TrackedRequest> snapshot() {
    return List.copyOf(requests);
  }

  private void remove(TrackedRequest request) {
    synchronized (this) {
      requests.remove(request);
    }
    completeIfEmpty();
  }

  private void completeIfEmpty() {
    List<CompletableFuture<Void>> completed = new ArrayList<>();
    synchronized (this) {
      if (requests.isEmpty() && !emptyFutures.isEmpty()) {
        closed = true;
        completed.addAll(emptyFutures);
        emptyFutures.clear();
      }
    }
    completed.forEach(empty -> empty.complete(null));
  }
}
