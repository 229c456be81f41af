package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.jspecify.annotations.Nullable;

/** Converts the failures of futures to exceptions with a result code. */
public final class Failures {
  private Failures() {}

  /**
   * Returns the {@link DragonflyturnException} that a future failed with, or one with {@link
   * ResultCode#INTERNAL_ERROR} for any other failure.
   */
  public static DragonflyturnException toDragonflyturnException(Throwable failure) {
    Throwable cause = unwrap(failure);
    if (cause instanceof DragonflyturnException known) {
      return known;
    }
    return new DragonflyturnException(
        ResultCode.INTERNAL_ERROR, "Unexpected failure: " + cause, cause);
  }

  /**
   * Returns the original cause of a future's failure, without the wrapper exception that futures
   * add.
   */
  public static Throwable unwrap(Throwable failure) {
    @Nullable Throwable cause = failure.getCause();
    boolean wrapped =
        failure instanceof CompletionException || failure instanceof ExecutionException;
    return wrapped && cause != null ? cause : failure;
  }
}
