package io.dragonflyturn.standin;

/**
 * Response of a worker to a request.
 *
 * @param attemptId the id of the answered attempt
 * @param requestId the id of the answered request
 * @param status {@code answered}, {@code failed}, or {@code refused}
 * @param answer the result of the request, or an error message
 */
public record RequestReply(String attemptId, String requestId, String status, String answer) {
  /** Status of a request that ran successfully. */
  public static final String ANSWERED = "answered";

  /** Status of a request that ran and failed. */
  public static final String FAILED = "failed";

  /** Status of a request that did not run. */
  public static final String REFUSED = "refused";

  /** Returns the result that the stand-in computes for a request that succeeds. */
  public static String expectedAnswer(String kind, String requestId, String body) {
    return kind + " " + requestId + " done: " + body;
  }
}
