package io.dragonflyturn.internal.placement;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;

/** Thrown when a selector cannot be parsed. */
public final class SelectorException extends DragonflyturnException {
  private static final long serialVersionUID = 1L;

  private final int position;
  private final String detail;

  SelectorException(int position, String message) {
    super(ResultCode.INVALID_CONFIGURATION, "at character " + (position + 1) + ": " + message);
    this.position = position;
    detail = "at character " + (position + 1) + ": " + message;
  }

  /** Returns the message with the position; never null, unlike {@link #getMessage}. */
  String detail() {
    return detail;
  }

  /** Returns the index of the malformed term in the text, from 0. */
  public int position() {
    return position;
  }
}
