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

/** Checks invariants of every plan over random fleets, jobs and failures. */
class PlacementPolicyProperties {
  private static final int STEPS = 12;
  private static final String SEED = "20260101";

  @Property(tries = 1_000, seed = SEED)
  void should_never_allocate_an_accelerator_twice(@ForAll long seed) {
    forEachPlan(
        seed,
        (simulation, plan) -> {
          Set<String> held = new HashSet<>();
          simulation.jobs().values().forEach(job -> addAll(held, job.placements()));
          starts(plan).forEach(start -> addAll(held, start.placements()));
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_start_only_complete_gangs_within_their_span(@ForAll long seed) {
    forEachPlan(
        seed,
        (simulation, plan) -> {
          Topology topology = new Topology(simulation.workers());
          for (StartGang start : starts(plan)) {
            Shape shape = simulation.job(start.jobId()).specification().shape();
            assertThat(start.placements()).hasSize(shape.members());
            assertThat(start.placements())
                .allSatisfy(placement -> assertAdjacent(placement, shape));
            assertThat(groupsUsed(topology, start, shape)).isEqualTo(1);
          }
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_never_start_in_a_domain_that_is_out_or_against_a_rule(@ForAll long seed) {
    forEachPlan(
        seed,
        (simulation, plan) -> {
          Topology topology = new Topology(simulation.workers());
          RuleSet rules = new RuleSet(simulation.configuration(), topology);
          Set<String> domainsOut = new HashSet<>();
          simulation.configuration().failureDomains().stream()
              .filter(domain -> !domain.acceptsStarts())
              .forEach(domain -> domainsOut.add(domain.name()));
          for (StartGang start : starts(plan)) {
            BitSet allowedWorkers =
                rules.allowedWorkers(simulation.job(start.jobId()).specification());
            for (MemberPlacement placement : start.placements()) {
              int index = topology.indexOf(placement.worker());
              assertThat(domainsOut).doesNotContain(topology.worker(index).failureDomain());
              assertThat(allowedWorkers.get(index)).isTrue();
            }
          }
        });
  }

  @Property(tries = 1_000, seed = SEED)
  void should_not_exceed_quotas(@ForAll long seed) {
    forEachPlan(
        seed,
        (simulation, plan) -> {
          Map<String, Integer> held = new HashMap<>();
          simulation.jobs().values().stream()
              .filter(job -> job.phase() != AllocationPhase.QUEUED)
              .forEach(job -> count(held, job));
          starts(plan).forEach(start -> count(held, simulation.job(start.jobId())));
          simulation.configuration().customers().stream()
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
        (simulation, plan) -> {
          List<JobView> before = new ArrayList<>(simulation.jobs().values());
          before.removeIf(job -> job.phase() == AllocationPhase.QUEUED);
          List<JobView> after = new ArrayList<>(before);
          starts(plan).forEach(start -> after.add(started(simulation.job(start.jobId()), start)));
          Set<String> quarantinedWorkers = quarantined(plan);
          assertThat(missingAccelerators(simulation, after, quarantinedWorkers))
              .isLessThanOrEqualTo(missingAccelerators(simulation, before, quarantinedWorkers));
        });
  }

  private static void forEachPlan(long seed, BiConsumer<RandomFleetSimulation, Plan> check) {
    RandomFleetSimulation simulation = new RandomFleetSimulation(seed);
    for (int step = 0; step < STEPS; step++) {
      Plan plan = simulation.plan(simulation.nextView());
      check.accept(simulation, plan);
      simulation.apply(plan);
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
    for (MemberPlacement placement : placements) {
      for (int accelerator : placement.accelerators()) {
        assertThat(held.add(placement.worker() + '/' + accelerator)).isTrue();
      }
    }
  }

  private static void assertAdjacent(MemberPlacement placement, Shape shape) {
    List<Integer> accelerators = placement.accelerators();
    assertThat(accelerators).hasSize(shape.acceleratorsPerMember());
    for (int index = 1; index < accelerators.size(); index++) {
      assertThat(accelerators.get(index)).isEqualTo(accelerators.get(index - 1) + 1);
    }
  }

  private static long groupsUsed(Topology topology, StartGang start, Shape shape) {
    Set<Integer> used = new HashSet<>();
    start.placements().forEach(placement -> used.add(topology.indexOf(placement.worker())));
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

  /**
   * Returns how many accelerators are missing when all guarantees are packed into those that no
   * non-stoppable job holds.
   */
  private static int missingAccelerators(
      RandomFleetSimulation simulation, List<JobView> held, Set<String> quarantinedWorkers) {
    Topology topology = new Topology(simulation.workers());
    BlockSearch search = new BlockSearch(topology, new BlockTable());
    long[] masks = topology.fullMasks();
    Map<String, GuaranteeLedger> ledgers = new LinkedHashMap<>();
    simulation
        .configuration()
        .customers()
        .forEach(
            customer -> ledgers.put(customer.name(), new GuaranteeLedger(customer.guarantees())));
    for (JobView job : held) {
      if (!job.specification().stoppable() && job.phase() == AllocationPhase.ALLOCATED) {
        search.removePlacements(masks, job.placements());
        GuaranteeLedger ledger = ledgers.get(job.specification().customer());
        if (ledger != null) {
          ledger.cover(job.specification().shape());
        }
      }
    }
    Set<String> domainsOut = new HashSet<>();
    simulation.configuration().failureDomains().stream()
        .filter(domain -> !domain.acceptsStarts())
        .forEach(domain -> domainsOut.add(domain.name()));
    for (int index = 0; index < topology.size(); index++) {
      Worker worker = topology.worker(index);
      boolean unavailable =
          domainsOut.contains(worker.failureDomain()) || quarantinedWorkers.contains(worker.name());
      masks[index] = unavailable ? 0 : masks[index];
    }
    BitSet allWorkers = new BitSet();
    allWorkers.set(0, topology.size());
    List<Guarantee> blocks = new ArrayList<>();
    ledgers.forEach(
        (customer, ledger) ->
            ledger
                .remaining()
                .forEach(shape -> blocks.add(new Guarantee(customer, shape, allWorkers))));
    return new GuaranteePacker(search)
        .pack(masks, blocks).stream().mapToInt(block -> block.shape().accelerators()).sum();
  }
}
