package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.workload.QueuePolicy;
import io.dragonflyturn.internal.workload.Recurrence;
import io.dragonflyturn.internal.workload.SubmittedJob;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JobDirectoryTest {
  private static final byte[] SUBMISSION =
      WorkloadCodec.encodeSubmission(
          new SubmittedJob(
              "a",
              "customer",
              new QueuePolicy("queue", "service", 1, 2, 3.0, 1_000),
              1_000,
              "content",
              List.of(DispatchFixture.tasks(1)),
              Recurrence.NONE));

  private final EventLog events =
      new EventLog(
          new PrintStream(OutputStream.nullOutputStream()), InstantSource.system(), "test");
  private final JobDirectory directory = new JobDirectory(InstantSource.system(), events);

  @ParameterizedTest
  @ValueSource(strings = {"", "?", "unknown"})
  void should_skip_a_record_with_an_unexpected_key(String key) {
    directory.reset(Map.of(key, new byte[] {1}, LedgerKeys.submission("a"), SUBMISSION));

    assertThat(directory.job("a")).isNotNull();
  }

  @Test
  void should_skip_records_that_were_changed_at_any_byte() {
    for (int position = 0; position < SUBMISSION.length; position++) {
      for (int value = 0; value < 256; value++) {
        byte[] changed = SUBMISSION.clone();
        changed[position] = (byte) value;
        String id = "changed-" + position + '-' + value;
        directory.apply(new KeyedRecord(LedgerKeys.submission(id), changed));
        directory.apply(new KeyedRecord(LedgerKeys.state(id), new byte[] {(byte) value}));
      }
    }

    directory.apply(new KeyedRecord(LedgerKeys.submission("a"), SUBMISSION));

    assertThat(directory.job("a")).isNotNull();
  }
}
