package io.dragonflyturn.internal.placement;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Admission control for non-stoppable jobs. Such a job is admitted only if every customer guarantee
 * that is reclaimable now stays reclaimable, both with all failure domains in service and with any
 * one of them out of service.
 *
 * <p>Packing results are cached until the next non-stoppable job is admitted.
 */
final class GuaranteeAdmission {
  private static final int NOT_COMPUTED = -1;

  private final Topology topology;
  private final FleetOccupancy occupancy;
  private final GuaranteePacker packer;
  private final BlockSearch search;
  private final List<CustomerGuarantees> guaranteesByCustomer = new ArrayList<>();

  /**
   * The accelerators missing for the guarantees with one failure domain out, by the number of that
   * domain; the last entry applies if none is out.
   */
  private final int[] missingAccelerators;

  private List<Guarantee> guarantees;
  private @Nullable PackingResult packing;
  private long @Nullable [] unguaranteedWithAnyDomainOut;

  GuaranteeAdmission(
      Configuration configuration,
      Topology topology,
      RuleSet rules,
      FleetOccupancy occupancy,
      BlockSearch search,
      List<PlanningJob> jobs) {
    this.topology = topology;
    this.occupancy = occupancy;
    this.search = search;
    packer = new GuaranteePacker(search);
    for (Customer customer : configuration.customers()) {
      guaranteesByCustomer.add(new CustomerGuarantees(customer, rules.allowedWorkers(customer)));
    }
    Map<String, List<PlanningJob>> nonStoppable = new HashMap<>();
    for (PlanningJob job : jobs) {
      if (job.isAllocated() && !job.specification().stoppable()) {
        nonStoppable.computeIfAbsent(job.customerName(), name -> new ArrayList<>()).add(job);
      }
    }
    guaranteesByCustomer.forEach(customerGuarantees -> customerGuarantees.charge(nonStoppable));
    missingAccelerators = new int[topology.groups(Span.FAILURE_DOMAIN).length + 1];
    Arrays.fill(missingAccelerators, NOT_COMPUTED);
    guarantees = sortedGuarantees(guaranteesByCustomer);
  }

  /** Returns the guarantees that cannot be reclaimed in the current state. */
  List<Guarantee> shortfall() {
    return packing().unplaced();
  }

  /** Returns the reclaimable accelerators that no guarantee needs, by worker index. */
  long[] unguaranteedAccelerators() {
    return packing().remainingMasks().clone();
  }

  /**
   * Returns the reclaimable accelerators that no guarantee needs, whether all failure domains are
   * in service or any one of them is out, by worker index.
   */
  long[] unguaranteedWithAnyDomainOut() {
    if (unguaranteedWithAnyDomainOut == null) {
      unguaranteedWithAnyDomainOut = computeUnguaranteedWithAnyDomainOut();
    }
    return unguaranteedWithAnyDomainOut.clone();
  }

  private long[] computeUnguaranteedWithAnyDomainOut() {
    long[] unguaranteed = unguaranteedAccelerators();
    for (int[] outDomain : topology.groups(Span.FAILURE_DOMAIN)) {
      long[] remaining = occupancy.reclaimable.clone();
      clear(remaining, outDomain);
      packer.packSorted(remaining, guarantees);
      for (int index : outDomain) {
        remaining[index] = occupancy.reclaimable[index];
      }
      for (int index = 0; index < unguaranteed.length; index++) {
        unguaranteed[index] &= remaining[index];
      }
    }
    return unguaranteed;
  }

