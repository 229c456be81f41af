package io.dragonflyturn.internal.relay;

import io.dragonflyturn.internal.intake.ApiCall;
import io.dragonflyturn.internal.intake.CallerRequest;
import io.dragonflyturn.internal.intake.JobContent;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The wire format of a call that is forwarded to a peer.
 *
 * @param kind the kind of the call, which decides which of the other components are used
 * @param leastConfiguration the lowest configuration version that the peer may evaluate the call
 *     with
 * @param request the attributes of the caller's HTTP request
 * @param id the job's identifier; empty if the call concerns a queue
 * @param content the submitted job; null for all other calls
 */
record CallMessage(
    Kind kind,
    long leastConfiguration,
    CallerRequest request,
    String id,
    @Nullable JobContent content) {
  /** The kinds of calls; one for each type of {@link ApiCall}. */
  enum Kind {
    SUBMIT,
    CANCEL,
    PHASE,
    WAITING
  }

  static CallMessage of(ApiCall call, long minConfigurationVersion) {
    return switch (call) {
      case ApiCall.Submit submit ->
          new CallMessage(
              Kind.SUBMIT,
              minConfigurationVersion,
              submit.request(),
              submit.id(),
              submit.content());
      case ApiCall.Cancel cancel ->
          new CallMessage(
              Kind.CANCEL, minConfigurationVersion, cancel.request(), cancel.id(), null);
      case ApiCall.ReadPhase read ->
          new CallMessage(Kind.PHASE, minConfigurationVersion, read.request(), read.id(), null);
      case ApiCall.CountWaiting count ->
          new CallMessage(Kind.WAITING, minConfigurationVersion, count.request(), "", null);
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
