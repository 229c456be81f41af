package io.dragonflyturn.internal.request;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.util.Locale;

/** The operation that a request asks a target to perform. */
public enum TargetOperation {
  /** Books a battery swap. */
  BOOKING,
  /** Inspects a blank. */
  INSPECTION,
  /** Takes a reading. */
  READING;

  /** Returns the name of this operation in the HTTP API, in lower case. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the operation with the given name in the HTTP API.
   *
   * @throws DragonflyturnException with {@link ResultCode#MALFORMED_INPUT} if there is no such
   *     operation
   */
  public static TargetOperation of(String wireName) {
    for (TargetOperation operation : values()) {
      if (operation.wireName().equals(wireName)) {
        return operation;
      }
    }
    throw new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The kind '" + wireName + "' is not known; allowed are booking, inspection, reading.");
  }
}
