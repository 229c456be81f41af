package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlAnswer;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Calls a control plane and converts its outcomes and answers to response bodies. */
final class ControlPlaneAdapter {
  private final ControlPlane controlPlane;

  ControlPlaneAdapter(ControlPlane controlPlane) {
    this.controlPlane = controlPlane;
  }

  /** Proposes a record and returns a response body that contains the data on success. */
  CompletableFuture<ApiBody> propose(ControlRecord record, @Nullable Object data) {
    return outcome(record).thenApply(outcome -> body(outcome, data));
  }

  /** Proposes a record and returns its outcome. */
  CompletableFuture<ProposalOutcome> outcome(ControlRecord record) {
    return controlPlane.propose(record);
  }

  /** Runs a query and returns its answer as a response body. */
  CompletableFuture<ApiBody> query(ControlQuery query) {
    return controlPlane.query(query).thenApply(ControlPlaneAdapter::body);
  }

  /** Throws an exception with {@link ResultCode#FORBIDDEN} if the caller is not an operator. */
  static void requireOperator(ApiCall call) {
    if (!call.principal().operator()) {
      throw new DragonflyturnException(
          ResultCode.FORBIDDEN,
          "Only operators may " + call.method() + " /v1/" + String.join("/", call.path()) + ".");
    }
  }

  static ApiBody body(ProposalOutcome outcome, @Nullable Object data) {
    Object visibleData = outcome.code().isSuccess() ? data : null;
    return ApiBody.of(outcome.code(), outcome.message(), visibleData);
  }

  private static ApiBody body(ControlAnswer answer) {
    if (!answer.code().isSuccess()) {
      return ApiBody.of(answer.code(), answer.message(), null);
    }
    try {
      return ApiBody.success(JsonCodec.mapper().readTree(answer.json()));
    } catch (IOException malformed) {
      throw new DragonflyturnException(
          ResultCode.INTERNAL_ERROR, "A scheduler answered with malformed JSON.", malformed);
    }
  }
}
