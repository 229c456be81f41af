package io.dragonflyturn.internal.dispatch;

import org.jspecify.annotations.Nullable;

/**
 * The parts of a unit's key, {@code JOB.OCCURRENCE.STEP} for a gang and with {@code .INDEX} for a
 * task.
 *
 * @param job the job's identifier
 * @param occurrence the occurrence, from 0
 * @param step the step, from 0
 * @param index the task, from 0; -1 for a gang
 */
record UnitKey(String job, int occurrence, int step, int index) {
  private static final int GANG_PARTS = 3;
  private static final int TASK_PARTS = 4;

  /** Returns the parts; null where the text is no key of a unit. */
  static @Nullable UnitKey parse(String key) {
    String[] parts = key.split("\\.", -1);
    if (parts.length != GANG_PARTS && parts.length != TASK_PARTS) {
      return null;
    }
    try {
      int index = parts.length == TASK_PARTS ? Integer.parseInt(parts[GANG_PARTS]) : -1;
      return new UnitKey(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), index);
    } catch (NumberFormatException notNumbered) {
      return null;
    }
  }
}
