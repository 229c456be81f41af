package io.dragonflyturn.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Closes registered resources in reverse order of registration, each exactly once. */
public final class Closer implements AutoCloseable {
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Registers a resource and returns it. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /**
   * Closes all resources, including the remaining ones after a failure.
   *
   * @throws IllegalStateException if closing a resource fails; the cause is the first failure
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
