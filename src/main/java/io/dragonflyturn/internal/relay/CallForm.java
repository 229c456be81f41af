package io.dragonflyturn.internal.relay;

import io.dragonflyturn.internal.intake.CallerCall;
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
record CallForm(
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

  static CallForm of(CallerCall call, long least) {
    return switch (call) {
      case CallerCall.Submit submit ->
          new CallForm(Kind.SUBMIT, least, submit.request(), submit.id(), submit.content());
      case CallerCall.Cancel cancel ->
          new CallForm(Kind.CANCEL, least, cancel.request(), cancel.id(), null);
      case CallerCall.ReadPhase read ->
          new CallForm(Kind.PHASE, least, read.request(), read.id(), null);
      case CallerCall.CountWaiting count ->
          new CallForm(Kind.WAITING, least, count.request(), "", null);
    };
  }

  CallerCall call() {
    return switch (kind) {
      case SUBMIT -> new CallerCall.Submit(request, id, Objects.requireNonNull(content));
      case CANCEL -> new CallerCall.Cancel(request, id);
      case PHASE -> new CallerCall.ReadPhase(request, id);
      case WAITING -> new CallerCall.CountWaiting(request);
    };
  }
}
