package io.dragonflyturn.internal.http;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlAnswer;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A control plane that records proposals and queries and answers them with a configurable result
 * code.
 */
final class FakeControlPlane implements ControlPlane {
  private final List<ControlRecord> proposals = new CopyOnWriteArrayList<>();
  private final List<ControlQuery> queries = new CopyOnWriteArrayList<>();
  private volatile ResultCode code = ResultCode.OK;

  void answerWith(ResultCode answer) {
    code = answer;
  }

  List<ControlRecord> proposals() {
    return List.copyOf(proposals);
  }

  List<ControlQuery> queries() {
    return List.copyOf(queries);
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    proposals.add(record);
    return CompletableFuture.completedFuture(ProposalOutcome.of(code, "", 1, 8));
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    return CompletableFuture.completedFuture(RoutingView.NONE);
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    queries.add(query);
    return CompletableFuture.completedFuture(new ControlAnswer(code, "", "{}"));
  }
}
