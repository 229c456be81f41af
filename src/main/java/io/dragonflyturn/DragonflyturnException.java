package io.dragonflyturn;

/**
 * Thrown when a dragonflyturn operation fails. Carries a numbered result code and a message that
 * states the problem, its location, and how to correct it.
 */
public class DragonflyturnException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  /** Creates an exception with a code and a message. */
  public DragonflyturnException(ResultCode code, String message) {
    super(message);
    this.code = code;
  }

  /** Creates an exception with a code, a message, and a cause. */
  public DragonflyturnException(ResultCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the result code of this failure. */
  public ResultCode code() {
    return code;
  }
}
