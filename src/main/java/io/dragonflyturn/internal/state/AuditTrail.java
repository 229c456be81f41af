package io.dragonflyturn.internal.state;

import java.util.ArrayDeque;
import java.util.List;

/** Keeps the most recent audit entries, up to {@link StateSettings#auditEntries}. */
final class AuditTrail {
  private final EffectiveSettings settings;
  private final ArrayDeque<AuditEntry> entries = new ArrayDeque<>();
  private long nextPosition;

  AuditTrail(EffectiveSettings settings) {
    this.settings = settings;
  }

  void add(
      ApplyContext context,
      String actor,
      String action,
      long fromVersion,
      long toVersion,
      String summary) {
    entries.addLast(
        new AuditEntry(
            nextPosition,
            context.offset(),
            context.atMillis(),
            actor,
            action,
            fromVersion,
            toVersion,
            summary));
    nextPosition++;
    while (entries.size() > settings.current().auditEntries()) {
      entries.removeFirst();
    }
  }

  List<AuditEntry> entriesFrom(long position, int limit) {
    return entries.stream()
        .filter(entry -> entry.position() >= position)
        .limit(Math.max(0, limit))
        .toList();
  }

  List<AuditEntry> all() {
    return List.copyOf(entries);
  }

  long nextPosition() {
    return nextPosition;
  }

  void restore(List<AuditEntry> savedEntries, long savedNextPosition) {
    entries.clear();
    entries.addAll(savedEntries);
    nextPosition = savedNextPosition;
  }
}
