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

/** A log of which one append is open at a time; what arrives meanwhile goes into the next one. */
final class BatchingLog implements ControlPlane {
  private final InMemoryControlPlane log;
  private final RequestTimer timer;
  private final Duration appendTime;
  private List<Proposal> waiting = new ArrayList<>();
  private boolean open;
  private long appends;

  BatchingLog(RequestTimer timer, Duration appendTime) {
    this.log = new InMemoryControlPlane(timer);
    this.timer = timer;
    this.appendTime = appendTime;
  }

  long appends() {
    return appends;
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    Proposal proposal = new Proposal(record, new CompletableFuture<>());
    waiting.add(proposal);
    appendNext();
    return proposal.outcome();
  }

  private void appendNext() {
    if (open || waiting.isEmpty()) {
      return;
    }
    open = true;
    appends++;
    List<Proposal> batch = waiting;
    waiting = new ArrayList<>();
    timer.schedule(appendTime, () -> finish(batch));
  }

  private void finish(List<Proposal> batch) {
    open = false;
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
