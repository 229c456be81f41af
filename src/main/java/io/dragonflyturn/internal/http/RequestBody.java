package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.RequestCall;
import io.dragonflyturn.internal.request.TargetOperation;
import io.dragonflyturn.model.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * The JSON body of {@code POST /v1/requests}.
 *
 * @param requestId the caller's key, or an issued identifier
 * @param issued whether an entry issued the identifier
 * @param createdAtMillis when the caller made its key, in milliseconds since the epoch
 * @param kind booking, inspection, or reading
 * @param urgency the class; normal where it is missing
 * @param deadlineMillis the time left for the answer, in milliseconds
 * @param idempotent whether the request may run more than once
 * @param body the content for the target; empty where it is missing
 */
record RequestBody(
    @Nullable String requestId,
    boolean issued,
    @Nullable Long createdAtMillis,
    @Nullable String kind,
    @Nullable Urgency urgency,
    @Nullable Long deadlineMillis,
    boolean idempotent,
    @Nullable String body) {
  private static final int MOST_IDENTIFIER_CHARACTERS = 128;

  /**
   * Returns the call of a customer.
   *
   * @throws DragonflyturnException with {@link ResultCode#MALFORMED_INPUT} and the faulty field
   */
  RequestCall toCall(String customer) {
    boolean needsCreation = !idempotent && !issued;
    if (needsCreation && createdAtMillis == null) {
      throw malformed("createdAtMillis", "say when the key was made, in ms since the epoch");
    }
    return new RequestCall(
        customer,
        checkedIdentifier(),
        issued,
        createdAtMillis == null ? 0 : createdAtMillis,
        checkedKind(),
        urgency == null ? Urgency.NORMAL : urgency,
        checkedDeadline(),
        idempotent,
        body == null ? "" : body);
  }

  private String checkedIdentifier() {
    String identifier = requestId;
    if (identifier == null
        || identifier.isBlank()
        || identifier.length() > MOST_IDENTIFIER_CHARACTERS) {
      throw malformed("requestId", "give 1 to " + MOST_IDENTIFIER_CHARACTERS + " characters");
    }
    return identifier;
  }

  private TargetOperation checkedKind() {
    if (kind == null) {
      throw malformed("kind", "give booking, inspection, or reading");
    }
    return TargetOperation.of(kind);
  }

  private long checkedDeadline() {
    Long deadline = deadlineMillis;
    if (deadline == null || deadline <= 0) {
      throw malformed("deadlineMillis", "give the time left in ms, above 0");
    }
    return deadline;
  }

  private static DragonflyturnException malformed(String field, String remedy) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT, "The field '" + field + "' is invalid: " + remedy + ".");
  }
}
