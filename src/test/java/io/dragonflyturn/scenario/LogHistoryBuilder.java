package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.internal.state.StateSnapshot;
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
import org.jspecify.annotations.Nullable;

/**
 * Builds log histories for tests of the checkers. Valid records are applied to a control state;
 * invalid ones bypass it and are recorded as accepted.
 */
final class LogHistoryBuilder {
  static final String DOMAIN = "kingston";
  static final String CUSTOMER = "derwent";
  static final String LEADER = "instance-1";
  static final int MEMBERS = 2;
  private static final int ACCELERATORS = 4;

  private final List<LogHistory.Applied> applied = new ArrayList<>();
  private ControlState state = new ControlState(StateSettings.DEFAULT);
  private @Nullable StateSnapshot start;
  private long nowMillis = 1_000;
  private int sequence;

  /** Adds a leader of term 1, version 1 of the configuration, and two workers. */
  LogHistoryBuilder withLeader() {
    return valid(0, new ControlRecord.LeadershipClaimed(LEADER, 0))
        .valid(0, configured(0, ServiceState.IN_SERVICE))
        .valid(
            1, new ControlRecord.WorkersListed(List.of(worker("w-1"), worker("w-2")), List.of()));
  }

  /** Adds a record that the control state must accept. */
  LogHistoryBuilder valid(long term, ControlRecord record) {
    Envelope envelope = envelope(term, record);
    ProposalOutcome outcome = state.apply(sequence, envelope);
    assertThat(outcome.code()).as("%s: %s", record, outcome.message()).isEqualTo(ResultCode.OK);
    applied.add(new LogHistory.Applied(envelope, outcome));
    return this;
  }

  /** Adds an invalid record as accepted, at the current configuration version. */
  LogHistoryBuilder invalid(long term, ControlRecord record) {
    return invalid(term, record, state.configurationVersion());
  }

  /** Adds an invalid record as accepted, with the given configuration version as its outcome. */
  LogHistoryBuilder invalid(long term, ControlRecord record, long version) {
    ProposalOutcome outcome = ProposalOutcome.of(ResultCode.OK, "", sequence + 1L, version);
    applied.add(new LogHistory.Applied(envelope(term, record), outcome));
    return this;
  }

  /** Sets the time of the following records, in milliseconds. */
  LogHistoryBuilder at(long millis) {
    nowMillis = millis;
    return this;
  }

  /** Replaces the records so far by a snapshot, as if they had expired. */
  LogHistoryBuilder expireIntoSnapshot() {
    start = state.snapshot();
    state = ControlState.restore(StateSettings.DEFAULT, start);
    applied.clear();
    return this;
  }

  LogHistory log() {
    return new LogHistory(start, applied);
  }

  private Envelope envelope(long term, ControlRecord record) {
    sequence++;
    return new Envelope(LEADER, sequence, sequence - 1, term, "main", nowMillis, record);
  }

  static ControlRecord configured(long baseVersion, ServiceState serviceState) {
    FailureDomain domain = new FailureDomain(DOMAIN, "main", serviceState, 0, 0, Map.of());
    Customer customer = new Customer(CUSTOMER, List.of(), 0, Map.of());
    Configuration configuration =
        new Configuration(List.of(customer), List.of(domain), Map.of(), List.of());
    return new ControlRecord.ConfigurationChanged(baseVersion, configuration, "operator", "");
  }

  static ControlRecord service(ServiceState serviceState) {
    return new ControlRecord.DomainServiceChanged(-1, DOMAIN, serviceState, 0, "operator");
  }

  static ControlRecord submitted(String jobId) {
    Shape shape = new Shape(MEMBERS, ACCELERATORS, Span.REGION);
    return new ControlRecord.JobSubmitted(
        new JobSpecification(jobId, CUSTOMER, shape, Urgency.NORMAL, true, true, 1, Map.of()));
  }

  /** Returns a reservation of one worker for each gang member, in order. */
  static ControlRecord reserved(String jobId, int attempt, String... workers) {
    List<MemberPlacement> placements = new ArrayList<>();
    for (int member = 0; member < workers.length; member++) {
      placements.add(new MemberPlacement(member, workers[member], List.of(0, 1, 2, 3)));
    }
    return new ControlRecord.GangReserved(
        jobId, attempt, placements, "", ControlRecord.GangReserved.UNKNOWN_VERSION);
  }

  static ControlRecord ended(String jobId, int attempt) {
    return new ControlRecord.GangEnded(
        jobId, attempt, ControlRecord.GangOutcome.STOPPED, 0, List.of());
  }

  static ControlRecord claimed(String key, String owner) {
    return new ControlRecord.RequestClaimed(key, CUSTOMER, owner, 1_000);
  }

  static ControlRecord finished(String key, String owner) {
    return new ControlRecord.RequestFinished(key, CUSTOMER, owner, ResultCode.OK, "answer");
  }

  private static Worker worker(String name) {
    return new Worker(
        name, "127.0.0.1:1", DOMAIN, "rack", ACCELERATORS, 8, 1_024, 8, false, Map.of());
  }
}
