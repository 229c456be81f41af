package io.dragonflyturn.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.placement.PlacementDecision.QuarantineWorker;
import io.dragonflyturn.internal.placement.PlacementDecision.StartGang;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What must hold for every decision, over random fleets, jobs, and failures. */
class PlacementPolicyProperties {
  private static final int STEPS = 12;
  private static final String SEED = "20260101";

  @Property(tries = 1_000, seed = SEED)
  void should_never_give_an_accelerator_twice(@ForAll long seed) {
    forEachPlan(
        seed,
        (fleet, plan) -> {
          Set<String> held = new HashSet<>();
          fleet.jobs().values().forEach(job -> addAll(held, job.placements()));
          starts(plan).forEach(start -> addAll(held, start.placements()));
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_start_only_whole_gangs_within_their_span(@ForAll long seed) {
    forEachPlan(
        seed,
        (fleet, plan) -> {
          Topology topology = new Topology(fleet.workers());
          for (StartGang start : starts(plan)) {
            Shape shape = fleet.job(start.jobId()).specification().shape();
            assertThat(start.placements()).hasSize(shape.members());
            assertThat(start.placements()).allSatisfy(place -> assertAdjacent(place, shape));
            assertThat(groupsUsed(topology, start, shape)).isEqualTo(1);
          }
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_never_start_in_a_domain_that_is_out_or_against_a_rule(@ForAll long seed) {
    forEachPlan(
        seed,
        (fleet, plan) -> {
          Topology topology = new Topology(fleet.workers());
          RuleSet rules = new RuleSet(fleet.configuration(), topology);
          Set<String> out = new HashSet<>();
          fleet.configuration().failureDomains().stream()
              .filter(domain -> !domain.acceptsStarts())
              .forEach(domain -> out.add(domain.name()));
          for (StartGang start : starts(plan)) {
            BitSet allowed = rules.allowed(fleet.job(start.jobId()).specification());
            for (MemberPlacement place : start.placements()) {
              int index = topology.indexOf(place.worker());
              assertThat(out).doesNotContain(topology.worker(index).failureDomain());
              assertThat(allowed.get(index)).isTrue();
            }
          }
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_keep_quotas(@ForAll long seed) {
    forEachPlan(
        seed,
        (fleet, plan) -> {
          Map<String, Integer> held = new HashMap<>();
          fleet.jobs().values().stream()
              .filter(job -> job.phase() != AllocationPhase.QUEUED)
              .forEach(job -> count(held, job));
          starts(plan).forEach(start -> count(held, fleet.job(start.jobId())));
          fleet.configuration().customers().stream()
              .filter(customer -> customer.quotaAccelerators() > 0)
              .forEach(
                  customer ->
                      assertThat(held.getOrDefault(customer.name(), 0))
                          .isLessThanOrEqualTo(customer.quotaAccelerators()));
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_never_make_a_guarantee_less_reclaimable_by_starting_work(@ForAll long seed) {
    forEachPlan(
        seed,
        (fleet, plan) -> {
          List<JobView> before = new ArrayList<>(fleet.jobs().values());
          before.removeIf(job -> job.phase() == AllocationPhase.QUEUED);
          List<JobView> after = new ArrayList<>(before);
          starts(plan).forEach(start -> after.add(started(fleet.job(start.jobId()), start)));
          Set<String> unsound = quarantined(plan);
          assertThat(missingAccelerators(fleet, after, unsound))
              .isLessThanOrEqualTo(missingAccelerators(fleet, before, unsound));
        });
  }

  private static void forEachPlan(long seed, BiConsumer<RandomFleets, Plan> check) {
    RandomFleets fleet = new RandomFleets(seed);
    for (int step = 0; step < STEPS; step++) {
      Plan plan = fleet.plan(fleet.nextView());
      check.accept(fleet, plan);
      fleet.carryOut(plan);
    }
  }

  private static List<StartGang> starts(Plan plan) {
    return plan.decisions().stream()
        .filter(StartGang.class::isInstance)
        .map(StartGang.class::cast)
        .toList();
  }

  private static Set<String> quarantined(Plan plan) {
    Set<String> names = new HashSet<>();
    for (PlacementDecision decision : plan.decisions()) {
      if (decision instanceof QuarantineWorker quarantine) {
        names.add(quarantine.worker());
      }
    }
    return names;
  }

  private static void addAll(Set<String> held, List<MemberPlacement> placements) {
    for (MemberPlacement place : placements) {
      for (int accelerator : place.accelerators()) {
        assertThat(held.add(place.worker() + '/' + accelerator)).isTrue();
      }
    }
  }

  private static void assertAdjacent(MemberPlacement place, Shape shape) {
    List<Integer> accelerators = place.accelerators();
    assertThat(accelerators).hasSize(shape.acceleratorsPerMember());
    for (int index = 1; index < accelerators.size(); index++) {
      assertThat(accelerators.get(index)).isEqualTo(accelerators.get(index - 1) + 1);
    }
  }

  private static long groupsUsed(Topology topology, StartGang start, Shape shape) {
    Set<Integer> used = new HashSet<>();
    start.placements().forEach(place -> used.add(topology.indexOf(place.worker())));
    long groups = 0;
    for (int[] group : topology.groups(shape.span())) {
      groups += Arrays.stream(group).anyMatch(used::contains) ? 1 : 0;
    }
    return groups;
  }

  private static void count(Map<String, Integer> held, JobView job) {
    held.merge(
        job.specification().customer(), job.specification().shape().accelerators(), Integer::sum);
  }

  private static JobView started(JobView job, StartGang start) {
    return new JobView(
        job.specification(),
        AllocationPhase.ALLOCATED,
        start.attempt(),
        start.placements(),
        job.submittedAt(),
        null,
        job.attainedAcceleratorSeconds(),
        0,
        0,
        List.of());
  }

  /** Carves every guarantee out of what unstoppable work leaves, and counts what is missing. */
  private static int missingAccelerators(
      RandomFleets fleet, List<JobView> held, Set<String> unsound) {
    Topology topology = new Topology(fleet.workers());
    BlockSearch search = new BlockSearch(topology, new BlockTable());
    long[] masks = topology.fullMasks();
    Map<String, GuaranteeLedger> ledgers = new LinkedHashMap<>();
    fleet
        .configuration()
        .customers()
        .forEach(
            customer -> ledgers.put(customer.name(), new GuaranteeLedger(customer.guarantees())));
    for (JobView job : held) {
      if (!job.specification().stoppable() && job.phase() == AllocationPhase.ALLOCATED) {
        search.take(masks, job.placements());
        GuaranteeLedger ledger = ledgers.get(job.specification().customer());
        if (ledger != null) {
          ledger.cover(job.specification().shape());
        }
      }
    }
    Set<String> out = new HashSet<>();
    fleet.configuration().failureDomains().stream()
        .filter(domain -> !domain.acceptsStarts())
        .forEach(domain -> out.add(domain.name()));
    for (int index = 0; index < topology.size(); index++) {
      Worker worker = topology.worker(index);
      boolean closed = out.contains(worker.failureDomain()) || unsound.contains(worker.name());
      masks[index] = closed ? 0 : masks[index];
    }
    BitSet everywhere = new BitSet();
    everywhere.set(0, topology.size());
    List<GuaranteedBlock> blocks = new ArrayList<>();
    ledgers.forEach(
        (customer, ledger) ->
            ledger
                .remaining()
                .forEach(shape -> blocks.add(new GuaranteedBlock(customer, shape, everywhere))));
    return new Carver(search)
        .carve(masks, blocks).stream().mapToInt(block -> block.shape().accelerators()).sum();
  }
}
