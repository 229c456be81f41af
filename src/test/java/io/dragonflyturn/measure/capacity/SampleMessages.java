package io.dragonflyturn.measure.capacity;

import io.dragonflyturn.internal.gang.WorkerCommand;
import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.Message;
import io.dragonflyturn.internal.protocol.PeerStatus;
import io.dragonflyturn.internal.protocol.RoutingView;
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
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.IntStream;

/** Creates sample control-plane messages of a given size. */
final class SampleMessages {
  private static final String INCARNATION = "worker-0123." + new UUID(0, 0);
  private static final int DOMAIN_COUNT = 5;
  private static final int WORKERS_PER_RACK = 8;
  private static final long TIMESTAMP_MILLIS = 1_790_000_000_000L;

  private SampleMessages() {}

  /** Returns a routing view with the given number of targets. */
  static Message view(int workers) {
    List<Worker> targets = IntStream.range(0, workers).mapToObj(SampleMessages::worker).toList();
    Map<String, Integer> credits = new TreeMap<>();
    targets.forEach(target -> credits.put(target.name(), 1));
    return new Message.View(
        new RoutingView(1, 1, 10, false, List.of("derwent"), targets, credits, Map.of()));
  }

  /** Returns a heartbeat of a replica with the given number of entries. */
  static Message heartbeat(int entries) {
    List<EntryPresence> presences =
        IntStream.range(0, entries)
            .mapToObj(
                index ->
                    new EntryPresence(
                        "instance-" + index + ".0123456789ab", "10.0.0.1:7411", false, 1234567))
            .toList();
    return new Message.Heartbeat(
        new PeerStatus("instance-1.0123456789ab", "10.0.0.1:7411", 123_456, true, presences));
  }

  /** Returns an exchange that renews the leases of the given number of tasks on a worker. */
  static WorkerExchange renewal(int tasks) {
    List<WorkerCommand> commands =
        IntStream.range(0, tasks)
            .<WorkerCommand>mapToObj(
                index -> new WorkerCommand.Extend("job-0123456789-" + index, 1, index, 8_000))
            .toList();
    return new WorkerExchange(12, 123_456, INCARNATION, commands);
  }

  /** Returns a worker report with the given number of tasks. */
  static WorkerReport report(int tasks) {
    return new WorkerReport(
        "worker-0123",
        INCARNATION,
        false,
        IntStream.range(0, tasks)
            .mapToObj(
                index ->
                    new WorkerReport.TaskReport(
                        "job-0123456789-" + index,
                        1,
                        index,
                        WorkerReport.TaskState.RUNNING,
                        1234.567,
                        1200.0))
            .toList());
  }

  /** Returns all records of a gang job with the given number of members. */
  static List<Envelope> jobLifecycle(int members) {
    JobSpecification job =
        new JobSpecification(
            "job-0123456789",
            "derwent",
            new Shape(members, 1, Span.REGION),
            Urgency.NORMAL,
            true,
            true,
            3600,
            Map.of("kind", "training"));
    List<MemberPlacement> placements =
        IntStream.range(0, members)
            .mapToObj(index -> new MemberPlacement(index, "worker-" + index, List.of(0)))
            .toList();
    return List.of(
        envelope(new ControlRecord.JobSubmitted(job)),
        envelope(new ControlRecord.GangReserved(job.id(), 1, placements, "The smallest block.", 1)),
        envelope(new ControlRecord.GangStarted(job.id(), 1)),
        envelope(
            new ControlRecord.GangEnded(
                job.id(), 1, ControlRecord.GangOutcome.COMPLETED, 3600, List.of())));
  }

  /** Returns a configuration change with the given number of customers. */
  static Envelope configuration(int customers) {
    List<Customer> all = new ArrayList<>();
    for (int index = 0; index < customers; index++) {
      all.add(
          new Customer(
              "customer-" + index,
              List.of(new Shape(2, 8, Span.RACK)),
              64,
              Map.of("team", "team-" + index)));
    }
    List<FailureDomain> domains =
        IntStream.range(0, DOMAIN_COUNT)
            .mapToObj(
                index ->
                    new FailureDomain(
                        "domain-" + index, "south", ServiceState.IN_SERVICE, 0, 0, Map.of()))
            .toList();
    return envelope(
        new ControlRecord.ConfigurationChanged(
            7, new Configuration(all, domains, Map.of(), List.of()), "operator", "changed"));
  }

  /** Returns the claim and the outcome of a request with an answer of the given length. */
  static List<Envelope> request(int characters) {
    return List.of(
        envelope(
            new ControlRecord.RequestClaimed(
                "booking-0123456789", "derwent", "instance-1.0123456789ab", TIMESTAMP_MILLIS)),
        envelope(
            new ControlRecord.RequestFinished(
                "booking-0123456789",
                "derwent",
                "instance-1.0123456789ab",
                io.dragonflyturn.ResultCode.OK,
                "x".repeat(characters))));
  }

  /** Returns an allotment of the slots of the given number of workers to seven entries. */
  static Envelope credits(int workers) {
    Map<String, Map<String, Integer>> slots = new TreeMap<>();
    for (int entry = 0; entry < 7; entry++) {
      Map<String, Integer> slotsOfEntry = new TreeMap<>();
      for (int worker = 0; worker < workers; worker++) {
        slotsOfEntry.put("worker-" + worker, 1);
      }
      slots.put("instance-" + entry + ".0123456789ab", slotsOfEntry);
    }
    return envelope(new ControlRecord.CreditsAllocated(slots));
  }

  private static Envelope envelope(ControlRecord record) {
    return new Envelope(
        "instance-1.0123456789ab", 1234, 5678, 12, "south", TIMESTAMP_MILLIS, record);
  }

  private static Worker worker(int index) {
    String domain = "domain-" + index % DOMAIN_COUNT;
    return new Worker(
        "worker-" + index,
        "10.0.1.2:8080",
        domain,
        domain + "-rack-" + index / DOMAIN_COUNT / WORKERS_PER_RACK,
        1,
        30,
        60_000,
        8,
        false,
        Map.of());
  }
}
