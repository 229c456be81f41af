package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.RequestRecord;

/**
 * The record by which an entry says, after its last outcome, that it has stopped for good.
 *
 * <p>It is the outcome of a request that no caller can name, since its customer is empty.
 */
public final class ShutdownRecord {
  private static final String NO_CUSTOMER = "";

  private ShutdownRecord() {}

  /** Returns the record of an incarnation. */
  public static ControlRecord.RequestFinished of(String incarnation) {
    return new ControlRecord.RequestFinished(
        key(incarnation), NO_CUSTOMER, incarnation, ResultCode.SHUTTING_DOWN, "");
  }

  /** Returns a claim on the record's key, whose answer tells whether the record stands. */
  static ControlRecord.RequestClaimed question(String incarnation, long nowMillis) {
    return new ControlRecord.RequestClaimed(key(incarnation), NO_CUSTOMER, incarnation, nowMillis);
  }

  /** Returns whether an incarnation has stopped for good, as far as a state tells. */
  public static boolean isRecordedIn(ControlState state, String incarnation) {
    RequestRecord closing = state.request(NO_CUSTOMER, key(incarnation));
    return closing != null && closing.finishedCode() != null;
  }

  private static String key(String incarnation) {
    return incarnation + "/closed";
  }
}
