package io.dragonflyturn.internal.http;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

/** The JSON bodies that an entry exchanges with {@code POST /requests} of a target. */
final class TargetMessage {
  private TargetMessage() {}

  /**
   * An attempt to run a request.
   *
   * @param attemptId the ID of the attempt, unique for each time the request is sent
   * @param requestId the ID of the request
   * @param kind the wire name of the request kind
   * @param idempotent whether the request may run more than once
   * @param deadlineMillis the remaining time in milliseconds
   * @param body the content of the request
   */
  record Attempt(
      String attemptId,
      String requestId,
      String kind,
      boolean idempotent,
      long deadlineMillis,
      String body) {}

  /**
   * The reply of a target, which repeats the identifiers of the attempt.
   *
   * @param status {@code answered}, {@code failed}, or {@code refused}
   * @param answer the answer, or a description of the failure
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Reply(
      @Nullable String attemptId,
      @Nullable String requestId,
      @Nullable String status,
      @Nullable String answer) {}
}
