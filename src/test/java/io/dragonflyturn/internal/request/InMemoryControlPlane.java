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

/**
 * A control plane that applies claims and outcomes of requests in memory, in the same order and by
 * the same rules as the control state.
 */
public final class InMemoryControlPlane implements ControlPlane {
  private final Map<RequestKey, RecordedClaim> claims = new HashMap<>();
  private final RequestTimer timer;
  private final List<ControlRecord> records = new ArrayList<>();
  private Duration latency = Duration.ZERO;
  private boolean unavailable;
  private boolean losesResponses;

  /**
   * Creates a control plane that responds immediately.
   *
   * @param timer the timer that delays proposals
   */
  public InMemoryControlPlane(RequestTimer timer) {
    this.timer = timer;
  }

  /** Sets the delay before each proposal is applied. */
  public void setLatency(Duration latency) {
    this.latency = latency;
  }

  /** Sets whether all proposals are rejected because the log is unavailable. */
  public void setUnavailable(boolean unavailable) {
    this.unavailable = unavailable;
  }

  /**
   * Sets whether the response to each proposal is lost: the proposal takes effect, but its future
   * fails.
   */
  public void setLosesResponses(boolean losesResponses) {
    this.losesResponses = losesResponses;
  }

  /** Returns the applied records in order. */
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
    if (unavailable) {
      return CompletableFuture.failedFuture(logUnavailable());
    }
    records.add(record);
    ProposalOutcome outcome =
        switch (record) {
          case ControlRecord.RequestClaimed claim -> apply(claim);
          case ControlRecord.RequestFinished finish -> apply(finish);
          default -> throw new IllegalArgumentException(record.toString());
        };
    return losesResponses
        ? CompletableFuture.failedFuture(logUnavailable())
        : CompletableFuture.completedFuture(outcome);
  }

  private ProposalOutcome apply(ControlRecord.RequestClaimed claim) {
    RecordedClaim existing =
        claims.putIfAbsent(
            new RequestKey(claim.customer(), claim.key()),
            new RecordedClaim(claim.owner(), null, null));
    return existing == null
        ? ProposalOutcome.of(ResultCode.OK, "", records.size(), 0)
        : new ProposalOutcome(
            ResultCode.DUPLICATE,
            "",
            records.size(),
            0,
            existing.owner(),
            existing.code(),
            existing.answer());
  }

  private ProposalOutcome apply(ControlRecord.RequestFinished finish) {
    claims.merge(
        new RequestKey(finish.customer(), finish.key()),
        new RecordedClaim(finish.owner(), finish.code(), finish.answer()),
        (known, finished) -> known.code() == null ? finished : known);
    return ProposalOutcome.of(ResultCode.OK, "", records.size(), 0);
  }

  private static DragonflyturnException logUnavailable() {
    return new DragonflyturnException(ResultCode.LOG_UNAVAILABLE, "The log is unavailable.");
  }

  private record RecordedClaim(String owner, @Nullable ResultCode code, @Nullable String answer) {}
}
