package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.RequestRecord;

/**
 * The log record with which an entry states, after its last outcome, that it has shut down for
 * good.
 *
 * <p>It is stored as the outcome of a request with an empty customer name, which no caller can use.
 */
public final class ShutdownRecord {
  private static final String NO_CUSTOMER = "";

  private ShutdownRecord() {}

  /** Returns the shutdown record of an entry incarnation. */
  public static ControlRecord.RequestFinished of(String incarnation) {
    return new ControlRecord.RequestFinished(
        key(incarnation), NO_CUSTOMER, incarnation, ResultCode.SHUTTING_DOWN, "");
  }

  /**
   * Returns a claim on the key of the shutdown record. The response to the claim shows whether the
   * shutdown record exists in the log.
   */
  static ControlRecord.RequestClaimed query(String incarnation, long nowMillis) {
    return new ControlRecord.RequestClaimed(key(incarnation), NO_CUSTOMER, incarnation, nowMillis);
  }

  /** Returns whether a control state contains the shutdown record of an entry incarnation. */
  public static boolean isRecordedIn(ControlState state, String incarnation) {
    RequestRecord shutdown = state.request(NO_CUSTOMER, key(incarnation));
    return shutdown != null && shutdown.finishedCode() != null;
  }

  private static String key(String incarnation) {
    return incarnation + "/closed";
  }
}
