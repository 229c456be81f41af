package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Urgency;
import java.time.Instant;
import java.util.Set;

/**
 * What an attempt needs a slot for.
 *
 * @param urgency the class of the request
 * @param kind the kind, which tells the expected service time
 * @param excluded names of workers that must not be taken
 * @param deadline the time on the monotonic source by which the answer is due
 */
record SlotRequest(Urgency urgency, TargetOperation kind, Set<String> excluded, Instant deadline) {
  SlotRequest {
    excluded = Set.copyOf(excluded);
  }
}
