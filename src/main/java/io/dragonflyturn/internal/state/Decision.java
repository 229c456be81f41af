package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The result of applying a record: accepted, or rejected with a reason.
 *
 * @param code the result code
 * @param message the reason for a rejection and how to correct it; empty on success
 * @param request the existing request that caused the rejection; {@code null} if there is none
 */
record Decision(ResultCode code, String message, @Nullable RequestRecord request) {
  static final Decision ACCEPTED = new Decision(ResultCode.OK, "", null);

  static Decision of(ResultCode code, String message) {
    return new Decision(code, message, null);
  }

  static Decision conflict(String message) {
    return of(ResultCode.STATE_CONFLICT, message);
  }

  boolean accepted() {
    return code.isSuccess();
  }

  ProposalOutcome toOutcome(long offset, long version) {
    if (request == null) {
      return ProposalOutcome.of(code, message, offset, version);
    }
    return new ProposalOutcome(
        code, message, offset, version, request.owner(), request.finishedCode(), request.answer());
  }
}
