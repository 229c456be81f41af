package io.dragonflyturn.internal.request;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.Failures;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Puts claims into the log and reads what the log knows of a request. */
final class ClaimLog {
  private final ControlPlane controlPlane;
  private final long retryAfterMillis;

  ClaimLog(ControlPlane controlPlane, long retryAfterMillis) {
    this.controlPlane = controlPlane;
    this.retryAfterMillis = retryAfterMillis;
  }

  /**
   * Returns whether an incarnation has stopped for good, with the outcome of all that it sent in
   * the log; the future never fails.
   */
  CompletableFuture<Boolean> isClosed(String owner, long nowMillis) {
    return controlPlane
        .propose(ClosingRecord.question(owner, nowMillis))
        .handle(this::result)
        .thenApply(result -> result instanceof Result.Finished);
  }

  /** Proposes an owner for a request; the future never fails. */
  CompletableFuture<Result> claim(RequestCall call, String owner, long createdAtMillis) {
    ControlRecord record =
        new ControlRecord.RequestClaimed(call.requestId(), call.customer(), owner, createdAtMillis);
    return controlPlane.propose(record).handle(this::result);
  }

  /** Returns the recorded answer of a request whose owner does not answer. */
  static RequestAnswer recordedAnswer(RequestCall call, Result result) {
    return switch (result) {
      case Result.Finished finished when finished.code().isSuccess() ->
          new RequestAnswer(ResultCode.JOINED, "", call.requestId(), finished.answer(), null, null);
      case Result.Finished finished ->
          RequestAnswer.of(finished.code(), finished.answer(), call.requestId());
      case Result.Refused refused when refused.code() != ResultCode.STALE_REQUEST_KEY ->
          RequestAnswer.retryable(
              ResultCode.OUTCOME_UNKNOWN,
              "The outcome cannot be read now; ask again with the same key.",
              call.requestId(),
              refused.retryAfterMillis());
      case Result.Refused stale -> unknown(call);
      case Result.Accepted accepted -> unknown(call);
      case Result.Taken taken -> unknown(call);
    };
  }

  private static RequestAnswer unknown(RequestCall call) {
    return RequestAnswer.of(
        ResultCode.OUTCOME_UNKNOWN,
        "The owner of the request is gone and left no outcome; the request is not repeated.",
        call.requestId());
  }

  private Result result(@Nullable ProposalOutcome outcome, @Nullable Throwable failure) {
    if (outcome == null) {
      return refusal(failure);
    }
    if (outcome.code().isSuccess()) {
      return new Result.Accepted();
    }
    if (outcome.finishedCode() != null) {
      String answer = outcome.answer();
      return new Result.Finished(outcome.finishedCode(), answer == null ? "" : answer);
    }
    String owner = outcome.owner();
    return outcome.code() == ResultCode.DUPLICATE && owner != null
        ? new Result.Taken(owner)
        : new Result.Refused(outcome.code(), outcome.message(), retryAfterMillis);
  }

  private Result refusal(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    ResultCode code =
        cause instanceof DragonflyturnException known
                && known.code().certainty() == ResultCode.Certainty.NOT_RUN
            ? known.code()
            : ResultCode.LOG_UNAVAILABLE;
    return new Result.Refused(code, "The claim could not be put into the log.", retryAfterMillis);
  }

  /** What the log says to a claim. */
  sealed interface Result {
    /** The proposed owner is the owner. */
    record Accepted() implements Result {}

    /** The request has an owner and no outcome. */
    record Taken(String owner) implements Result {}

    /** The request has an outcome. */
    record Finished(ResultCode code, String answer) implements Result {}

    /** The claim was not accepted, or it is not known whether it was. */
    record Refused(ResultCode code, String message, long retryAfterMillis) implements Result {}
  }
}
