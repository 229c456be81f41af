package io.dragonflyturn.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.placement.VictimSearch.ReclaimPlan;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the mask-based search with one that checks every accelerator separately. */
class VictimSearchTest {
  private static final int FLEETS = 300;
  private static final int SEARCHES = 12;

  @ParameterizedTest
  @ValueSource(longs = {20260101, 20260102, 20260103, 20260104})
  void should_find_the_same_as_a_search_of_all_accelerators(long seed) {
    Random random = new Random(seed);
    for (int fleet = 0; fleet < FLEETS; fleet++) {
      Topology topology =
          new Topology(
              PlacementFixture.workers(
                  1 + random.nextInt(3), 1 + random.nextInt(3), 1 + random.nextInt(4)));
      FleetOccupancy occupancy =
          new FleetOccupancy(topology, randomJobs(topology, random), all(topology));
      BlockSearch blockSearch = new BlockSearch(topology, new BlockTable());
      VictimSearch search = new VictimSearch(topology, blockSearch, occupancy);
      Predicate<PlanningJob> candidate =
          job -> job.specification().stoppable() && job.isAllocated();
      long[] candidates = occupancy.masksHeldBy(candidate);
      for (int round = 0; round < SEARCHES; round++) {
        Shape shape = randomShape(random);
        BitSet allowedWorkers = all(topology);
        allowedWorkers.clear(random.nextInt(topology.size()));
        double maximumCost = random.nextInt(40_000);
        Predicate<PlanningJob> belowMaximumCost =
            job -> job.stopCostAcceleratorSeconds < maximumCost;

        ReclaimPlan found = search.find(shape, allowedWorkers, candidates, belowMaximumCost);

        assertThat(found)
            .isEqualTo(
                findWithFullSearch(
                    topology,
                    occupancy,
                    blockSearch,
                    shape,
                    allowedWorkers,
                    candidate.and(belowMaximumCost)));
        apply(occupancy, found);
      }
    }
  }

  private static void apply(FleetOccupancy occupancy, @Nullable ReclaimPlan found) {
    if (found != null) {
      occupancy.claim(found.placements());
      for (PlanningJob victim : found.victims()) {
        victim.stopped = true;
        occupancy.markReleasing(victim);
      }
    }
  }

  private static @Nullable ReclaimPlan findWithFullSearch(
      Topology topology,
      FleetOccupancy occupancy,
      BlockSearch blockSearch,
      Shape shape,
      BitSet allowedWorkers,
      Predicate<PlanningJob> stoppable) {
    int blockSize = shape.acceleratorsPerMember();
    ReclaimPlan best = null;
    for (Span span : Span.values()) {
      for (int[] group : topology.groups(span)) {
        List<ReclaimPlan> windows = new ArrayList<>();
        IntStream.of(group)
            .filter(allowedWorkers::get)
            .forEach(
                worker ->
                    addWindows(windows, occupancy, blockSearch, worker, blockSize, stoppable));
        ReclaimPlan found = merge(windows, shape);
        boolean within = span.compareTo(shape.span()) <= 0;
        if (within && found != null && (best == null || found.cost() < best.cost())) {
          best = found;
        }
      }
    }
    return best;
  }

  private static void addWindows(
      List<ReclaimPlan> windows,
      FleetOccupancy occupancy,
      BlockSearch blockSearch,
      int worker,
      int blockSize,
      Predicate<PlanningJob> stoppable) {
    for (int offset = 0; offset + blockSize <= 8; offset += blockSize) {
      Set<PlanningJob> victims = new LinkedHashSet<>();
      boolean usable = true;
      for (int accelerator = offset; accelerator < offset + blockSize; accelerator++) {
        long bit = 1L << accelerator;
        if (((occupancy.free[worker] | occupancy.releasing[worker]) & bit) != 0) {
          continue;
        }
        PlanningJob holder = occupancy.holder(worker, accelerator);
        usable &= (occupancy.claimed[worker] & bit) == 0;
        usable &= holder != null && stoppable.test(holder);
        if (holder != null) {
          victims.add(holder);
        }
      }
      if (usable) {
        windows.add(
            new ReclaimPlan(
                List.of(blockSearch.createPlacement(0, worker, offset, blockSize)),
                List.copyOf(victims),
                cost(victims)));
      }
    }
  }

  private static @Nullable ReclaimPlan merge(List<ReclaimPlan> windows, Shape shape) {
    if (windows.size() < shape.members()) {
      return null;
    }
    windows.sort(Comparator.comparingDouble(ReclaimPlan::cost));
    Set<PlanningJob> victims = new LinkedHashSet<>();
    List<MemberPlacement> placements = new ArrayList<>();
    for (ReclaimPlan window : windows.subList(0, shape.members())) {
      victims.addAll(window.victims());
      MemberPlacement placement = window.placements().get(0);
      placements.add(
          new MemberPlacement(placements.size(), placement.worker(), placement.accelerators()));
    }
    return new ReclaimPlan(placements, List.copyOf(victims), cost(victims));
  }

  private static double cost(Set<PlanningJob> victims) {
    return victims.stream().mapToDouble(victim -> victim.stopCostAcceleratorSeconds).sum();
  }

  private static BitSet all(Topology topology) {
    BitSet workers = new BitSet();
    workers.set(0, topology.size());
    return workers;
  }

  private static Shape randomShape(Random random) {
    Span span = Span.values()[random.nextInt(Span.values().length)];
    return new Shape(1 + random.nextInt(4), 1 << random.nextInt(4), span);
  }

  /** Fills most of the fleet with gangs whose members may run on different workers. */
  private static List<PlanningJob> randomJobs(Topology topology, Random random) {
    BlockSearch search = new BlockSearch(topology, new BlockTable());
    long[] free = topology.fullMasks();
    List<PlanningJob> jobs = new ArrayList<>();
    for (int count = 0; count < 3 * topology.size(); count++) {
      Shape shape = new Shape(1 + random.nextInt(3), 1 + random.nextInt(4), Span.REGION);
      List<MemberPlacement> placements = search.find(free, all(topology), shape);
      if (placements != null) {
        search.removePlacements(free, placements);
        jobs.add(randomJob("job-" + count, shape, placements, random));
      }
    }
    return jobs;
  }

  private static PlanningJob randomJob(
      String id, Shape shape, List<MemberPlacement> placements, Random random) {
    boolean stoppable = random.nextInt(5) > 0;
    JobSpecification specification =
        new JobSpecification(
            id, "plain", shape, Urgency.NORMAL, stoppable, random.nextBoolean(), 60, Map.of());
    AllocationPhase phase =
        random.nextInt(8) == 0 ? AllocationPhase.STOPPING : AllocationPhase.ALLOCATED;
    Instant started = PlacementFixture.NOW.minusSeconds(100);
    double completed = random.nextInt(5_000) * 0.1;
    JobView view =
        new JobView(
            specification, phase, 1, placements, started, started, 0, completed, 0, List.of());
    return new PlanningJob(view, null, PolicySettings.DEFAULT, PlacementFixture.NOW);
  }
}
