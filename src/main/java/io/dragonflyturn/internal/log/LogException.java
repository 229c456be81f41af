package io.dragonflyturn.internal.log;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;

/** Thrown when a call of the platform's log fails. */
public final class LogException extends DragonflyturnException {
  private static final long serialVersionUID = 1L;

  /** The possible effects of a failed call on the log. */
  public enum Effect {
    /** Nothing was appended. */
    NONE,
    /** The batch may have been appended. */
    UNKNOWN
  }

  private final Effect effect;

  /** Creates an exception with the known effect of the failed call and a cause. */
  public LogException(Effect effect, String message, Throwable cause) {
    super(ResultCode.LOG_UNAVAILABLE, message, cause);
    this.effect = effect;
  }

  /** Creates an exception with the known effect of the failed call, without a cause. */
  public LogException(Effect effect, String message) {
    super(ResultCode.LOG_UNAVAILABLE, message);
    this.effect = effect;
  }

  /** Returns the possible effect of the failed call on the log. */
  public Effect effect() {
    return effect;
  }
}
