package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the highest sequence number of each writer, so that no envelope is applied twice.
 *
 * <p>A writer that is inactive for {@link StateSettings#writerWindow} offsets is evicted. An
 * envelope decided before that window is rejected, so envelopes of an evicted writer cannot be
 * applied again.
 */
final class WriterTable {
  private final EffectiveSettings settings;
  private final Map<String, WriterPosition> positions = new LinkedHashMap<>();

  WriterTable(EffectiveSettings settings) {
    this.settings = settings;
  }

  /** Checks whether an envelope may be applied, and records its sequence number if it is new. */
  Decision admit(long offset, Envelope envelope) {
    evictIdle(offset);
    WriterPosition position = positions.get(envelope.writer());
    if (position != null && envelope.sequence() <= position.applied()) {
      return Decision.of(
          ResultCode.DUPLICATE, "The writer's sequence number was already applied or superseded.");
    }
    long fenced = position == null ? 0 : position.fenced();
    putLast(new WriterPosition(envelope.writer(), envelope.sequence(), fenced, offset));
    if (envelope.sequence() <= fenced) {
      return Decision.of(
          ResultCode.FENCED,
          "The writer's sequence number was fenced before its envelope was appended.");
    }
    if (envelope.decidedFrom() < offset - settings.current().writerWindow()) {
      return Decision.of(
          ResultCode.FENCED, "The writer's state is too old; it must catch up with the log first.");
    }
    return Decision.ACCEPTED;
  }

  void fence(long offset, String writer, long sequence) {
    WriterPosition position = positions.get(writer);
    long applied = position == null ? 0 : position.applied();
    long fenced = position == null ? sequence : Math.max(position.fenced(), sequence);
    putLast(new WriterPosition(writer, applied, fenced, offset));
  }

  long lastSequence(String writer) {
    WriterPosition position = positions.get(writer);
    return position == null ? 0 : position.applied();
  }

  List<WriterPosition> all() {
    return List.copyOf(positions.values());
  }

  void restore(List<WriterPosition> saved) {
    positions.clear();
    saved.forEach(position -> positions.put(position.writer(), position));
  }

  private void putLast(WriterPosition position) {
    positions.remove(position.writer());
    positions.put(position.writer(), position);
  }

  private void evictIdle(long offset) {
    Iterator<WriterPosition> oldestFirst = positions.values().iterator();
    while (oldestFirst.hasNext()
        && oldestFirst.next().offset() < offset - settings.current().writerWindow()) {
      oldestFirst.remove();
    }
  }
}
