package io.dragonflyturn.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.Envelope;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Appends waiting proposals in batches, one append at a time.
 *
 * <p>Where the answer of an append is lost, the next batch starts with a fence of the writer's own
 * sequences so far. Whichever of the two batches comes first in the log decides whether the lost
 * one applies; the reader of the log resolves it.
 */
final class ProposalWriter {
  private static final long IDLE_WAIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PlatformLog log;
  private final ReplicaSettings settings;
  private final ProposalTable table;
  private final InstantSource wallClock;
  private final NanosecondClock clock;
  private final Executor completions;
  private final LongSupplier appliedOffset;
  private final AppendPacer pacer;
  private final RetryPause pause;
  private final Counter appends;
  private final Counter answersLost;
  private final Counter refused;
  private final Counter expired;
  private final Histogram recordsPerAppend;

  ProposalWriter(
      PlatformLog log,
      ReplicaSettings settings,
      ProposalTable table,
      InstantSource wallClock,
      NanosecondClock clock,
      Executor completions,
      LongSupplier appliedOffset,
      MetricRegistry metrics) {
    this.log = log;
    this.settings = settings;
    this.table = table;
    this.wallClock = wallClock;
    this.clock = clock;
    this.completions = completions;
    this.appliedOffset = appliedOffset;
    this.pacer =
        new AppendPacer(settings.appendsPerSecond(), settings.appendBurst(), clock.nanoseconds());
    this.pause = new RetryPause(settings.retryDelay(), settings.seed());
    this.appends = metrics.counter("log.appends");
    this.answersLost = metrics.counter("log.append.answers-lost");
    this.refused = metrics.counter("log.append.refused");
    this.expired = metrics.counter("log.proposals.expired");
    this.recordsPerAppend = metrics.histogram("log.append.records");
  }

  /** Appends until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      table.awaitWork(IDLE_WAIT_NANOSECONDS);
      linger();
      refuseExpired();
      appendNext();
    }
  }

  private void linger() throws InterruptedException {
    long linger = pacer.lingerNanoseconds(clock.nanoseconds());
    if (linger > 0) {
      TimeUnit.NANOSECONDS.sleep(linger);
    }
  }

  private void refuseExpired() {
    for (PendingProposal proposal : table.takeExpired(clock.nanoseconds())) {
      expired.inc();
      fail(
          proposal,
          ResultCode.LOG_UNAVAILABLE,
          "The log took no append in time; nothing was changed. Retry later.");
    }
  }

  private void appendNext() throws InterruptedException {
    long doubtThrough = table.doubtThrough();
    List<Envelope> envelopes = new ArrayList<>();
    if (doubtThrough > 0) {
      ControlRecord fence = new ControlRecord.WriterFenced(settings.writer(), doubtThrough);
      envelopes.add(envelope(table.takeSequence(), appliedOffset.getAsLong(), 0, fence));
    }
    List<ProposalTable.Sent> sent = table.send(settings.maxBatchRecords());
    for (ProposalTable.Sent each : sent) {
      PendingProposal proposal = each.proposal();
      envelopes.add(
          envelope(each.sequence(), proposal.decidedFrom(), proposal.term(), proposal.record()));
    }
    if (!envelopes.isEmpty()) {
      append(envelopes, sent, doubtThrough);
    }
  }

  private void append(List<Envelope> envelopes, List<ProposalTable.Sent> sent, long doubtThrough)
      throws InterruptedException {
    byte[] content;
    try {
      content = new EnvelopeBatch(envelopes).encode();
    } catch (DragonflyturnException invalid) {
      refuseInvalid(sent);
      return;
    }
    if (content.length > settings.maxBatchBytes() && sent.size() > 1) {
      appendFirstHalf(envelopes, sent, doubtThrough);
      return;
    }
    appendContent(content, envelopes, sent, doubtThrough);
  }

  private void appendFirstHalf(
      List<Envelope> envelopes, List<ProposalTable.Sent> sent, long doubtThrough)
      throws InterruptedException {
    int kept = sent.size() / 2;
    int moved = sent.size() - kept;
    table.putBack(sent.subList(kept, sent.size()));
    append(envelopes.subList(0, envelopes.size() - moved), sent.subList(0, kept), doubtThrough);
  }

  /** One record that cannot be encoded must not hold up the others. */
  private void refuseInvalid(List<ProposalTable.Sent> sent) {
    List<ProposalTable.Sent> valid = new ArrayList<>();
    for (ProposalTable.Sent each : sent) {
      try {
        MessagePackCodec.encode(each.proposal().record());
        valid.add(each);
      } catch (DragonflyturnException invalid) {
        table.shown(each.sequence());
        fail(each.proposal(), invalid.code(), "The record cannot be encoded; nothing was changed.");
      }
    }
    table.putBack(valid);
  }

  private void appendContent(
      byte[] content, List<Envelope> envelopes, List<ProposalTable.Sent> sent, long doubtThrough)
      throws InterruptedException {
    pacer.appended(clock.nanoseconds());
    appends.inc();
    recordsPerAppend.update(envelopes.size());
    try {
      log.append(PlatformLog.CONTROL_STREAM, content, settings.appendTimeout());
      table.fenceAppended(doubtThrough);
      pause.succeeded();
    } catch (LogException failure) {
      resolveFailure(failure, envelopes.getLast().sequence(), sent);
    } catch (RuntimeException failure) {
      LogException unexpected =
          new LogException(LogException.Effect.UNKNOWN, "The append failed.", failure);
      resolveFailure(unexpected, envelopes.getLast().sequence(), sent);
    }
  }

  private void resolveFailure(
      LogException failure, long lastSequence, List<ProposalTable.Sent> sent)
      throws InterruptedException {
    if (failure.effect() == LogException.Effect.NONE) {
      refused.inc();
      table.putBack(sent);
    } else {
      answersLost.inc();
      table.doubt(lastSequence);
    }
    refuseExpired();
    pause.pause();
  }

  private Envelope envelope(long sequence, long decidedFrom, long term, ControlRecord record) {
    return new Envelope(
        settings.writer(),
        sequence,
        decidedFrom,
        term,
        settings.region(),
        wallClock.millis(),
        record);
  }

  private void fail(PendingProposal proposal, ResultCode code, String message) {
    completions.execute(
        () -> proposal.future().completeExceptionally(new DragonflyturnException(code, message)));
  }
}
