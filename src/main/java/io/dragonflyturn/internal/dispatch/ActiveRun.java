package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.RunRecord.Placement;
import java.util.ArrayList;
import java.util.List;

/** One run of a unit: its members on their workers. */
final class ActiveRun {
  private final int number;
  private final WorkUnit unit;
  private final List<Member> members = new ArrayList<>();
  private boolean aborting;
  private boolean failed;

  ActiveRun(WorkUnit unit, int number) {
    this.unit = unit;
    this.number = number;
  }

  int number() {
    return number;
  }

  WorkUnit unit() {
    return unit;
  }

  List<Member> members() {
    return members;
  }

  void add(Member member) {
    members.add(member);
  }

  boolean isAborting() {
    return aborting;
  }

  /** Notes that the run is being stopped; returns false where it was before. */
  boolean markAborting() {
    boolean first = !aborting;
    aborting = true;
    return first;
  }

  /** Notes that a member failed; returns false where another member did before. */
  boolean markFailed() {
    boolean first = !failed;
    failed = true;
    return first;
  }

  boolean isResolved() {
    return members.stream().allMatch(Member::isResolved);
  }

  List<Placement> placements() {
    return members.stream()
        .map(each -> new Placement(each.session().id(), each.session().incarnation()))
        .toList();
  }
}
