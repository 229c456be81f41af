package io.dragonflyturn;

import java.util.Locale;

/** The kind of operation that a request asks a target to perform. */
public enum RequestKind {
  /** A swap of batteries at a kiosk, not idempotent. */
  BOOKING,
  /** A check of one piece, not idempotent. */
  INSPECTION,
  /** A read of measured values. */
  READING;

  /** Returns the name that the HTTP interface uses. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
