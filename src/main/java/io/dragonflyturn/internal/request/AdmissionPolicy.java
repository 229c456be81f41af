package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides on arrival whether a request may wait for a slot.
 *
 * <p>The limit is a waiting time, so it adapts to the load: the wait is estimated from the service
 * times of the targets and the number of slots. Deferrable requests have the shortest limit and are
 * shed first; urgent ones are limited only by their own deadline.
 */
final class AdmissionPolicy {
  private final RequestSettings settings;

  AdmissionPolicy(RequestSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns the reason to refuse a request, or empty if the request may wait.
   *
   * @param urgency the priority class of the request
   * @param expectedWait the estimated time until the request gets a slot
   * @param expectedServiceTime the estimated time that a target needs to serve the request
   * @param timeLeft the time until the deadline of the request
   */
  Optional<SlotResult.Refused> refusal(
      Urgency urgency, Duration expectedWait, Duration expectedServiceTime, Duration timeLeft) {
    if (expectedWait.compareTo(maximumWait(urgency)) > 0) {
      return Optional.of(overloaded(expectedWait));
    }
    if (expectedWait.plus(expectedServiceTime).compareTo(timeLeft) > 0) {
      return Optional.of(deadlineNotMet(expectedWait));
    }
    return Optional.empty();
  }

  /** Creates the refusal for a request that does not fit into the queue. */
  SlotResult.Refused overloaded(Duration expectedWait) {
    return new SlotResult.Refused(
        ResultCode.OVERLOADED,
        "Too many requests wait for a slot; try again later.",
        retryAfter(expectedWait));
  }

  /** Creates the refusal for a request that cannot be answered before its deadline. */
  SlotResult.Refused deadlineNotMet(Duration expectedWait) {
    return new SlotResult.Refused(
        ResultCode.DEADLINE_BEFORE_SEND,
        "No target can answer before the deadline; allow more time or try later.",
        retryAfter(expectedWait));
  }

  private Duration maximumWait(Urgency urgency) {
    return switch (urgency) {
      case URGENT -> settings.maximumDeadline();
      case NORMAL -> settings.maximumNormalWait();
      case DEFERRABLE -> settings.maximumDeferrableWait();
    };
  }

  private Duration retryAfter(Duration expectedWait) {
    return expectedWait.compareTo(settings.retryAfter()) > 0 ? expectedWait : settings.retryAfter();
  }
}
