package io.dragonflyturn.internal.policy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The requests of a planning round, in an order that may depend on what was placed before. */
public interface RequestQueue {
  /** Removes and returns the request that is served next; null if none is left. */
  @Nullable PlacementRequest next();

  /**
   * Records that the request that was served last has been placed, or will be once the runs that it
   * preempts have ended.
   */
  void placed(PlacementRequest request);

  /**
   * Returns a queue that serves requests in the order of a list, but those within a guarantee first
   * for which runs are being stopped. Otherwise a run that was moved for one of them would take the
   * room back.
   *
   * @param preempting the keys of the units for which runs are being stopped
   */
  static RequestQueue inOrder(List<PlacementRequest> requests, Set<String> preempting) {
    List<PlacementRequest> reordered = new ArrayList<>();
    List<PlacementRequest> others = new ArrayList<>();
    for (PlacementRequest request : requests) {
      boolean isFirst = request.isWithinGuarantee() && preempting.contains(request.unitKey());
      (isFirst ? reordered : others).add(request);
    }
    reordered.addAll(others);
    return inOrder(reordered);
  }

  /** Returns a queue that serves requests in the order of a list. */
  static RequestQueue inOrder(List<PlacementRequest> requests) {
    Iterator<PlacementRequest> remaining = requests.iterator();
    return new RequestQueue() {
      @Override
      public @Nullable PlacementRequest next() {
        return remaining.hasNext() ? remaining.next() : null;
      }

      @Override
      public void placed(PlacementRequest request) {}
    };
  }
}
