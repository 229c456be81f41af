package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.jspecify.annotations.Nullable;

/** Turns failures of futures into failures with a code. */
public final class Failures {
  private Failures() {}

  /** Returns the failure with a code that a future failed with. */
  public static DragonflyturnException toDragonflyturnException(Throwable failure) {
    Throwable cause = unwrap(failure);
    if (cause instanceof DragonflyturnException known) {
      return known;
    }
    return new DragonflyturnException(
        ResultCode.INTERNAL_ERROR, "An unexpected failure: " + cause, cause);
  }

  /** Returns what a future failed with, without the wrapping that futures add. */
  public static Throwable unwrap(Throwable failure) {
    @Nullable Throwable cause = failure.getCause();
    boolean wrapped =
        failure instanceof CompletionException || failure instanceof ExecutionException;
    return wrapped && cause != null ? cause : failure;
  }
}
