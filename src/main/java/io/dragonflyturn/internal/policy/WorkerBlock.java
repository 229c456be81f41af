package io.dragonflyturn.internal.policy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A part of a {@link WorkerGroup}, which consists of a few workers or of a few smaller blocks. It
 * has a number that grows when one of its workers changes.
 */
final class WorkerBlock {
  private static final int MAXIMUM_PARTS = 4;

  private final List<Candidate> workers;
  private final List<WorkerBlock> blocks;
  private @Nullable WorkerBlock parent;
  private int revision;

  private WorkerBlock(List<Candidate> workers, List<WorkerBlock> blocks) {
    this.workers = workers;
    this.blocks = blocks;
  }

  /** Returns the block of all the workers, which report their changes from now on. */
  static WorkerBlock of(List<Candidate> workers) {
    if (workers.size() <= MAXIMUM_PARTS) {
      WorkerBlock block = new WorkerBlock(workers, List.of());
      workers.forEach(worker -> worker.reportTo(block));
      return block;
    }
    int partSize = Math.ceilDiv(workers.size(), MAXIMUM_PARTS);
    List<WorkerBlock> parts = new ArrayList<>();
    for (int start = 0; start < workers.size(); start += partSize) {
      parts.add(of(workers.subList(start, Math.min(workers.size(), start + partSize))));
    }
    WorkerBlock block = new WorkerBlock(List.of(), parts);
    parts.forEach(part -> part.parent = block);
    return block;
  }

  /** Returns the workers of the block; empty if it consists of smaller blocks. */
  List<Candidate> workers() {
    return workers;
  }

  /** Returns the smaller blocks of which the block consists; empty if it consists of workers. */
  List<WorkerBlock> blocks() {
    return blocks;
  }

  /** Returns a number that grows each time resources of a worker are reserved. */
  int revision() {
    return revision;
  }

  /** Records a change of a worker, for all blocks that contain it. */
  void workerChanged() {
    revision++;
    if (parent != null) {
      parent.workerChanged();
    }
  }
}
