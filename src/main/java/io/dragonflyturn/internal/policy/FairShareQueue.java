package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Serves customers of unlike size by weighted dominant-resource fairness: next is the customer that
 * uses least of the fleet in proportion to its weight, where what counts is the resource of which
 * it uses the largest share.
 *
 * <p>This answers a full fleet for which customers compete. In the order of acceptance, the backlog
 * of one customer that submits many times its usual load is served before all later jobs of the
 * others.
 *
 * <p>Shares decide only within the same rank, so guarantees and priorities stay before. What is
 * over a rate or hopeless comes last; whether a job is late decides only among those of its
 * customer, as the late jobs of one must not wait for the backlog of another. The requests of one
 * customer keep the order of the list.
 *
 * <p>Units for which runs are being stopped are served before the others of their rank. Shares
 * change from round to round: without this, others would take the room that becomes free, and the
 * unit would have more runs stopped.
 */
public final class FairShareQueue implements RequestQueue {
  private static final Comparator<Group> SERVICE_ORDER =
      Comparator.comparingInt(Group::rank).thenComparing(Group::tier);

  private static final Function<Group, PriorityQueue<Backlog>> NONE_WAITING =
      unused -> new PriorityQueue<>();

  private final CustomerDirectory customers;
  private final CustomerUsage usage;
  private final Resources capacity;
  private final TreeMap<Group, Deque<PlacementRequest>> preemptors = new TreeMap<>(SERVICE_ORDER);
  private final TreeMap<Group, PriorityQueue<Backlog>> groups = new TreeMap<>(SERVICE_ORDER);

  /** The customer that was served last, which is not in its group meanwhile. */
  private @Nullable Backlog current;

  /**
   * Creates a queue.
   *
   * @param requests the requests, in the order in which those of one customer are served
   * @param customers the weights of customers; one without a weight has a weight of 1
   * @param usage what the customers use at the start of the round; it is not changed
   * @param capacity the resources of all workers together
   * @param preempting the keys of the units for which runs are being stopped
   */
  public FairShareQueue(
      List<PlacementRequest> requests,
      CustomerDirectory customers,
      CustomerUsage usage,
      Resources capacity,
      Set<String> preempting) {
    this.customers = customers;
    this.usage = new CustomerUsage(usage);
    this.capacity = capacity;
    Map<Group, Map<String, Backlog>> backlogs = new HashMap<>();
    for (PlacementRequest request : requests) {
      Group group = groupOf(request);
      if (preempting.contains(request.unitKey())) {
        preemptors.computeIfAbsent(group, unused -> new ArrayDeque<>()).add(request);
        continue;
      }
      Map<String, Backlog> ofGroup = backlogs.computeIfAbsent(group, unused -> new HashMap<>());
      int position = ofGroup.size();
      ofGroup
          .computeIfAbsent(request.customer(), customer -> new Backlog(group, customer, position))
          .requests
          .add(request);
    }
    backlogs.forEach((group, ofGroup) -> groups.put(group, new PriorityQueue<>(ofGroup.values())));
    preemptors.keySet().forEach(group -> groups.computeIfAbsent(group, NONE_WAITING));
  }

  /** Returns the group of a request; jobs that are late share with those that are not. */
  private static Group groupOf(PlacementRequest request) {
    boolean isLate = request.tier() == ServiceTier.LATE;
    return new Group(request.rank(), isLate ? ServiceTier.TIMELY : request.tier());
  }

  @Override
  public @Nullable PlacementRequest next() {
    returnCurrent();
    while (!groups.isEmpty()) {
      Deque<PlacementRequest> first =
          preemptors.getOrDefault(groups.firstKey(), new ArrayDeque<>());
      if (!first.isEmpty()) {
        return first.remove();
      }
      Backlog lowest = withLowestShare(groups.firstEntry().getValue());
      if (lowest != null) {
        current = lowest;
        return lowest.requests.remove();
      }
      groups.pollFirstEntry();
    }
    return null;
  }

  @Override
  public void placed(PlacementRequest request) {
    usage.add(request.customer(), request.step().demand(), request.tasks());
  }

  private void returnCurrent() {
    Backlog served = current;
    current = null;
    if (served != null && !served.requests.isEmpty()) {
      groups.computeIfAbsent(served.group, NONE_WAITING).add(served);
    }
  }

  /**
   * Removes and returns the backlog of the customer with the lowest share. Shares only grow within
   * a round, so a backlog whose share has grown meanwhile is put back with its present share.
   */
  private @Nullable Backlog withLowestShare(PriorityQueue<Backlog> backlogs) {
    Backlog lowest = backlogs.poll();
    while (lowest != null && lowest.updateShare()) {
      backlogs.add(lowest);
      lowest = backlogs.poll();
    }
    return lowest;
  }

  /** The requests among which shares decide. */
  private record Group(int rank, ServiceTier tier) {}

  /** The waiting requests of a customer in a group. */
  private final class Backlog implements Comparable<Backlog> {
    private final Group group;
    private final String customer;
    private final int position;
    private final Deque<PlacementRequest> requests = new ArrayDeque<>();
    private double share;

    Backlog(Group group, String customer, int position) {
      this.group = group;
      this.customer = customer;
      this.position = position;
      updateShare();
    }

    /** Computes the share again. Returns whether it has changed. */
    boolean updateShare() {
      double before = share;
      share = CustomerShare.weighted(usage.of(customer), capacity, customers.termsOf(customer));
      return share != before;
    }

    @Override
    public int compareTo(Backlog other) {
      int byShare = Double.compare(share, other.share);
      return byShare != 0 ? byShare : Integer.compare(position, other.position);
    }
  }
}
