package io.dragonflyturn.internal.request;

import io.dragonflyturn.model.Urgency;
import java.util.Objects;

/**
 * A call with which a caller submits a request. Several calls, such as retries, may submit the same
 * request.
 *
 * @param customer the name of the customer that submits the request
 * @param requestId a key chosen by the caller, or an identifier issued by an entry
 * @param issued whether the identifier was issued by an entry
 * @param createdAtMillis the time at which the caller created its key, in milliseconds since the
 *     epoch
 * @param kind the operation that the target performs
 * @param urgency the priority class of the request
 * @param deadlineMillis the time left until the answer is due, in milliseconds
 * @param idempotent whether the request may run more than once
 * @param body the payload for the target
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
  /** Validates that no component is null. */
  public RequestCall {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(urgency, "urgency");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the key that identifies the request within this entry and in the log. */
  RequestKey key() {
    return new RequestKey(customer, requestId);
  }

  /** Returns a copy of this call with a different deadline, in milliseconds from now. */
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
