package io.dragonflyturn.model;

import java.util.List;

/**
 * The worker and the accelerators that are assigned to one gang member.
 *
 * @param member the index of the member, from 0
 * @param worker the name of the worker
 * @param accelerators the indexes of the accelerators on that worker
 */
public record MemberPlacement(int member, String worker, List<Integer> accelerators) {
  /** Copies the accelerators. */
  public MemberPlacement {
    accelerators = List.copyOf(accelerators);
  }
}
