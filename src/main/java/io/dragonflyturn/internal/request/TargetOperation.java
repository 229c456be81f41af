package io.dragonflyturn.internal.request;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.util.Locale;

/** What a request asks a target to do. */
public enum TargetOperation {
  /** Books a battery swap. */
  BOOKING,
  /** Inspects a blank. */
  INSPECTION,
  /** Takes a reading. */
  READING;

  /** Returns the name of this kind in the HTTP interfaces, in lower case. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the kind of a wire name.
   *
   * @throws DragonflyturnException with {@link ResultCode#MALFORMED_INPUT} where there is none
   */
  public static TargetOperation of(String wireName) {
    for (TargetOperation kind : values()) {
      if (kind.wireName().equals(wireName)) {
        return kind;
      }
    }
    throw new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The kind '" + wireName + "' is not known; allowed are booking, inspection, reading.");
  }
}
