package io.dragonflyturn.scenario;

import static io.dragonflyturn.scenario.LogHistoryBuilder.claimed;
import static io.dragonflyturn.scenario.LogHistoryBuilder.configured;
import static io.dragonflyturn.scenario.LogHistoryBuilder.ended;
import static io.dragonflyturn.scenario.LogHistoryBuilder.finished;
import static io.dragonflyturn.scenario.LogHistoryBuilder.reserved;
import static io.dragonflyturn.scenario.LogHistoryBuilder.service;
import static io.dragonflyturn.scenario.LogHistoryBuilder.submitted;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.ServiceState;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that {@link DecisionChecker} reports each kind of invariant violation in a log. */
class DecisionCheckerTest {
  private final LogHistoryBuilder history = new LogHistoryBuilder().withLeader();

  @Test
  void should_accept_a_valid_history() {
    history
        .valid(0, submitted("job"))
        .valid(1, reserved("job", 1, "w-1", "w-2"))
        .valid(1, new ControlRecord.GangStarted("job", 1))
        .valid(1, ended("job", 1))
        .valid(1, new ControlRecord.LeadershipReleased(LogHistoryBuilder.LEADER))
        .valid(0, new ControlRecord.LeadershipClaimed("instance-2", 1))
        .valid(2, reserved("job", 2, "w-1", "w-2"))
        .valid(0, configured(1, ServiceState.IN_SERVICE))
        .valid(0, service(ServiceState.TAKEN_OUT))
        .valid(0, claimed("key", "entry"))
        .valid(0, finished("key", "entry"))
        .valid(0, finished("issued", "entry"));

    assertThatCode(() -> new DecisionChecker(history.log()).check()).doesNotThrowAnyException();
  }

  @Test
  void should_accept_a_valid_history_that_starts_at_a_snapshot() {
    runGang()
        .valid(0, claimed("key", "entry"))
        .expireIntoSnapshot()
        .valid(1, ended("job", 1))
        .valid(1, reserved("job", 2, "w-1", "w-2"))
        .valid(0, finished("key", "entry"));

    assertThatCode(() -> new DecisionChecker(history.log()).check()).doesNotThrowAnyException();
  }

  @Test
  void should_report_a_gang_that_is_reserved_with_missing_members() {
    history.valid(0, submitted("job")).invalid(1, reserved("job", 1, "w-1"));

    assertReported("reserved with missing members");
  }

  @Test
  void should_report_a_gang_that_starts_without_a_reservation() {
    history.valid(0, submitted("job")).invalid(1, new ControlRecord.GangStarted("job", 1));

    assertReported("reserved with missing members");
  }

  @Test
  void should_report_two_reservations_of_the_same_accelerators() {
    runGang().valid(0, submitted("other")).invalid(1, reserved("other", 1, "w-2", "w-3"));

    assertReported("accelerators already in use");
  }

  @Test
  void should_report_a_reservation_of_accelerators_reserved_before_the_snapshot() {
    runGang()
        .valid(0, submitted("other"))
        .expireIntoSnapshot()
        .invalid(1, reserved("other", 1, "w-3", "w-2"));

    assertReported("accelerators already in use");
  }

  @Test
  void should_report_two_members_of_a_gang_on_the_same_accelerators() {
    history.valid(0, submitted("job")).invalid(1, reserved("job", 1, "w-1", "w-1"));

    assertReported("accelerators already in use");
  }

  @ParameterizedTest
  @MethodSource("leaderRecords")
  void should_report_a_record_of_an_ended_term(ControlRecord record) {
    runGang().valid(0, new ControlRecord.LeadershipClaimed("instance-2", 1)).invalid(1, record);

    assertReported("from another term");
  }

  static Stream<ControlRecord> leaderRecords() {
    return Stream.of(
        new ControlRecord.LeadershipRenewed(LogHistoryBuilder.LEADER),
        new ControlRecord.LeadershipReleased(LogHistoryBuilder.LEADER),
        new ControlRecord.WorkersListed(List.of(), List.of()),
        new ControlRecord.WorkerQuarantineChanged("w-1", true, ""),
        new ControlRecord.JobRefused("job", ResultCode.IMPOSSIBLE_SHAPE, ""),
        new ControlRecord.GangStarted("job", 1),
        new ControlRecord.GangStopRequested("job", 1, ControlRecord.StopReason.RECLAIMED, ""),
        ended("job", 1),
        new ControlRecord.CreditsAllocated(Map.of()));
  }

  @Test
  void should_report_a_reservation_of_an_ended_term() {
    history
        .valid(0, submitted("job"))
        .valid(0, new ControlRecord.LeadershipClaimed("instance-2", 1))
        .invalid(1, reserved("job", 1, "w-1", "w-2"));

    assertReported("from another term");
  }

  @Test
  void should_report_a_term_that_had_ended_before_the_snapshot() {
    history
        .valid(0, new ControlRecord.LeadershipClaimed("instance-2", 1))
        .expireIntoSnapshot()
        .invalid(1, new ControlRecord.LeadershipRenewed(LogHistoryBuilder.LEADER));

    assertReported("from another term");
  }

  @Test
  void should_report_a_configuration_change_based_on_an_outdated_one() {
    history
        .valid(0, configured(1, ServiceState.IN_SERVICE))
        .invalid(0, configured(1, ServiceState.IN_SERVICE), 3);

    assertReported("based on an outdated version");
  }

  @Test
  void should_report_a_service_state_change_based_on_an_outdated_configuration() {
    history
        .valid(0, configured(1, ServiceState.IN_SERVICE))
        .invalid(
            0,
            new ControlRecord.DomainServiceChanged(
                1, LogHistoryBuilder.DOMAIN, ServiceState.TAKEN_OUT, 0, "operator"),
            3);

    assertReported("based on an outdated version");
  }

  @Test
  void should_report_two_claims_of_a_request() {
    history.valid(0, claimed("key", "entry")).invalid(0, claimed("key", "other"));

    assertReported("conflicting owners");
  }

  @Test
  void should_report_an_outcome_from_an_entry_that_does_not_own_the_request() {
    history.valid(0, claimed("key", "entry")).invalid(0, finished("key", "other"));

    assertReported("conflicting owners");
  }

  @Test
  void should_report_two_outcomes_of_a_request() {
    history.valid(0, finished("key", "entry")).invalid(0, finished("key", "entry"));

    assertReported("duplicate outcomes");
  }

  @Test
  void should_report_a_second_outcome_of_a_request_that_ended_before_the_snapshot() {
    history
        .valid(0, finished("key", "entry"))
        .expireIntoSnapshot()
        .invalid(0, finished("key", "entry"));

    assertReported("duplicate outcomes");
  }

  private LogHistoryBuilder runGang() {
    return history
        .valid(0, submitted("job"))
        .valid(1, reserved("job", 1, "w-1", "w-2"))
        .valid(1, new ControlRecord.GangStarted("job", 1));
  }

  private void assertReported(String what) {
    DecisionChecker checker = new DecisionChecker(history.log());

    assertThat(checker.count()).isEqualTo(1);
    assertThatThrownBy(checker::check)
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining(what);
  }
}
