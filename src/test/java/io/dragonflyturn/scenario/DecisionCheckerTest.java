package io.dragonflyturn.scenario;

import static io.dragonflyturn.scenario.PlantedHistory.claimed;
import static io.dragonflyturn.scenario.PlantedHistory.configured;
import static io.dragonflyturn.scenario.PlantedHistory.ended;
import static io.dragonflyturn.scenario.PlantedHistory.finished;
import static io.dragonflyturn.scenario.PlantedHistory.reserved;
import static io.dragonflyturn.scenario.PlantedHistory.service;
import static io.dragonflyturn.scenario.PlantedHistory.submitted;
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

class DecisionCheckerTest {
  private final PlantedHistory history = new PlantedHistory().withLeader();

  @Test
  void should_accept_a_sound_history() {
    history
        .sound(0, submitted("job"))
        .sound(1, reserved("job", 1, "w-1", "w-2"))
        .sound(1, new ControlRecord.GangStarted("job", 1))
        .sound(1, ended("job", 1))
        .sound(1, new ControlRecord.LeadershipReleased(PlantedHistory.LEADER))
        .sound(0, new ControlRecord.LeadershipClaimed("instance-2", 1))
        .sound(2, reserved("job", 2, "w-1", "w-2"))
        .sound(0, configured(1, ServiceState.IN_SERVICE))
        .sound(0, service(ServiceState.TAKEN_OUT))
        .sound(0, claimed("key", "entry"))
        .sound(0, finished("key", "entry"))
        .sound(0, finished("issued", "entry"));

    assertThatCode(() -> new DecisionChecker(history.log()).check()).doesNotThrowAnyException();
  }

  @Test
  void should_accept_a_sound_history_that_goes_on_from_a_snapshot() {
    runGang()
        .sound(0, claimed("key", "entry"))
        .expired()
        .sound(1, ended("job", 1))
        .sound(1, reserved("job", 2, "w-1", "w-2"))
        .sound(0, finished("key", "entry"));

    assertThatCode(() -> new DecisionChecker(history.log()).check()).doesNotThrowAnyException();
  }

  @Test
  void should_report_a_gang_that_is_reserved_in_part() {
    history.sound(0, submitted("job")).planted(1, reserved("job", 1, "w-1"));

    assertReported("not reserved whole");
  }

  @Test
  void should_report_a_gang_that_starts_without_its_places() {
    history.sound(0, submitted("job")).planted(1, new ControlRecord.GangStarted("job", 1));

    assertReported("not reserved whole");
  }

  @Test
  void should_report_two_reservations_of_the_same_place() {
    runGang().sound(0, submitted("other")).planted(1, reserved("other", 1, "w-2", "w-3"));

    assertReported("places that were held");
  }

  @Test
  void should_report_a_reservation_of_a_place_held_since_before_the_snapshot() {
    runGang().sound(0, submitted("other")).expired().planted(1, reserved("other", 1, "w-3", "w-2"));

    assertReported("places that were held");
  }

  @Test
  void should_report_two_members_of_a_gang_at_the_same_place() {
    history.sound(0, submitted("job")).planted(1, reserved("job", 1, "w-1", "w-1"));

    assertReported("places that were held");
  }

  @ParameterizedTest
  @MethodSource("plannersRecords")
  void should_report_a_record_of_an_ended_term(ControlRecord record) {
    runGang().sound(0, new ControlRecord.LeadershipClaimed("instance-2", 1)).planted(1, record);

    assertReported("outside the term");
  }

  static Stream<ControlRecord> plannersRecords() {
    return Stream.of(
        new ControlRecord.LeadershipRenewed(PlantedHistory.LEADER),
        new ControlRecord.LeadershipReleased(PlantedHistory.LEADER),
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
        .sound(0, submitted("job"))
        .sound(0, new ControlRecord.LeadershipClaimed("instance-2", 1))
        .planted(1, reserved("job", 1, "w-1", "w-2"));

    assertReported("outside the term");
  }

  @Test
  void should_report_a_term_that_had_ended_before_the_snapshot() {
    history
        .sound(0, new ControlRecord.LeadershipClaimed("instance-2", 1))
        .expired()
        .planted(1, new ControlRecord.LeadershipRenewed(PlantedHistory.LEADER));

    assertReported("outside the term");
  }

  @Test
  void should_report_a_configuration_that_was_made_from_an_outdated_one() {
    history
        .sound(0, configured(1, ServiceState.IN_SERVICE))
        .planted(0, configured(1, ServiceState.IN_SERVICE), 3);

    assertReported("outdated configuration");
  }

  @Test
  void should_report_a_service_state_that_was_decided_from_an_outdated_configuration() {
    history
        .sound(0, configured(1, ServiceState.IN_SERVICE))
        .planted(
            0,
            new ControlRecord.DomainServiceChanged(
                1, PlantedHistory.DOMAIN, ServiceState.TAKEN_OUT, 0, "operator"),
            3);

    assertReported("outdated configuration");
  }

  @Test
  void should_report_two_claims_of_a_request() {
    history.sound(0, claimed("key", "entry")).planted(0, claimed("key", "other"));

    assertReported("second owners");
  }

  @Test
  void should_report_an_outcome_from_an_entry_that_does_not_own_the_request() {
    history.sound(0, claimed("key", "entry")).planted(0, finished("key", "other"));

    assertReported("second owners");
  }

  @Test
  void should_report_two_outcomes_of_a_request() {
    history.sound(0, finished("key", "entry")).planted(0, finished("key", "entry"));

    assertReported("second outcomes");
  }

  @Test
  void should_report_a_second_outcome_of_a_request_that_ended_before_the_snapshot() {
    history.sound(0, finished("key", "entry")).expired().planted(0, finished("key", "entry"));

    assertReported("second outcomes");
  }

  private PlantedHistory runGang() {
    return history
        .sound(0, submitted("job"))
        .sound(1, reserved("job", 1, "w-1", "w-2"))
        .sound(1, new ControlRecord.GangStarted("job", 1));
  }

  private void assertReported(String what) {
    DecisionChecker checker = new DecisionChecker(history.log());

    assertThat(checker.count()).isEqualTo(1);
    assertThatThrownBy(checker::check)
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining(what);
  }
}
