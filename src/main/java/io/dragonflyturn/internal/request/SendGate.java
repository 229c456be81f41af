package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;

/** Decides whether this entry's news is fresh enough to send a request. */
final class SendGate {
  private final Supplier<RoutingSnapshot> routing;
  private final InstantSource monotonic;
  private final RequestSettings settings;

  SendGate(Supplier<RoutingSnapshot> routing, InstantSource monotonic, RequestSettings settings) {
    this.routing = routing;
    this.monotonic = monotonic;
    this.settings = settings;
  }

  /**
   * Returns why a request must not be sent now; empty where it may be.
   *
   * <p>Without fresh news from the log only an outage that all instances share lets requests go on,
   * because then no change can have been accepted; a claim in the log is not possible then.
   */
  Optional<RequestResponse> refusal(RequestCall call) {
    RoutingSnapshot snapshot = routing.get();
    Instant now = monotonic.instant();
    if (isFresh(snapshot.logAge(now))) {
      return Optional.empty();
    }
    boolean sharedOutage = snapshot.view().outageForAll() && isFresh(snapshot.replicaAge(now));
    boolean needsLog = !call.idempotent() && !call.issued();
    return sharedOutage && !needsLog ? Optional.empty() : Optional.of(stale(call, sharedOutage));
  }

  /** Returns whether the latest view is within the freshness bound. */
  boolean hasFreshNews() {
    return isFresh(routing.get().logAge(monotonic.instant()));
  }

  private boolean isFresh(Duration age) {
    return age.compareTo(settings.freshnessBound()) <= 0;
  }

  private RequestResponse stale(RequestCall call, boolean sharedOutage) {
    String cause =
        sharedOutage
            ? "The log is out; only issued identifiers and idempotent requests go on."
            : "This entry has no fresh news from the log.";
    return RequestResponse.retryable(
        ResultCode.CONTROL_STATE_STALE,
        cause + " This call sent nothing; ask again with the same key.",
        call.requestId(),
        settings.retryAfter().toMillis());
  }
}
