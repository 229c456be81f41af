package io.dragonflyturn.internal.relay;

import io.dragonflyturn.internal.intake.ApiCall;
import io.dragonflyturn.internal.intake.CallerRequest;
import io.dragonflyturn.internal.intake.JobContent;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A call of a caller in a message.
 *
 * @param leastConfiguration the oldest version of the configuration that may judge the call
 * @param id the job's identifier; empty where the call is about a queue
 * @param content what is submitted; null for all other calls
 */
record CallMessage(
    Kind kind,
    long leastConfiguration,
    CallerRequest request,
    String id,
    @Nullable JobContent content) {
  /** The kinds of calls. */
  enum Kind {
    SUBMIT,
    CANCEL,
    PHASE,
    WAITING
  }

  static CallMessage of(ApiCall call, long least) {
    return switch (call) {
      case ApiCall.Submit submit ->
          new CallMessage(Kind.SUBMIT, least, submit.request(), submit.id(), submit.content());
      case ApiCall.Cancel cancel ->
          new CallMessage(Kind.CANCEL, least, cancel.request(), cancel.id(), null);
      case ApiCall.ReadPhase read ->
          new CallMessage(Kind.PHASE, least, read.request(), read.id(), null);
      case ApiCall.CountWaiting count ->
          new CallMessage(Kind.WAITING, least, count.request(), "", null);
    };
  }

  ApiCall call() {
    return switch (kind) {
      case SUBMIT -> new ApiCall.Submit(request, id, Objects.requireNonNull(content));
      case CANCEL -> new ApiCall.Cancel(request, id);
      case PHASE -> new ApiCall.ReadPhase(request, id);
      case WAITING -> new ApiCall.CountWaiting(request);
    };
  }
}
