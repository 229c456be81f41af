package io.dragonflyturn.internal.workload;

/**
 * When the occurrences of a job are due.
 *
 * @param count how often the steps run; 0 for a job that runs once, at once
 * @param firstMillis when the first occurrence is due, in milliseconds since 1970
 * @param periodMillis the time between occurrences, in milliseconds
 */
public record Recurrence(int count, long firstMillis, long periodMillis) {
  /** The recurrence of a job that runs once, at once. */
  public static final Recurrence NONE = new Recurrence(0, 0, 0);

  /** Says whether the job waits for due times. */
  public boolean isTimed() {
    return count > 0;
  }

  /** Returns how many occurrences there are; at least one. */
  public int occurrences() {
    return Math.max(1, count);
  }

  /** Returns when an occurrence is due, in milliseconds since 1970; 0 for at once. */
  public long dueMillis(int occurrence) {
    return isTimed() ? firstMillis + occurrence * periodMillis : 0;
  }
}
