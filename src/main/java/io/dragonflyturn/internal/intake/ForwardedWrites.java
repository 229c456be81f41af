package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.dispatch.LedgerKeys;
import io.dragonflyturn.internal.intake.CallerAnswer.Accepted;
import io.dragonflyturn.internal.intake.CallerAnswer.OutcomeUnknown;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Remembers which records peers were asked to write, so that a caller is told that its call had no
 * effect only if that is certain of the peers, too.
 *
 * <p>A peer that did not answer may store the record at any later time, for example at the end of a
 * partition. All attempts of a caller at this instance share what is known about a record.
 *
 * <p>Not thread-safe: all methods must be called on the event loop.
 */
final class ForwardedWrites {
  /** How long an unknown outcome is remembered; longer than callers repeat a call. */
  private static final long RETENTION_MILLIS = 60_000;

  private final InstantSource monotonicClock;

  /** The records that peers may store, in the order in which they were last forwarded. */
  private final Map<String, ForwardedRecord> records = new LinkedHashMap<>();

  ForwardedWrites(InstantSource monotonicClock) {
    this.monotonicClock = monotonicClock;
  }

  /** Returns the key of the record that a call writes; null if the call only reads. */
  static @Nullable String recordKey(CallerCall call) {
    return switch (call) {
      case CallerCall.Submit submit -> LedgerKeys.submission(submit.id());
      case CallerCall.Cancel cancel -> LedgerKeys.cancellation(cancel.id());
      case CallerCall.ReadState read -> null;
      case CallerCall.CountWaiting count -> null;
    };
  }

  /**
   * Records that a call was forwarded.
   *
   * @param outcome completes with the answer of a peer; empty if no peer stored anything
   */
  void add(CallerCall call, CompletableFuture<Optional<PeerAnswer>> outcome) {
    String key = recordKey(call);
    if (key == null) {
      return;
    }
    removeExpired();
    ForwardedRecord earlier = records.remove(key);
    ForwardedRecord forwarded = earlier == null ? new ForwardedRecord() : earlier;
    records.put(key, forwarded);
    forwarded.begin(monotonicClock.millis());
    outcome.thenAccept(
        answer -> {
          forwarded.end(answer.map(PeerAnswer::answer).orElse(null));
          if (forwarded.isCertainlyUnwritten()) {
            records.remove(key, forwarded);
          }
        });
  }

  private void removeExpired() {
    long oldestMillis = monotonicClock.millis() - RETENTION_MILLIS;
    Iterator<ForwardedRecord> oldestFirst = records.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next().forwardedMillis < oldestMillis) {
      oldestFirst.remove();
    }
  }

  /**
   * Completes with the answer to a call whose record this instance will not write: the refusal,
   * unless a peer has written the record or may do so. Waits for peers that have not answered yet.
   *
   * @param recordKey the key of the record
   * @param refusal the answer if the call had no effect
   */
  CompletableFuture<CallerAnswer> answerUnlessWritten(String recordKey, CallerAnswer refusal) {
    ForwardedRecord forwarded = records.get(recordKey);
    return forwarded == null
        ? CompletableFuture.completedFuture(refusal)
        : forwarded.settled.thenApply(unused -> forwarded.answer(refusal));
  }

  /** What is known about a record that peers were asked to write. */
  private static final class ForwardedRecord {
    private long forwardedMillis;
    private int openCalls;
    private boolean written;
    private boolean mayBeWritten;

    /** Completes once the record is known to be written, or no forwarded call is open. */
    private CompletableFuture<@Nullable Void> settled = new CompletableFuture<>();

    void begin(long nowMillis) {
      forwardedMillis = nowMillis;
      openCalls++;
      if (settled.isDone() && !written) {
        settled = new CompletableFuture<>();
      }
    }

    void end(@Nullable CallerAnswer answer) {
      openCalls--;
      written |= answer instanceof Accepted;
      mayBeWritten |= answer instanceof OutcomeUnknown;
      if (written || openCalls == 0) {
        settled.complete(null);
      }
    }

    boolean isCertainlyUnwritten() {
      return openCalls == 0 && !written && !mayBeWritten;
    }

    CallerAnswer answer(CallerAnswer refusal) {
      if (written) {
        return new Accepted();
      }
      return mayBeWritten ? new OutcomeUnknown() : refusal;
    }
  }
}
