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
 * Appends queued proposals to the log in batches, one append at a time.
 *
 * <p>If the answer of an append is lost, the next batch starts with a fence for this writer's
 * sequence numbers so far. The order of the two batches in the log determines whether the uncertain
 * batch is applied, and the reader of the log completes its proposals accordingly.
 */
final class ProposalWriter {
  private static final long IDLE_WAIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PlatformLog log;
  private final ReplicaSettings settings;
  private final ProposalTable table;
  private final InstantSource wallClock;
  private final NanosecondClock clock;
  private final Executor completionExecutor;
  private final LongSupplier appliedOffset;
  private final AppendRateLimiter rateLimiter;
  private final RetryBackoff backoff;
  private final Counter appendCount;
  private final Counter lostAnswerCount;
  private final Counter failedAppendCount;
  private final Counter expiredCount;
  private final Histogram recordsPerAppend;

  ProposalWriter(
      PlatformLog log,
      ReplicaSettings settings,
      ProposalTable table,
      InstantSource wallClock,
      NanosecondClock clock,
      Executor completionExecutor,
      LongSupplier appliedOffset,
      MetricRegistry metrics) {
    this.log = log;
    this.settings = settings;
    this.table = table;
    this.wallClock = wallClock;
    this.clock = clock;
    this.completionExecutor = completionExecutor;
    this.appliedOffset = appliedOffset;
    this.rateLimiter =
        new AppendRateLimiter(
            settings.appendsPerSecond(), settings.appendBurst(), clock.nanoseconds());
    this.backoff = new RetryBackoff(settings.retryDelay(), settings.seed());
    this.appendCount = metrics.counter("log.appends");
    this.lostAnswerCount = metrics.counter("log.append.answers-lost");
    this.failedAppendCount = metrics.counter("log.append.refused");
    this.expiredCount = metrics.counter("log.proposals.expired");
    this.recordsPerAppend = metrics.histogram("log.append.records");
  }

  /** Appends until the thread is interrupted. */
  void run() throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      table.awaitWork(IDLE_WAIT_NANOSECONDS);
      awaitRateLimit();
      rejectExpired();
      appendNext();
    }
  }

  private void awaitRateLimit() throws InterruptedException {
    long delayNanoseconds = rateLimiter.delayNanoseconds(clock.nanoseconds());
    if (delayNanoseconds > 0) {
      TimeUnit.NANOSECONDS.sleep(delayNanoseconds);
    }
  }

  private void rejectExpired() {
    for (PendingProposal proposal : table.removeExpired(clock.nanoseconds())) {
      expiredCount.inc();
      completeExceptionally(
          proposal,
          ResultCode.LOG_UNAVAILABLE,
          "The log did not accept the append in time; nothing was changed. Retry later.");
    }
  }

  private void appendNext() throws InterruptedException {
    long uncertainThrough = table.uncertainThrough();
    List<Envelope> envelopes = new ArrayList<>();
    if (uncertainThrough > 0) {
      ControlRecord fence = new ControlRecord.WriterFenced(settings.writer(), uncertainThrough);
      envelopes.add(envelope(table.nextSequence(), appliedOffset.getAsLong(), 0, fence));
    }
    List<ProposalTable.SentProposal> sent = table.send(settings.maxBatchRecords());
    for (ProposalTable.SentProposal each : sent) {
      PendingProposal proposal = each.proposal();
      envelopes.add(
          envelope(each.sequence(), proposal.decidedFrom(), proposal.term(), proposal.record()));
    }
    if (!envelopes.isEmpty()) {
      append(envelopes, sent, uncertainThrough);
    }
  }

  private void append(
      List<Envelope> envelopes, List<ProposalTable.SentProposal> sent, long uncertainThrough)
      throws InterruptedException {
    byte[] content;
    try {
      content = new EnvelopeBatch(envelopes).encode();
    } catch (DragonflyturnException invalid) {
      rejectInvalid(sent);
      return;
    }
    if (content.length > settings.maxBatchBytes() && sent.size() > 1) {
      appendFirstHalf(envelopes, sent, uncertainThrough);
      return;
    }
    appendContent(content, envelopes, sent, uncertainThrough);
  }

  private void appendFirstHalf(
      List<Envelope> envelopes, List<ProposalTable.SentProposal> sent, long uncertainThrough)
      throws InterruptedException {
    int keptCount = sent.size() / 2;
    int requeuedCount = sent.size() - keptCount;
    table.requeue(sent.subList(keptCount, sent.size()));
    append(
        envelopes.subList(0, envelopes.size() - requeuedCount),
        sent.subList(0, keptCount),
        uncertainThrough);
  }

  /** Rejects the records that cannot be encoded and requeues the others. */
  private void rejectInvalid(List<ProposalTable.SentProposal> sent) {
    List<ProposalTable.SentProposal> valid = new ArrayList<>();
    for (ProposalTable.SentProposal each : sent) {
      try {
        MessagePackCodec.encode(each.proposal().record());
        valid.add(each);
      } catch (DragonflyturnException invalid) {
        table.removeSent(each.sequence());
        completeExceptionally(
            each.proposal(), invalid.code(), "The record cannot be encoded; nothing was changed.");
      }
    }
    table.requeue(valid);
  }

  private void appendContent(
      byte[] content,
      List<Envelope> envelopes,
      List<ProposalTable.SentProposal> sent,
      long uncertainThrough)
      throws InterruptedException {
    rateLimiter.recordAppend(clock.nanoseconds());
    appendCount.inc();
    recordsPerAppend.update(envelopes.size());
    try {
      log.append(PlatformLog.CONTROL_STREAM, content, settings.appendTimeout());
      table.recordFence(uncertainThrough);
      backoff.reset();
    } catch (LogException failure) {
      handleAppendFailure(failure, envelopes.getLast().sequence(), sent);
    } catch (RuntimeException failure) {
      LogException wrapped =
          new LogException(LogException.Effect.UNKNOWN, "The append failed.", failure);
      handleAppendFailure(wrapped, envelopes.getLast().sequence(), sent);
    }
  }

  private void handleAppendFailure(
      LogException failure, long lastSequence, List<ProposalTable.SentProposal> sent)
      throws InterruptedException {
    if (failure.effect() == LogException.Effect.NONE) {
      failedAppendCount.inc();
      table.requeue(sent);
    } else {
      lostAnswerCount.inc();
      table.markUncertain(lastSequence);
    }
    rejectExpired();
    backoff.sleep();
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

  private void completeExceptionally(PendingProposal proposal, ResultCode code, String message) {
    completionExecutor.execute(
        () -> proposal.future().completeExceptionally(new DragonflyturnException(code, message)));
  }
}
