package io.dragonflyturn.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Gathers resources and closes them in reverse order, each exactly once. */
public final class Closer implements AutoCloseable {
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Registers a resource and returns it. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /**
   * Closes all resources; a failure does not keep the others open.
   *
   * @throws IllegalStateException with the first failure as its cause
   */
  @Override
  public void close() {
    @Nullable Exception firstFailure = null;
    while (true) {
      AutoCloseable resource = next();
      if (resource == null) {
        break;
      }
      try {
        resource.close();
      } catch (Exception failure) {
        firstFailure = firstFailure == null ? failure : firstFailure;
      }
    }
    if (firstFailure != null) {
      throw new IllegalStateException("A resource could not be closed", firstFailure);
    }
  }

  private synchronized @Nullable AutoCloseable next() {
    return resources.poll();
  }
}
