package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class WriterTableTest {
  private static final long WINDOW_OFFSETS = 10;

  private final WriterTable table =
      new WriterTable(
          new EffectiveSettings(
              new StateSettings(
                  Duration.ofHours(1), Duration.ofHours(1), Duration.ZERO, 1, WINDOW_OFFSETS)));

  @Test
  void should_evict_a_writer_that_is_inactive_for_longer_than_the_window() {
    table.admit(0, envelope("idle", 1, -1));
    table.admit(WINDOW_OFFSETS, envelope("busy", 1, WINDOW_OFFSETS - 1));
    assertThat(table.all()).hasSize(2);
    table.admit(WINDOW_OFFSETS + 1, envelope("busy", 2, WINDOW_OFFSETS));

    assertThat(table.all()).extracting(WriterPosition::writer).containsExactly("busy");
  }

  @Test
  void should_reject_an_old_envelope_of_an_evicted_writer() {
    table.admit(0, envelope("idle", 1, -1));
    table.admit(WINDOW_OFFSETS + 1, envelope("busy", 1, WINDOW_OFFSETS));

    assertThat(table.admit(WINDOW_OFFSETS + 2, envelope("idle", 1, -1)).code())
        .isEqualTo(ResultCode.FENCED);
  }

  private static Envelope envelope(String writer, long sequence, long decidedFrom) {
    return new Envelope(
        writer, sequence, decidedFrom, 0, "region", 0, new ControlRecord.LeadershipRenewed(""));
  }
}
