package io.dragonflyturn.internal.state;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
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
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** A writer that proposes records based on its own, possibly stale, view of the state. */
final class SimulatedWriter {
  static final StateSettings SETTINGS =
      new StateSettings(Duration.ofHours(2), Duration.ofHours(3), Duration.ofHours(1), 50, 20);
  static final List<String> DOMAINS = List.of("north", "south");
  private static final long KEY_SPACING_MILLIS = Duration.ofMinutes(20).toMillis();

  final String name;
  private ControlState view = new ControlState(SETTINGS);
  private long sequence;
  private long lastTerm;

  SimulatedWriter(String name) {
    this.name = name;
  }

  /** Applies at most {@code limit} log batches that are not yet in the view. */
  void catchUp(List<Envelope> log, int limit) {
    int firstOffset = (int) view.offset() + 1;
    for (int offset = firstOffset; offset < Math.min(log.size(), firstOffset + limit); offset++) {
      view.apply(offset, log.get(offset));
    }
    if (view.leadership().leader().equals(name)) {
      lastTerm = view.leadership().term();
    }
  }

  ControlState view() {
    return view;
  }

  void restartFromSnapshot(byte[] snapshot) {
    view = ControlState.restore(SETTINGS, StateSnapshot.decode(snapshot));
  }

  Envelope propose(int kind, int choice, long atMillis) {
    sequence++;
    return new Envelope(
        name, sequence, view.offset(), lastTerm, "region", atMillis, record(kind, choice));
  }

  private ControlRecord record(int kind, int choice) {
    return switch (kind) {
      case 0, 1 -> new ControlRecord.LeadershipClaimed(name, view.leadership().term());
      case 2, 3 -> configuration(choice);
      case 4 -> domain(choice);
      case 5, 6 -> new ControlRecord.JobSubmitted(job(choice));
      case 7 -> new ControlRecord.JobsCancelled(List.of("job" + choice), name);
      case 8, 9, 10, 11 -> reserve(choice);
      case 12 -> new ControlRecord.GangStarted(active(choice).id(), active(choice).attempt());
      case 13 -> stop(choice);
      case 14, 15 -> end(choice);
      case 16 -> new ControlRecord.RequestClaimed("key" + choice, "c0", name, createdAt(choice));
      case 17 -> finish(choice);
      case 18, 19 -> workers(choice);
      case 20 -> quarantine(choice);
      case 21 -> credits(choice);
      case 22 -> new ControlRecord.WriterFenced("writer" + choice % 4, sequence);
      case 23 -> new ControlRecord.SnapshotClaimed(name, view.snapshotClaim().offset());
      case 24 -> new ControlRecord.LeadershipReleased(name);
      case 25 -> settings(choice);
      default -> new ControlRecord.JobRefused("job" + choice, ResultCode.IMPOSSIBLE_SHAPE, "no");
    };
  }

  static long createdAt(int key) {
    return key * KEY_SPACING_MILLIS;
  }

  private ControlRecord configuration(int choice) {
    List<Customer> customers = List.of(new Customer("c0", List.of(), choice, Map.of()));
    List<FailureDomain> domains =
        DOMAINS.stream()
            .map(each -> new FailureDomain(each, "r", ServiceState.IN_SERVICE, 0, 0, Map.of()))
            .toList();
    Configuration configuration =
        new Configuration(customers, domains, Map.of("w1", Map.of("b", "2", "a", "1")), List.of());
    return new ControlRecord.ConfigurationChanged(
        view.configurationVersion(), configuration, name, "");
  }

  /** Returns settings that differ from the initial ones and depend on the choice. */
  private static ControlRecord settings(int choice) {
    return ControlRecord.SettingsDecided.of(
        new StateSettings(
            Duration.ofHours(1 + choice % 3),
            Duration.ofHours(2),
            Duration.ofHours(1),
            30 + choice,
            20));
  }

  private ControlRecord domain(int choice) {
    long baseVersion = choice % 3 == 0 ? -1 : view.configurationVersion();
    ServiceState serviceState = ServiceState.values()[choice % 3];
    return new ControlRecord.DomainServiceChanged(
        baseVersion, DOMAINS.get(choice % 2), serviceState, 0, name);
  }

  private static JobSpecification job(int choice) {
    Shape shape = new Shape(1 + choice % 3, 1 + choice % 2, Span.values()[choice % 4]);
    return new JobSpecification(
        "job" + choice, "c0", shape, Urgency.NORMAL, choice % 2 == 0, true, 10, Map.of("k", "v"));
  }

  /** Places the gang on accelerators that are free in the view, one member after another. */
  private ControlRecord reserve(int choice) {
    JobRecord job = pick(view.queuedJobs(), choice);
    Shape shape = job.specification().shape();
    List<MemberPlacement> placements = new ArrayList<>();
    for (Worker worker : view.workers()) {
      BitSet free = view.freeAccelerators(worker.name());
      int from = free.nextSetBit(0);
      while (from >= 0 && placements.size() < shape.members()) {
        List<Integer> accelerators = new ArrayList<>();
        for (int next = from; accelerators.size() < shape.acceleratorsPerMember(); next++) {
          accelerators.add(next);
        }
        placements.add(new MemberPlacement(placements.size(), worker.name(), accelerators));
        from = free.nextSetBit(from + shape.acceleratorsPerMember());
      }
    }
    return new ControlRecord.GangReserved(
        job.id(), job.attempt() + 1, placements, "fits", view.configurationVersion());
  }

  private ControlRecord stop(int choice) {
    JobRecord job = active(choice);
    return new ControlRecord.GangStopRequested(
        job.id(), job.attempt(), StopReason.values()[choice % 5], "stop");
  }

  private ControlRecord end(int choice) {
    JobRecord job = active(choice);
    return new ControlRecord.GangEnded(
        job.id(), job.attempt(), GangOutcome.values()[choice % 3], choice, List.of("w" + choice));
  }

  private ControlRecord finish(int choice) {
    return new ControlRecord.RequestFinished(
        "key" + choice, "c0", choice % 2 == 0 ? name : "writer1", ResultCode.OK, "answer");
  }

  private ControlRecord workers(int choice) {
    String domain = DOMAINS.get(choice % 2);
    Worker worker =
        new Worker("w" + choice % 3, "", domain, "rack", 4, 1, 1, 8, false, Map.of("x", "y"));
    List<String> removed = choice % 5 == 0 ? List.of("w" + (choice + 1) % 3) : List.of();
    return new ControlRecord.WorkersListed(List.of(worker), removed);
  }

  private static ControlRecord quarantine(int choice) {
    return new ControlRecord.WorkerQuarantineChanged("w" + choice % 3, choice % 2 == 0, "fails");
  }

  private static ControlRecord credits(int choice) {
    return new ControlRecord.CreditsAllocated(
        Map.of("e1", Map.of("w0", choice), "e2", Map.of("w0", 4, "w1", 1)));
  }

  private JobRecord active(int choice) {
    return pick(view.activeJobs(), choice);
  }

  private static JobRecord pick(Collection<JobRecord> jobs, int choice) {
    if (jobs.isEmpty()) {
      return JobRecord.submitted(
          job(choice), 0, new ApplyContext(0, new Envelope("", 0, 0, 0, "", 0, noOpRecord()), 0));
    }
    return List.copyOf(jobs).get(choice % jobs.size());
  }

  private static ControlRecord noOpRecord() {
    return new ControlRecord.LeadershipRenewed("");
  }
}
