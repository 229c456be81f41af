package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Urgency;
import java.time.Instant;
import java.util.Set;

/**
 * A request for a slot to send one attempt.
 *
 * @param urgency the priority class of the request
 * @param operation the operation that the target performs, which determines the expected service
 *     time
 * @param excluded the names of workers that must not be chosen
 * @param deadline the monotonic time by which the answer is due
 */
record SlotRequest(
    Urgency urgency, TargetOperation operation, Set<String> excluded, Instant deadline) {
  SlotRequest {
    excluded = Set.copyOf(excluded);
  }
}
