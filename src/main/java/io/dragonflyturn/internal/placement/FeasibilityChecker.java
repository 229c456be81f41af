package io.dragonflyturn.internal.placement;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.placement.GuaranteeFitSearch.FitResult;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides which jobs can never run, as opposed to those that only have to wait. A job can run if it
 * fits a fleet in which all workers are in service and idle, including those listed recently.
 *
 * <p>Guarantees count in full, even if jobs of their owners use them now. Results are cached; they
 * are valid for one set of workers and one configuration.
 */
final class FeasibilityChecker {
  private static final int MAXIMUM_CACHED_RESULTS = 10_000;

  private final Topology topology;
  private final RuleSet rules;
  private final BlockTable blockTable;
  private final BlockSearch search;
  private final GuaranteeAdmission admission;
  private final boolean allDomainsListed;
  private final Map<FeasibilityQuery, Optional<Refusal>> cachedResults = new HashMap<>();

  FeasibilityChecker(
      Configuration configuration, Topology topology, RuleSet rules, BlockTable blockTable) {
    this.topology = topology;
    this.rules = rules;
    this.blockTable = blockTable;
    search = new BlockSearch(topology, blockTable);
    BitSet allWorkers = new BitSet();
    allWorkers.set(0, topology.size());
    FleetOccupancy empty = new FleetOccupancy(topology, List.of(), allWorkers);
    admission = new GuaranteeAdmission(configuration, topology, rules, empty, search, List.of());
    allDomainsListed = topology.coversAllDomains(configuration.failureDomains());
  }

  /**
   * Returns why the job can never run. Returns null if it can, or if that is unknown because a
   * failure domain lists no workers, the listed workers cannot meet the guarantees, or the search
   * exceeded its limit.
   */
  @Nullable Refusal refusal(JobSpecification job) {
    if (!allDomainsListed) {
      return null;
    }
    if (cachedResults.size() >= MAXIMUM_CACHED_RESULTS) {
      cachedResults.clear();
    }
    FeasibilityQuery query =
        new FeasibilityQuery(
            job.customer(), job.shape(), job.stoppable(), rules.allowedWorkers(job));
    return cachedResults.computeIfAbsent(query, this::evaluate).orElse(null);
  }

  private Optional<Refusal> evaluate(FeasibilityQuery query) {
    if (!fits(query.shape(), query.allowedWorkers())) {
      return Optional.of(impossibleShape(query.shape(), query.allowedWorkers()));
    }
    if (query.stoppable() || !admission.areReclaimableWithAnyDomainOut()) {
      return Optional.empty();
    }
    GuaranteeFitSearch fitSearch =
        new GuaranteeFitSearch(
            topology, blockTable, admission, query.customer(), query.allowedWorkers());
    return fitSearch.search(query.shape()) == FitResult.NEVER
        ? Optional.of(blockedByGuarantees(query.shape(), fitSearch))
        : Optional.empty();
  }

  private Refusal impossibleShape(Shape shape, BitSet allowedWorkers) {
    Shape largest = Shapes.largestFitting(shape, smaller -> fits(smaller, allowedWorkers));
    return new Refusal(
        ResultCode.IMPOSSIBLE_SHAPE,
        Shapes.describe(shape)
            + " never fits, even on an idle fleet: "
            + describeFitting(largest, allowedWorkers));
  }

  private String describeFitting(@Nullable Shape largest, BitSet allowedWorkers) {
    if (largest == null) {
      return allowedWorkers.isEmpty()
          ? "the placement rules allow no worker"
          : "the workers that the placement rules allow hold no member of any size";
    }
    String workers =
        allowedWorkers.cardinality() == topology.size()
            ? ""
            : " on the workers that the placement rules allow";
    return "at most " + Shapes.describe(largest) + " would fit" + workers;
  }

  private static Refusal blockedByGuarantees(Shape shape, GuaranteeFitSearch fitSearch) {
    Shape largest =
        Shapes.largestFitting(shape, smaller -> fitSearch.search(smaller) == FitResult.FITS);
    String fitting =
        largest == null
            ? "no job that cannot be stopped fits"
            : "up to " + Shapes.describe(largest) + " would fit";
    return new Refusal(
        ResultCode.BLOCKED_BY_GUARANTEES,
        Shapes.describe(shape)
            + " that cannot be stopped never fits beside the guarantees of all customers, even on"
            + " an idle fleet: "
            + fitting
            + " there; the same shape fits as a job that can be stopped");
  }

  private boolean fits(Shape shape, BitSet allowedWorkers) {
    return search.find(topology.fullMasks(), allowedWorkers, shape) != null;
  }

  /**
   * The reason why a job can never run.
   *
   * @param code the result code for the customer
   * @param reason what does not fit and what would fit, as text for operators
   */
  record Refusal(ResultCode code, String reason) {}

  private record FeasibilityQuery(
      String customer, Shape shape, boolean stoppable, BitSet allowedWorkers) {}
}
