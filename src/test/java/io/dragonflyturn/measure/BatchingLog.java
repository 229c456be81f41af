package io.dragonflyturn.measure;

import io.dragonflyturn.internal.protocol.ControlAnswer;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.request.InMemoryControlPlane;
import io.dragonflyturn.internal.request.RequestTimer;
import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Simulated control log with at most one append in flight. Proposals that arrive during an append
 * are batched into the next one.
 */
final class BatchingLog implements ControlPlane {
  private final InMemoryControlPlane log;
  private final RequestTimer timer;
  private final Duration appendTime;
  private List<Proposal> pending = new ArrayList<>();
  private boolean appendInFlight;
  private long appends;

  /**
   * Creates an empty log.
   *
   * @param timer the timer of the simulated time
   * @param appendTime the duration of each append
   */
  BatchingLog(RequestTimer timer, Duration appendTime) {
    this.log = new InMemoryControlPlane(timer);
    this.timer = timer;
    this.appendTime = appendTime;
  }

  /** Returns the number of appends started so far. */
  long appends() {
    return appends;
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    Proposal proposal = new Proposal(record, new CompletableFuture<>());
    pending.add(proposal);
    appendNext();
    return proposal.outcome();
  }

  private void appendNext() {
    if (appendInFlight || pending.isEmpty()) {
      return;
    }
    appendInFlight = true;
    appends++;
    List<Proposal> batch = pending;
    pending = new ArrayList<>();
    timer.schedule(appendTime, () -> finish(batch));
  }

  private void finish(List<Proposal> batch) {
    appendInFlight = false;
    for (Proposal proposal : batch) {
      proposal.outcome().complete(log.propose(proposal.record()).join());
    }
    appendNext();
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    return log.routingView(entry, knownVersion, wait);
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    return log.query(query);
  }

  private record Proposal(ControlRecord record, CompletableFuture<ProposalOutcome> outcome) {}
}
