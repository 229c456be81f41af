package io.dragonflyturn.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.placement.VictimSearch.Reclaim;
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

/** Compares the search by masks with a plain one that asks for every accelerator. */
class VictimSearchTest {
  private static final int FLEETS = 300;
  private static final int SEARCHES = 12;

  @ParameterizedTest
  @ValueSource(longs = {20260101, 20260102, 20260103, 20260104})
  void should_find_what_a_search_of_all_accelerators_finds(long seed) {
    Random random = new Random(seed);
    for (int fleet = 0; fleet < FLEETS; fleet++) {
      Topology topology =
          new Topology(
              Fleets.workers(1 + random.nextInt(3), 1 + random.nextInt(3), 1 + random.nextInt(4)));
      FleetOccupancy occupancy =
          new FleetOccupancy(topology, randomJobs(topology, random), all(topology));
      BlockSearch blocks = new BlockSearch(topology, new BlockTable());
      VictimSearch search = new VictimSearch(topology, blocks, occupancy);
      Predicate<JobEntry> candidate = job -> job.specification().stoppable() && job.isHeld();
      long[] candidates = occupancy.held(candidate);
      for (int round = 0; round < SEARCHES; round++) {
        Shape shape = randomShape(random);
        BitSet allowed = all(topology);
        allowed.clear(random.nextInt(topology.size()));
        double dearest = random.nextInt(40_000);
        Predicate<JobEntry> cheap = job -> job.stopCost < dearest;

        Reclaim found = search.find(shape, allowed, candidates, cheap);

        assertThat(found)
            .isEqualTo(
                findPlainly(topology, occupancy, blocks, shape, allowed, candidate.and(cheap)));
        carryOut(occupancy, found);
      }
    }
  }

  private static void carryOut(FleetOccupancy occupancy, @Nullable Reclaim found) {
    if (found != null) {
      occupancy.claim(found.placements());
      for (JobEntry victim : found.victims()) {
        victim.stopped = true;
        occupancy.release(victim);
      }
    }
  }

  private static @Nullable Reclaim findPlainly(
      Topology topology,
      FleetOccupancy occupancy,
      BlockSearch blocks,
      Shape shape,
      BitSet allowed,
      Predicate<JobEntry> stoppable) {
    int width = shape.acceleratorsPerMember();
    Reclaim best = null;
    for (Span span : Span.values()) {
      for (int[] group : topology.groups(span)) {
        List<Reclaim> windows = new ArrayList<>();
        IntStream.of(group)
            .filter(allowed::get)
            .forEach(worker -> addWindows(windows, occupancy, blocks, worker, width, stoppable));
        Reclaim found = merge(windows, shape);
        boolean within = span.compareTo(shape.span()) <= 0;
        if (within && found != null && (best == null || found.cost() < best.cost())) {
          best = found;
        }
      }
    }
    return best;
  }

  private static void addWindows(
      List<Reclaim> windows,
      FleetOccupancy occupancy,
      BlockSearch blocks,
      int worker,
      int width,
      Predicate<JobEntry> stoppable) {
    for (int offset = 0; offset + width <= 8; offset += width) {
      Set<JobEntry> victims = new LinkedHashSet<>();
      boolean usable = true;
      for (int accelerator = offset; accelerator < offset + width; accelerator++) {
        long bit = 1L << accelerator;
        if (((occupancy.free[worker] | occupancy.soonFree[worker]) & bit) != 0) {
          continue;
        }
        JobEntry holder = occupancy.holder(worker, accelerator);
        usable &= (occupancy.claimed[worker] & bit) == 0;
        usable &= holder != null && stoppable.test(holder);
        if (holder != null) {
          victims.add(holder);
        }
      }
      if (usable) {
        windows.add(
            new Reclaim(
                List.of(blocks.placement(0, worker, offset, width)),
                List.copyOf(victims),
                cost(victims)));
      }
    }
  }

  private static @Nullable Reclaim merge(List<Reclaim> windows, Shape shape) {
    if (windows.size() < shape.members()) {
      return null;
    }
    windows.sort(Comparator.comparingDouble(Reclaim::cost));
    Set<JobEntry> victims = new LinkedHashSet<>();
    List<MemberPlacement> placements = new ArrayList<>();
    for (Reclaim window : windows.subList(0, shape.members())) {
      victims.addAll(window.victims());
      MemberPlacement place = window.placements().get(0);
      placements.add(new MemberPlacement(placements.size(), place.worker(), place.accelerators()));
    }
    return new Reclaim(placements, List.copyOf(victims), cost(victims));
  }

  private static double cost(Set<JobEntry> victims) {
    return victims.stream().mapToDouble(victim -> victim.stopCost).sum();
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

  /** Fills most of the fleet with gangs, whose members may lie on different workers. */
  private static List<JobEntry> randomJobs(Topology topology, Random random) {
    BlockSearch search = new BlockSearch(topology, new BlockTable());
    long[] free = topology.fullMasks();
    List<JobEntry> jobs = new ArrayList<>();
    for (int count = 0; count < 3 * topology.size(); count++) {
      Shape shape = new Shape(1 + random.nextInt(3), 1 + random.nextInt(4), Span.REGION);
      List<MemberPlacement> places = search.find(free, all(topology), shape);
      if (places != null) {
        search.take(free, places);
        jobs.add(randomJob("job-" + count, shape, places, random));
      }
    }
    return jobs;
  }

  private static JobEntry randomJob(
      String id, Shape shape, List<MemberPlacement> places, Random random) {
    boolean stoppable = random.nextInt(5) > 0;
    JobSpecification specification =
        new JobSpecification(
            id, "plain", shape, Urgency.NORMAL, stoppable, random.nextBoolean(), 60, Map.of());
    AllocationPhase phase = random.nextInt(8) == 0 ? AllocationPhase.STOPPING : AllocationPhase.ALLOCATED;
    Instant started = Fleets.NOW.minusSeconds(100);
    double completed = random.nextInt(5_000) * 0.1;
    JobView view =
        new JobView(specification, phase, 1, places, started, started, 0, completed, 0, List.of());
    return new JobEntry(view, null, PolicySettings.DEFAULT, Fleets.NOW);
  }
}
