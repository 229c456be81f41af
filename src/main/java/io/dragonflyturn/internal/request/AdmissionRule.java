package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides on arrival whether a request may wait for a slot.
 *
 * <p>The limit adapts to the load: it is a time, and the wait is estimated from what targets take
 * and how many slots there are. Deferrable requests have the shortest limit and are shed first;
 * urgent ones are bounded by their own deadline alone.
 */
final class AdmissionRule {
  private final RequestSettings settings;

  AdmissionRule(RequestSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns why a request is refused; empty where it may wait.
   *
   * @param expectedWait the estimated time until it gets a slot
   * @param expectedService the estimated time that a target takes for it
   * @param timeLeft the time until its deadline
   */
  Optional<SlotGrant.Refused> refusal(
      Urgency urgency, Duration expectedWait, Duration expectedService, Duration timeLeft) {
    if (expectedWait.compareTo(longestWait(urgency)) > 0) {
      return Optional.of(overloaded(expectedWait));
    }
    if (expectedWait.plus(expectedService).compareTo(timeLeft) > 0) {
      return Optional.of(deadlineNotMet(expectedWait));
    }
    return Optional.empty();
  }

  /** Returns the refusal of a request that gets no place in the queue. */
  SlotGrant.Refused overloaded(Duration expectedWait) {
    return new SlotGrant.Refused(
        ResultCode.OVERLOADED,
        "Too many requests wait for a slot; try again later.",
        retryAfter(expectedWait));
  }

  /** Returns the refusal of a request that would be answered after its deadline. */
  SlotGrant.Refused deadlineNotMet(Duration expectedWait) {
    return new SlotGrant.Refused(
        ResultCode.DEADLINE_BEFORE_SEND,
        "No target can answer before the deadline; allow more time or try later.",
        retryAfter(expectedWait));
  }

  private Duration longestWait(Urgency urgency) {
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
