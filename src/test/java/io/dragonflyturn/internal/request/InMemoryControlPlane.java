package io.dragonflyturn.internal.request;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlAnswer;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Orders claims and outcomes of requests like the control state, in memory. */
public final class InMemoryControlPlane implements ControlPlane {
  private final Map<RequestKey, Entry> entries = new HashMap<>();
  private final RequestTimer timer;
  private final List<ControlRecord> records = new ArrayList<>();
  private Duration latency = Duration.ZERO;
  private boolean out;
  private boolean losesAnswers;

  /** Creates a log that answers at once. */
  public InMemoryControlPlane(RequestTimer timer) {
    this.timer = timer;
  }

  /** Makes each proposal take a time before it is applied. */
  public void delayBy(Duration latency) {
    this.latency = latency;
  }

  /** Makes the log refuse proposals, or take them again. */
  public void setOut(boolean out) {
    this.out = out;
  }

  /** Makes proposals take effect and fail all the same. */
  public void setLosesAnswers(boolean losesAnswers) {
    this.losesAnswers = losesAnswers;
  }

  /** Returns the records that were applied, in order. */
  public synchronized List<ControlRecord> records() {
    return List.copyOf(records);
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    if (latency.isZero()) {
      return decide(record);
    }
    CompletableFuture<ProposalOutcome> later = new CompletableFuture<>();
    timer.schedule(
        latency,
        () ->
            decide(record)
                .whenComplete(
                    (outcome, failure) -> {
                      if (failure == null) {
                        later.complete(outcome);
                      } else {
                        later.completeExceptionally(failure);
                      }
                    }));
    return later;
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    return CompletableFuture.completedFuture(RoutingView.NONE);
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    return CompletableFuture.completedFuture(new ControlAnswer(ResultCode.OK, "", "null"));
  }

  private synchronized CompletableFuture<ProposalOutcome> decide(ControlRecord record) {
    if (out) {
      return CompletableFuture.failedFuture(unavailable());
    }
    records.add(record);
    ProposalOutcome outcome =
        switch (record) {
          case ControlRecord.RequestClaimed claim -> apply(claim);
          case ControlRecord.RequestFinished finish -> apply(finish);
          default -> throw new IllegalArgumentException(record.toString());
        };
    return losesAnswers
        ? CompletableFuture.failedFuture(unavailable())
        : CompletableFuture.completedFuture(outcome);
  }

  private ProposalOutcome apply(ControlRecord.RequestClaimed claim) {
    Entry entry =
        entries.putIfAbsent(
            new RequestKey(claim.customer(), claim.key()), new Entry(claim.owner(), null, null));
    return entry == null
        ? ProposalOutcome.of(ResultCode.OK, "", records.size(), 0)
        : new ProposalOutcome(
            ResultCode.DUPLICATE,
            "",
            records.size(),
            0,
            entry.owner(),
            entry.code(),
            entry.answer());
  }

  private ProposalOutcome apply(ControlRecord.RequestFinished finish) {
    entries.merge(
        new RequestKey(finish.customer(), finish.key()),
        new Entry(finish.owner(), finish.code(), finish.answer()),
        (known, finished) -> known.code() == null ? finished : known);
    return ProposalOutcome.of(ResultCode.OK, "", records.size(), 0);
  }

  private static DragonflyturnException unavailable() {
    return new DragonflyturnException(ResultCode.LOG_UNAVAILABLE, "The log is out.");
  }

  private record Entry(String owner, @Nullable ResultCode code, @Nullable String answer) {}
}
