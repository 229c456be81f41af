package io.dragonflyturn.measure.state;

import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Creates the log records that lead to a given number of running tasks. Each gang has four members,
 * all on one worker.
 */
final class StateRecords {
  private static final int MEMBERS_PER_GANG = 4;
  private static final int ACCELERATORS_PER_MEMBER = 2;
  private static final int WORKERS_PER_RACK = 8;
  private static final int DOMAIN_COUNT = 4;
  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final String WRITER = "measured-writer";

  private final List<Envelope> envelopes = new ArrayList<>();

  private StateRecords() {}

  /** Returns the records that lead to the given number of running tasks. */
  static List<Envelope> runningTasks(int tasks) {
    StateRecords records = new StateRecords();
    records.add(0, configuration());
    records.add(0, new ControlRecord.LeadershipClaimed(WRITER, 0));
    int jobs = tasks / MEMBERS_PER_GANG;
    for (int index = 0; index < jobs; index++) {
      records.add(1, new ControlRecord.WorkersListed(List.of(worker(index)), List.of()));
    }
    for (int index = 0; index < jobs; index++) {
      records.addJob(index);
    }
    return records.envelopes;
  }

  private void addJob(int index) {
    String id = "job-%08d".formatted(index);
    Shape shape = new Shape(MEMBERS_PER_GANG, ACCELERATORS_PER_MEMBER, Span.WORKER);
    String customer = "customer-" + index % DOMAIN_COUNT;
    Map<String, String> labels = Map.of("kind", "inspection", "team", "team-" + index % 10);
    add(
        0,
        new ControlRecord.JobSubmitted(
            new JobSpecification(id, customer, shape, Urgency.NORMAL, true, true, 3600, labels)));
    List<MemberPlacement> placements = new ArrayList<>();
    for (int member = 0; member < MEMBERS_PER_GANG; member++) {
      int first = member * ACCELERATORS_PER_MEMBER;
      placements.add(new MemberPlacement(member, worker(index).name(), List.of(first, first + 1)));
    }
    add(1, new ControlRecord.GangReserved(id, 1, placements, "Fits on one worker.", 1));
    add(1, new ControlRecord.GangStarted(id, 1));
  }

  private void add(long term, ControlRecord record) {
    long sequence = envelopes.size() + 1;
    envelopes.add(
        new Envelope(
            WRITER, sequence, sequence - 2, term, "region", START_MILLIS + sequence, record));
  }

  private static Worker worker(int index) {
    return new Worker(
        "worker-%05d".formatted(index),
        "10.0.%d.%d:8080".formatted(index / 250, index % 250),
        "domain-" + index % DOMAIN_COUNT,
        "rack-" + index / WORKERS_PER_RACK,
        MEMBERS_PER_GANG * ACCELERATORS_PER_MEMBER,
        30,
        60_000,
        8,
        false,
        Map.of("model", "standard"));
  }

  private static ControlRecord configuration() {
    List<Customer> customers = new ArrayList<>();
    List<FailureDomain> domains = new ArrayList<>();
    for (int index = 0; index < DOMAIN_COUNT; index++) {
      customers.add(new Customer("customer-" + index, List.of(), 0, Map.of()));
      domains.add(
          new FailureDomain("domain-" + index, "region", ServiceState.IN_SERVICE, 0, 0, Map.of()));
    }
    return new ControlRecord.ConfigurationChanged(
        0, new Configuration(customers, domains, Map.of(), List.of()), "operator", "Sets it up.");
  }
}
