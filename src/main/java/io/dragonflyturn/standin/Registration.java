package io.dragonflyturn.standin;

import io.dragonflyturn.internal.http.EntryInstance;
import io.dragonflyturn.model.Worker;
import org.jspecify.annotations.Nullable;

/**
 * Request to add an instance to the platform stand-in's list, to renew it, or to remove it.
 *
 * @param kind {@code worker}, {@code entry}, or {@code scheduler}
 * @param worker the worker, if the kind is {@code worker}
 * @param entry the dragonflyturn instance, for the other kinds
 * @param lasting whether the registration never expires
 * @param removed whether to remove the instance from the list
 */
public record Registration(
    String kind,
    @Nullable Worker worker,
    @Nullable EntryInstance entry,
    boolean lasting,
    boolean removed) {
  /** Returns the registration of a worker, which expires unless it is renewed. */
  public static Registration of(Worker worker) {
    return new Registration("worker", worker, null, false, false);
  }

  /** Returns the registration of an entry, which never expires. */
  public static Registration of(EntryInstance entry) {
    return new Registration("entry", null, entry, true, false);
  }
}
