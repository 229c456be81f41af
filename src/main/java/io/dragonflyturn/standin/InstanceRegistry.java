package io.dragonflyturn.standin;

import io.dragonflyturn.internal.http.EntryInstance;
import io.dragonflyturn.internal.http.InstanceList;
import io.dragonflyturn.model.Worker;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Instance registry of the platform stand-in. Readers see the list with a fixed delay, because a
 * platform's instance list is eventually consistent.
 */
final class InstanceRegistry {
  private final long lagMillis;
  private final long registrationMillis;
  private final Map<String, Listed<Worker>> workers = new TreeMap<>();
  private final Map<String, Listed<EntryInstance>> entries = new TreeMap<>();
  private final ArrayDeque<Version> versions = new ArrayDeque<>();
  private boolean frozen;

  /**
   * Creates an empty registry.
   *
   * @param lagMillis the delay after which a change becomes visible, in milliseconds
   * @param registrationMillis how long a registration lasts without renewal, in milliseconds
   */
  InstanceRegistry(long lagMillis, long registrationMillis) {
    this.lagMillis = lagMillis;
    this.registrationMillis = registrationMillis;
    versions.addLast(new Version(Long.MIN_VALUE / 2, InstanceList.EMPTY));
  }

  /** Adds or removes an instance, or renews its registration. */
  synchronized void register(Registration registration, long nowMillis) {
    long until = registration.lasting() ? Long.MAX_VALUE : nowMillis + registrationMillis;
    put(workers, nameOf(registration.worker()), registration.worker(), registration, until);
    put(entries, nameOf(registration.entry()), registration.entry(), registration, until);
    record(nowMillis);
  }

  /** Returns the list as of the configured delay ago, or the frozen list. */
  synchronized InstanceList list(long nowMillis) {
    record(nowMillis);
    while (!frozen && versions.size() > 1) {
      Version second = versions.stream().skip(1).findFirst().orElseThrow();
      if (second.atMillis() > nowMillis - lagMillis) {
        break;
      }
      versions.removeFirst();
    }
    return versions.getFirst().list();
  }

  /** Freezes the list that readers see, or resumes its updates. */
  synchronized void freeze(boolean newFrozen) {
    frozen = newFrozen;
  }

  private void record(long nowMillis) {
    workers.values().removeIf(listed -> listed.untilMillis() < nowMillis);
    entries.values().removeIf(listed -> listed.untilMillis() < nowMillis);
    InstanceList current =
        new InstanceList(
            workers.values().stream().map(Listed::value).toList(),
            entries.values().stream().map(Listed::value).toList());
    if (!current.equals(versions.getLast().list())) {
      versions.addLast(new Version(nowMillis, current));
    }
  }

  private static @Nullable String nameOf(@Nullable Worker worker) {
    return worker == null ? null : worker.name();
  }

  private static @Nullable String nameOf(@Nullable EntryInstance entry) {
    return entry == null ? null : entry.incarnation();
  }

  private static <T> void put(
      Map<String, Listed<T>> table,
      @Nullable String name,
      @Nullable T value,
      Registration registration,
      long untilMillis) {
    if (name == null || value == null) {
      return;
    }
    if (registration.removed()) {
      table.remove(name);
    } else {
      table.put(name, new Listed<>(value, untilMillis));
    }
  }

  private record Listed<T>(T value, long untilMillis) {}

  private record Version(long atMillis, InstanceList list) {}
}
