package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.internal.log.InMemoryPlatformLog;
import io.dragonflyturn.internal.log.LogSnapshots;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests reading a {@link LogHistory} with and without expired records. */
class LogHistoryTest {
  private static final int RECORD_COUNT = 4;

  private final InMemoryPlatformLog log = new InMemoryPlatformLog();
  private final ControlState state = new ControlState(StateSettings.DEFAULT);

  @Test
  void should_contain_every_record_of_a_log_without_expired_records() {
    appendClaims();

    LogHistory history = LogHistory.read(log);

    assertThat(history.accepted()).hasSize(RECORD_COUNT);
    assertThat(history.coverage()).isEqualTo("from the first record on");
  }

  @Test
  void should_start_at_the_newest_snapshot_if_the_first_record_has_expired() {
    appendClaims();
    LogSnapshots.write(log, state.snapshot());
    append(4, claim(4));
    log.expire(PlatformLog.CONTROL_STREAM, 2);

    LogHistory history = LogHistory.read(log);

    assertThat(history.applied()).extracting(each -> each.outcome().offset()).containsExactly(4L);
    assertThat(history.start().orElseThrow().requests()).hasSize(RECORD_COUNT);
    assertThat(history.coverage()).isEqualTo("from the snapshot of offset 3 on");
  }

  @Test
  void should_fail_if_no_snapshot_covers_the_expired_records() {
    appendClaims();
    log.expire(PlatformLog.CONTROL_STREAM, 2);

    assertThatThrownBy(() -> LogHistory.read(log))
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("below offset 2 have expired, and no snapshot covers them");
  }

  private void appendClaims() {
    for (int number = 0; number < RECORD_COUNT; number++) {
      append(number, claim(number));
    }
  }

  private void append(int offset, ControlRecord record) {
    Envelope envelope = new Envelope("writer", offset + 1, offset - 1, 0, "main", 1_000, record);
    byte[] batch = MessagePackCodec.encode(Map.of("envelopes", List.of(envelope)));
    log.append(PlatformLog.CONTROL_STREAM, batch, Duration.ofSeconds(1));
    state.apply(offset, envelope);
  }

  private static ControlRecord claim(int number) {
    return new ControlRecord.RequestClaimed("key-" + number, "derwent", "entry", 1_000);
  }
}
