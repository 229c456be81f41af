package io.dragonflyturn.internal.dispatch;

import java.util.Comparator;

/**
 * The order in which waiting units are offered places: urgent jobs first, then jobs in the order of
 * their acceptance.
 */
enum WaitingOrder implements Comparator<WorkUnit> {
  INSTANCE;

  @Override
  public int compare(WorkUnit left, WorkUnit right) {
    int byPriority = Integer.compare(left.job().priority(), right.job().priority());
    if (byPriority != 0) {
      return byPriority;
    }
    return Long.compare(
        left.job().submission().acceptedMillis(), right.job().submission().acceptedMillis());
  }
}
