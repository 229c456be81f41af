package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * A claimed or finished request.
 *
 * @param key the caller's idempotency key, unique within the customer
 * @param customer the customer that made the request
 * @param owner the incarnation of the only entry that may send the request
 * @param createdAtMillis when the key was created, in milliseconds since the epoch
 * @param finishedCode the recorded outcome; {@code null} if the request is not finished
 * @param answer the recorded answer; {@code null} if the request is not finished
 */
public record RequestRecord(
    String key,
    String customer,
    String owner,
    long createdAtMillis,
    @Nullable ResultCode finishedCode,
    @Nullable String answer) {

  RequestRecord finished(ResultCode code, String recordedAnswer) {
    return new RequestRecord(key, customer, owner, createdAtMillis, code, recordedAnswer);
  }
}
