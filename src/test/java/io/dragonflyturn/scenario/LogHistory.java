package io.dragonflyturn.scenario;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.LogSnapshots;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Records of the control stream with their outcomes. The history starts at the first record of the
 * stream, or at the newest snapshot if that record has expired.
 */
final class LogHistory {
  private final @Nullable StateSnapshot start;
  private final List<Applied> applied;

  LogHistory(@Nullable StateSnapshot start, List<Applied> applied) {
    this.start = start;
    this.applied = List.copyOf(applied);
  }

  /**
   * Reads the control stream, which must be available.
   *
   * @throws IllegalStateException if records have expired that no snapshot covers, because the
   *     outcomes of later records then cannot be determined
   */
  static LogHistory read(PlatformLog log) {
    long firstAvailable = slice(log, 0).firstAvailable();
    return firstAvailable == 0 ? readFrom(log, null) : readFrom(log, covering(log, firstAvailable));
  }

  private static StateSnapshot covering(PlatformLog log, long firstAvailable) {
    return LogSnapshots.newest(log)
        .filter(snapshot -> snapshot.offset() + 1 >= firstAvailable)
        .orElseThrow(() -> notCovered(firstAvailable));
  }

  private static LogHistory readFrom(PlatformLog log, @Nullable StateSnapshot start) {
    ControlState state =
        start == null
            ? new ControlState(StateSettings.DEFAULT)
            : ControlState.restore(StateSettings.DEFAULT, start);
    List<Applied> applied = new ArrayList<>();
    long next = state.offset() + 1;
    while (true) {
      LogSlice slice = slice(log, next);
      if (slice.firstAvailable() > next) {
        throw notCovered(slice.firstAvailable());
      }
      if (slice.batches().isEmpty()) {
        return new LogHistory(start, applied);
      }
      for (LogSlice.Batch batch : slice.batches()) {
        for (Envelope envelope : MessagePackCodec.decode(batch.content(), Batch.class).envelopes) {
          applied.add(new Applied(envelope, state.apply(batch.offset(), envelope)));
        }
        next = batch.offset() + 1;
      }
    }
  }

  private static LogSlice slice(PlatformLog log, long from) {
    return log.read(PlatformLog.CONTROL_STREAM, from, Duration.ZERO);
  }

  private static IllegalStateException notCovered(long firstAvailable) {
    return new IllegalStateException(
        "Records below offset "
            + firstAvailable
            + " have expired, and no snapshot covers them; later outcomes are unknown.");
  }

  /** Returns the snapshot at which the history starts; empty if it has the first record. */
  Optional<StateSnapshot> start() {
    return Optional.ofNullable(start);
  }

  /** Returns a description of the part of the stream in this history. */
  String coverage() {
    return start == null
        ? "from the first record on"
        : "from the snapshot of offset " + start.offset() + " on";
  }

  /** Returns all records with their outcomes, in log order. */
  List<Applied> applied() {
    return applied;
  }

  /** Returns the accepted records, in log order. */
  List<Applied> accepted() {
    return applied.stream().filter(each -> each.outcome().code() == ResultCode.OK).toList();
  }

  /** Record with the outcome of its application. */
  record Applied(Envelope envelope, ProposalOutcome outcome) {}

  /** Envelopes written by one append. */
  private record Batch(List<Envelope> envelopes) {}
}