  /**
   * Returns whether every guarantee can be reclaimed, with all failure domains in service and with
   * any one of them out.
   */
  boolean areReclaimableWithAnyDomainOut() {
    for (int outDomain = 0; outDomain < missingAccelerators.length; outDomain++) {
      if (missingBefore(outDomain) > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a non-stoppable job of the customer may start on the placements. */
  boolean admits(String customer, Shape shape, List<MemberPlacement> placements) {
    return missingAfter(placements, guaranteesOf(chargedWith(customer, shape))) != null;
  }

  /**
   * Returns whether the job needs more accelerators than the guarantees leave, wherever it is
   * placed. With each failure domain out in turn, the members of the job in the other domains must
   * fit into the capacity that the guarantees leave there.
   */
  boolean exceedsUnguaranteedCapacity(String customer, Shape shape) {
    int[][] domains = topology.groups(Span.FAILURE_DOMAIN);
    int total = accelerators(IntStream.range(0, topology.size()).toArray());
    int guaranteed = acceleratorsOf(guaranteesOf(chargedWith(customer, shape)));
    int[] freeCapacity =
        Arrays.stream(domains)
            .mapToInt(outDomain -> total - guaranteed - accelerators(outDomain))
            .toArray();
    int needed = shape.accelerators();
    boolean exceedsTotal = (domains.length - 1) * needed > Arrays.stream(freeCapacity).sum();
    boolean spansRegion = shape.span() == Span.REGION;
    return total - guaranteed < needed
        || exceedsTotal
        || (!spansRegion && exceedsInEveryDomain(freeCapacity, needed));
  }

  private static boolean exceedsInEveryDomain(int[] freeCapacity, int needed) {
    return IntStream.range(0, freeCapacity.length)
        .allMatch(
            homeDomain ->
                IntStream.range(0, freeCapacity.length)
                    .anyMatch(
                        outDomain -> outDomain != homeDomain && freeCapacity[outDomain] < needed));
  }

  private int accelerators(int[] workers) {
    return Arrays.stream(workers).map(worker -> Long.bitCount(occupancy.reclaimable[worker])).sum();
  }

  /** Returns whether every customer may use both workers or neither. */
  boolean areInterchangeable(int first, int second) {
    return guaranteesByCustomer.stream()
        .allMatch(
            customerGuarantees ->
                customerGuarantees.allowedWorkers.get(first)
                    == customerGuarantees.allowedWorkers.get(second));
  }

  /**
   * Admits a non-stoppable job if every guarantee stays reclaimable, and records its placements.
   *
   * @return whether the job was admitted
   */
  boolean admit(PlanningJob job, List<MemberPlacement> placements) {
    List<CustomerGuarantees> charged = chargedWith(job.customerName(), job.shape());
    List<Guarantee> guaranteesAfter = guaranteesOf(charged);
    int[] missingAfter = missingAfter(placements, guaranteesAfter);
    if (missingAfter == null) {
      return false;
    }
    guaranteesByCustomer.clear();
    guaranteesByCustomer.addAll(charged);
    guarantees = guaranteesAfter;
    packing = null;
    unguaranteedWithAnyDomainOut = null;
    System.arraycopy(missingAfter, 0, missingAccelerators, 0, missingAccelerators.length);
    occupancy.removeFromReclaimable(placements);
    return true;
  }

  private PackingResult packing() {
    if (packing == null) {
      long[] masks = occupancy.reclaimable.clone();
      packing = new PackingResult(masks, packer.packSorted(masks, guarantees));
    }
    return packing;
  }

  private List<CustomerGuarantees> chargedWith(String customer, Shape shape) {
    List<CustomerGuarantees> charged = new ArrayList<>();
    for (CustomerGuarantees customerGuarantees : guaranteesByCustomer) {
      charged.add(customerGuarantees.chargedWith(customer, shape));
    }
    return charged;
  }

  private List<Guarantee> guaranteesOf(List<CustomerGuarantees> charged) {
    return charged.equals(guaranteesByCustomer) ? guarantees : sortedGuarantees(charged);
  }

  private static List<Guarantee> sortedGuarantees(List<CustomerGuarantees> customers) {
    List<Guarantee> collected = new ArrayList<>();
    customers.forEach(customerGuarantees -> collected.addAll(customerGuarantees.guarantees()));
    return GuaranteePacker.mostConstrainedFirst(collected);
  }

  /**
   * Returns the accelerators missing for the guarantees after the placements are allocated, one
   * entry for each failure domain that is out and a last one for none out. Returns null if any
   * entry would grow.
   */
  private int @Nullable [] missingAfter(
      List<MemberPlacement> placements, List<Guarantee> guaranteesAfter) {
    long[] masksAfter = occupancy.reclaimable.clone();
    search.removePlacements(masksAfter, placements);
    int[] counts = new int[missingAccelerators.length];
    for (int outDomain = missingAccelerators.length - 1; outDomain >= 0; outDomain--) {
      counts[outDomain] =
          guaranteesAfter == guarantees && areAllIn(outDomain, placements)
              ? missingBefore(outDomain)
              : computeMissing(outDomain, masksAfter, guaranteesAfter);
      if (counts[outDomain] > missingBefore(outDomain)) {
        return null;
      }
    }
    return counts;
  }

  /**
   * Returns whether all placements lie in the failure domain that is out. Then they do not change
   * the capacity of the other domains.
   */
  private boolean areAllIn(int outDomain, List<MemberPlacement> placements) {
    for (MemberPlacement placement : placements) {
      int index = topology.indexOf(placement.worker());
      if (topology.groupOf(Span.FAILURE_DOMAIN, index) != outDomain) {
        return false;
      }
    }
    return true;
  }

  private int missingBefore(int outDomain) {
    if (missingAccelerators[outDomain] == NOT_COMPUTED) {
      missingAccelerators[outDomain] = computeMissing(outDomain, occupancy.reclaimable, guarantees);
    }
    return missingAccelerators[outDomain];
  }

  /**
   * Returns how many accelerators are missing for the guarantees with one failure domain out, or
   * with none out if the index is the number of failure domains.
   */
  private int computeMissing(int outDomain, long[] masks, List<Guarantee> required) {
    if (required.isEmpty()) {
      return 0;
    }
    long[] remainingMasks = masks.clone();
    int[][] domains = topology.groups(Span.FAILURE_DOMAIN);
    if (outDomain < domains.length) {
      clear(remainingMasks, domains[outDomain]);
    }
    return acceleratorsOf(packer.packSorted(remainingMasks, required));
  }

  private static int acceleratorsOf(List<Guarantee> counted) {
    return counted.stream().mapToInt(guarantee -> guarantee.shape().accelerators()).sum();
  }

  private static void clear(long[] masks, int[] workers) {
    for (int index : workers) {
      masks[index] = 0;
    }
  }

  private record PackingResult(long[] remainingMasks, List<Guarantee> unplaced) {}

  /** The guarantees of one customer, charged with its non-stoppable jobs. */
  private static final class CustomerGuarantees {
    private final Customer customer;
    private final BitSet allowedWorkers;
    private final GuaranteeLedger ledger;
    private @Nullable List<Guarantee> guarantees;

    CustomerGuarantees(Customer customer, BitSet allowedWorkers) {
      this(customer, allowedWorkers, new GuaranteeLedger(customer.guarantees()));
    }

    private CustomerGuarantees(Customer customer, BitSet allowedWorkers, GuaranteeLedger ledger) {
      this.customer = customer;
      this.allowedWorkers = allowedWorkers;
      this.ledger = ledger;
    }

    void charge(Map<String, List<PlanningJob>> nonStoppable) {
      for (PlanningJob job : nonStoppable.getOrDefault(customer.name(), List.of())) {
        ledger.cover(job.shape());
      }
    }

    /** Returns a copy charged with a job of the owner, or this object if the job is not covered. */
    CustomerGuarantees chargedWith(String owner, Shape shape) {
      if (!owner.equals(customer.name())) {
        return this;
      }
      GuaranteeLedger charged = ledger.copy();
      return charged.cover(shape)
          ? new CustomerGuarantees(customer, allowedWorkers, charged)
          : this;
    }

    List<Guarantee> guarantees() {
      if (guarantees == null) {
        guarantees =
            ledger.remaining().stream()
                .map(shape -> new Guarantee(customer.name(), shape, allowedWorkers))
                .toList();
      }
      return guarantees;
    }
  }
}
