package io.dragonflyturn.internal.relay;

import io.dragonflyturn.internal.intake.CallerCall;
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
  /** The kinds of calls; one for each type of {@link CallerCall}. */
  enum Kind {
    SUBMIT,
    CANCEL,
    PHASE,
    WAITING
  }

  static CallMessage of(CallerCall call, long minConfigurationVersion) {
    return switch (call) {
      case CallerCall.Submit submit ->
          new CallMessage(
              Kind.SUBMIT,
              minConfigurationVersion,
              submit.request(),
              submit.id(),
              submit.content());
      case CallerCall.Cancel cancel ->
          new CallMessage(
              Kind.CANCEL, minConfigurationVersion, cancel.request(), cancel.id(), null);
      case CallerCall.ReadState read ->
          new CallMessage(Kind.PHASE, minConfigurationVersion, read.request(), read.id(), null);
      case CallerCall.CountWaiting count ->
          new CallMessage(Kind.WAITING, minConfigurationVersion, count.request(), "", null);
    };
  }

  CallerCall call() {
    return switch (kind) {
      case SUBMIT -> new CallerCall.Submit(request, id, Objects.requireNonNull(content));
      case CANCEL -> new CallerCall.Cancel(request, id);
      case PHASE -> new CallerCall.ReadState(request, id);
      case WAITING -> new CallerCall.CountWaiting(request);
    };
  }
}
