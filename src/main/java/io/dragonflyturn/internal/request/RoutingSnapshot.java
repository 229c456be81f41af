package io.dragonflyturn.internal.request;

import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Duration;
import java.time.Instant;

/**
 * A routing view and the time of its request, from which its age is computed.
 *
 * @param view the routing view
 * @param requestedAt the monotonic time at which this process requested the view; the view is not
 *     older than this
 */
public record RoutingSnapshot(RoutingView view, Instant requestedAt) {

  /** Returns the maximum time since the scheduler replica sent the view. */
  Duration replicaAge(Instant now) {
    return Duration.between(requestedAt, now);
  }

  /** Returns the maximum time since the replica read the state in the view from the log. */
  Duration logAge(Instant now) {
    return replicaAge(now).plusMillis(view.logAgeMillis());
  }
}
