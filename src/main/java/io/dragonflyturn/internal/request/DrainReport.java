package io.dragonflyturn.internal.request;

/**
 * The result of draining an entry.
 *
 * @param withdrawn the number of requests that were cancelled unsent because the drain timed out
 * @param unfinished the number of requests that were sent and have no outcome
 * @param unrecorded the number of outcomes that are not recorded in the log
 */
public record DrainReport(int withdrawn, int unfinished, int unrecorded) {
  /** Returns whether every request finished and every outcome is recorded in the log. */
  public boolean isComplete() {
    return withdrawn == 0 && unfinished == 0 && unrecorded == 0;
  }
}
