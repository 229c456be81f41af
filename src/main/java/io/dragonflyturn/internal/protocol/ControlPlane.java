package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The operations that a scheduler replica offers to entries, in the same process or over the
 * protocol between processes.
 *
 * <p>Futures fail with {@link io.dragonflyturn.DragonflyturnException}.
 */
public interface ControlPlane {
  /** Appends a record to the log. The future completes when the replica has applied the record. */
  CompletableFuture<ProposalOutcome> propose(ControlRecord record);

  /**
   * Returns the routing view as soon as its version is greater than {@code knownVersion} or the
   * wait is over.
   *
   * @param entry the calling entry; each call also serves as its heartbeat
   */
  CompletableFuture<RoutingView> routingView(EntryPresence entry, long knownVersion, Duration wait);

  /** Answers a query from the state of the replica. */
  CompletableFuture<ControlAnswer> query(ControlQuery query);
}
