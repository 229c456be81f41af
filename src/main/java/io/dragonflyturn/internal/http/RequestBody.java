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
 * @param requestId the request key chosen by the caller, or an identifier issued by an entry
 * @param issued whether an entry issued the identifier
 * @param createdAtMillis the time when the caller created its key, in milliseconds since the epoch
 * @param kind booking, inspection, or reading
 * @param urgency the urgency class; null for normal
 * @param deadlineMillis the remaining time for the answer in milliseconds
 * @param idempotent whether the request may run more than once
 * @param body the content for the target; null for empty content
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
  private static final int MAXIMUM_IDENTIFIER_CHARACTERS = 128;

  /**
   * Returns the validated request call of a customer.
   *
   * @throws DragonflyturnException with {@link ResultCode#MALFORMED_INPUT} and the name of the
   *     invalid field in the message
   */
  RequestCall toCall(String customer) {
    boolean requiresCreationTime = !idempotent && !issued;
    if (requiresCreationTime && createdAtMillis == null) {
      throw malformed(
          "createdAtMillis", "give the time when the key was created, in ms since the epoch");
    }
    return new RequestCall(
        customer,
        validatedIdentifier(),
        issued,
        createdAtMillis == null ? 0 : createdAtMillis,
        validatedKind(),
        urgency == null ? Urgency.NORMAL : urgency,
        validatedDeadline(),
        idempotent,
        body == null ? "" : body);
  }

  private String validatedIdentifier() {
    String identifier = requestId;
    if (identifier == null
        || identifier.isBlank()
        || identifier.length() > MAXIMUM_IDENTIFIER_CHARACTERS) {
      throw malformed("requestId", "give 1 to " + MAXIMUM_IDENTIFIER_CHARACTERS + " characters");
    }
    return identifier;
  }

  private TargetOperation validatedKind() {
    if (kind == null) {
      throw malformed("kind", "give booking, inspection, or reading");
    }
    return TargetOperation.of(kind);
  }

  private long validatedDeadline() {
    Long deadline = deadlineMillis;
    if (deadline == null || deadline <= 0) {
      throw malformed("deadlineMillis", "give the remaining time in ms, greater than 0");
    }
    return deadline;
  }

  private static DragonflyturnException malformed(String field, String remedy) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT, "The field '" + field + "' is invalid: " + remedy + ".");
  }
}
