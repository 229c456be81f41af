package io.dragonflyturn.internal.http;

import io.dragonflyturn.model.Worker;
import java.util.List;

/**
 * The platform's list of live and leaving instances. The list is eventually consistent and may lag.
 *
 * @param workers the workers, by name
 * @param entries the instances of dragonflyturn, by incarnation
 */
public record InstanceList(List<Worker> workers, List<EntryInstance> entries) {
  /** An empty list. */
  public static final InstanceList EMPTY = new InstanceList(List.of(), List.of());

  /** Creates a list with immutable copies of the collections. */
  public InstanceList {
    workers = List.copyOf(workers);
    entries = List.copyOf(entries);
  }
}
