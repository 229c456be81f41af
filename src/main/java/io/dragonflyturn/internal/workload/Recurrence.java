package io.dragonflyturn.internal.workload;

/**
 * How often a job runs, and when each occurrence is due.
 *
 * @param count the number of occurrences; 0 for a job that runs once, immediately
 * @param firstMillis when the first occurrence is due, in milliseconds since the epoch
 * @param periodMillis the time between two occurrences, in milliseconds
 */
public record Recurrence(int count, long firstMillis, long periodMillis) {
  /** The recurrence of a job that runs once, immediately. */
  public static final Recurrence NONE = new Recurrence(0, 0, 0);

  /** Returns whether the occurrences have due times. */
  public boolean isTimed() {
    return count > 0;
  }

  /** Returns the number of occurrences, at least 1. */
  public int occurrences() {
    return Math.max(1, count);
  }

  /** Returns when an occurrence is due, in milliseconds since the epoch; 0 for immediately. */
  public long dueMillis(int occurrence) {
    return isTimed() ? firstMillis + occurrence * periodMillis : 0;
  }
}
