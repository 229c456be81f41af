package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The state time must not follow a single wrong clock, which would expire requests early, but must
 * advance after a long outage of the log.
 */
class ControlStateClockTest {
  private static final long NOW_MILLIS = Duration.ofDays(1000).toMillis();
  private static final long SECOND_MILLIS = Duration.ofSeconds(1).toMillis();
  private static final long OUTAGE_MILLIS = Duration.ofMinutes(50).toMillis();
  private static final long CLOCK_ERROR_MILLIS = Duration.ofHours(10).toMillis();

  private final ControlState state = new ControlState(StateSettings.DEFAULT);
  private final Map<String, Long> sequences = new HashMap<>();
  private long offset;

  @BeforeEach
  void setUp() {
    apply("one", NOW_MILLIS, claim("key"));
    apply("two", NOW_MILLIS, claim("second"));
  }

  @Test
  void should_keep_requests_when_one_clock_is_far_ahead() {
    apply("ahead", NOW_MILLIS + CLOCK_ERROR_MILLIS, claim("third"));
    apply("ahead", NOW_MILLIS + CLOCK_ERROR_MILLIS + SECOND_MILLIS, claim("fourth"));

    assertThat(apply("one", NOW_MILLIS + SECOND_MILLIS, claim("key")).code())
        .isEqualTo(ResultCode.DUPLICATE);
    assertThat(apply("one", NOW_MILLIS + SECOND_MILLIS, claim("new")).code())
        .isEqualTo(ResultCode.OK);
    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS + SECOND_MILLIS);
  }

  @Test
  void should_keep_requests_when_a_writer_with_a_clock_far_ahead_restarts() {
    apply("ahead", NOW_MILLIS + CLOCK_ERROR_MILLIS, claim("third"));
    apply("one", NOW_MILLIS + SECOND_MILLIS, claim("fourth"));
    apply("ahead again", NOW_MILLIS + CLOCK_ERROR_MILLIS + SECOND_MILLIS, claim("fifth"));

    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS + SECOND_MILLIS);
  }

  @Test
  void should_keep_an_outcome_of_a_writer_whose_clock_is_far_behind() {
    apply("behind", NOW_MILLIS - CLOCK_ERROR_MILLIS, finish("issued"));
    apply("one", NOW_MILLIS + SECOND_MILLIS, claim("third"));

    assertThat(state.request("customer", "issued")).isNotNull();
  }

  @Test
  void should_limit_the_timestamp_of_a_snapshot_claim_when_the_clock_is_far_ahead() {
    apply("ahead", NOW_MILLIS + CLOCK_ERROR_MILLIS, new ControlRecord.SnapshotClaimed("ahead", -1));

    assertThat(state.snapshotClaim().atMillis())
        .isLessThanOrEqualTo(NOW_MILLIS + StateClock.MAX_SKEW.toMillis());
  }

  @Test
  void should_advance_the_state_time_after_a_long_outage_when_two_writers_agree() {
    apply("one", NOW_MILLIS + OUTAGE_MILLIS, claim("third"));
    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS);
    apply("two", NOW_MILLIS + OUTAGE_MILLIS + SECOND_MILLIS, claim("fourth"));

    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS + OUTAGE_MILLIS);
  }

  @Test
  void should_use_the_lower_of_two_clocks_ahead_after_an_outage() {
    apply("ahead", NOW_MILLIS + CLOCK_ERROR_MILLIS, claim("third"));
    apply("one", NOW_MILLIS + OUTAGE_MILLIS, claim("fourth"));

    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS + OUTAGE_MILLIS);
  }

  @Test
  void should_advance_the_state_time_after_a_long_outage_with_a_single_writer() {
    long maxSkewMillis = StateClock.MAX_SKEW.toMillis();
    apply("one", NOW_MILLIS + OUTAGE_MILLIS, claim("third"));
    apply("one", NOW_MILLIS + OUTAGE_MILLIS + maxSkewMillis - 1, claim("fourth"));
    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS);
    apply("one", NOW_MILLIS + OUTAGE_MILLIS + maxSkewMillis, claim("fifth"));

    assertThat(state.stateMillis()).isEqualTo(NOW_MILLIS + OUTAGE_MILLIS + maxSkewMillis);
  }

  @Test
  void should_preserve_an_unconfirmed_time_in_a_snapshot() {
    apply("one", NOW_MILLIS + OUTAGE_MILLIS, claim("third"));
    byte[] snapshot = state.snapshot().encode();
    ControlState restored =
        ControlState.restore(StateSettings.DEFAULT, StateSnapshot.decode(snapshot));
    restored.apply(
        offset,
        new Envelope(
            "two", 9, offset - 1, 0, "region", NOW_MILLIS + OUTAGE_MILLIS, claim("fourth")));

    assertThat(restored.stateMillis()).isEqualTo(NOW_MILLIS + OUTAGE_MILLIS);
  }

  private static ControlRecord claim(String key) {
    return new ControlRecord.RequestClaimed(key, "customer", "entry", NOW_MILLIS);
  }

  private static ControlRecord finish(String key) {
    return new ControlRecord.RequestFinished(key, "customer", "entry", ResultCode.OK, "answer");
  }

  private ProposalOutcome apply(String writer, long atMillis, ControlRecord record) {
    long sequence = sequences.merge(writer, 1L, Long::sum);
    Envelope envelope = new Envelope(writer, sequence, offset - 1, 0, "region", atMillis, record);
    ProposalOutcome outcome = state.apply(offset, envelope);
    offset++;
    return outcome;
  }
}
