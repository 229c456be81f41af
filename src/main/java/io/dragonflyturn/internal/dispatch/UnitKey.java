package io.dragonflyturn.internal.dispatch;

import org.jspecify.annotations.Nullable;

/**
 * The parsed key of a work unit: {@code JOB.OCCURRENCE.STEP} for a gang, {@code
 * JOB.OCCURRENCE.STEP.INDEX} for a task.
 *
 * @param job the identifier of the job
 * @param occurrence the index of the occurrence, starting at 0
 * @param stepIndex the index of the step, starting at 0
 * @param taskIndex the index of the task, starting at 0; -1 for a gang
 */
record UnitKey(String job, int occurrence, int stepIndex, int taskIndex) {
  private static final int GANG_PARTS = 3;
  private static final int TASK_PARTS = 4;

  /** Parses a key; returns null if it is not the key of a work unit. */
  static @Nullable UnitKey parse(String key) {
    String[] parts = key.split("\\.", -1);
    if (parts.length != GANG_PARTS && parts.length != TASK_PARTS) {
      return null;
    }
    try {
      int taskIndex = parts.length == TASK_PARTS ? Integer.parseInt(parts[GANG_PARTS]) : -1;
      return new UnitKey(
          parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), taskIndex);
    } catch (NumberFormatException notNumbered) {
      return null;
    }
  }
}
