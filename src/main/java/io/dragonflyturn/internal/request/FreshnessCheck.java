package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;

/** Decides whether the control state known to this entry is fresh enough to send a request. */
final class FreshnessCheck {
  private final Supplier<RoutingSnapshot> routing;
  private final InstantSource monotonic;
  private final RequestSettings settings;

  FreshnessCheck(
      Supplier<RoutingSnapshot> routing, InstantSource monotonic, RequestSettings settings) {
    this.routing = routing;
    this.monotonic = monotonic;
    this.settings = settings;
  }

  /**
   * Returns the reason not to send a request now, or empty if it may be sent.
   *
   * <p>While the control state is stale, requests may only be sent during a log outage that affects
   * all replicas, because no configuration change can have been accepted then. Requests that need a
   * claim in the log are refused, since the claim cannot be made.
   */
  Optional<RequestResponse> refusal(RequestCall call) {
    RoutingSnapshot snapshot = routing.get();
    Instant now = monotonic.instant();
    if (isFresh(snapshot.logAge(now))) {
      return Optional.empty();
    }
    boolean sharedOutage = snapshot.view().outageForAll() && isFresh(snapshot.replicaAge(now));
    boolean needsLog = !call.idempotent() && !call.issued();
    return sharedOutage && !needsLog
        ? Optional.empty()
        : Optional.of(staleResponse(call, sharedOutage));
  }

  /** Returns whether the age of the latest view is within the freshness bound. */
  boolean hasFreshControlState() {
    return isFresh(routing.get().logAge(monotonic.instant()));
  }

  private boolean isFresh(Duration age) {
    return age.compareTo(settings.freshnessBound()) <= 0;
  }

  private RequestResponse staleResponse(RequestCall call, boolean sharedOutage) {
    String cause =
        sharedOutage
            ? "The log is unavailable; only idempotent requests and requests with issued"
                + " identifiers are served."
            : "The control state of this entry is stale.";
    return RequestResponse.retryable(
        ResultCode.CONTROL_STATE_STALE,
        cause + " Nothing was sent for this call; retry with the same key.",
        call.requestId(),
        settings.retryAfter().toMillis());
  }
}
