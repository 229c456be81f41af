package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import java.time.Duration;

/** The result of waiting for a slot. */
sealed interface SlotResult {
  /** The slot was acquired and must be released. */
  record Granted(TargetSlot slot) implements SlotResult {}

  /** No slot was granted. */
  record Refused(ResultCode code, String message, Duration retryAfter) implements SlotResult {}
}
