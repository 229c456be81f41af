package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Urgency;
import java.util.Objects;

/**
 * A request as a caller sent it.
 *
 * @param customer the customer that asks
 * @param requestId the caller's own key, or an identifier that an entry issued
 * @param issued whether an entry issued the identifier
 * @param createdAtMillis when the caller created its key, in milliseconds since the epoch
 * @param kind what the target does
 * @param urgency the class of the request
 * @param deadlineMillis the time that is left for the answer, in milliseconds
 * @param idempotent whether the request may run more than once
 * @param body the content for the target
 */
public record RequestCall(
    String customer,
    String requestId,
    boolean issued,
    long createdAtMillis,
    TargetOperation kind,
    Urgency urgency,
    long deadlineMillis,
    boolean idempotent,
    String body) {
  /** Checks that nothing is missing. */
  public RequestCall {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(urgency, "urgency");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the key under which the request runs at most once. */
  RequestKey key() {
    return new RequestKey(customer, requestId);
  }

  /** Returns this call with another time left, in milliseconds. */
  RequestCall withDeadlineMillis(long timeLeftMillis) {
    return new RequestCall(
        customer,
        requestId,
        issued,
        createdAtMillis,
        kind,
        urgency,
        timeLeftMillis,
        idempotent,
        body);
  }
}
