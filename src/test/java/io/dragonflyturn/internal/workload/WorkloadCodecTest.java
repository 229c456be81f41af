package io.dragonflyturn.internal.workload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.dragonflyturn.internal.workload.RunRecord.Phase;
import io.dragonflyturn.internal.workload.RunRecord.Placement;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkloadCodecTest {
  private static final int STORE_RECORD_BYTES = 262_144;
  private static final long INCARNATION = 1_785_000_000_000L;

  @ParameterizedTest
  @CsvSource({"1, 1", "128, 64", "512, 512", "513, 1", "513, 513", "20000, 1300"})
  void should_decode_the_placements_of_a_gang(int members, int workers) {
    RunRecord gang = gang(members, workers);

    assertThat(WorkloadCodec.decodeRun(WorkloadCodec.encodeRun(gang))).isEqualTo(gang);
  }

  /** The widest gang that is accepted had a record of 400 KB, which no store took. */
  @Test
  void should_keep_the_record_of_the_widest_gang_within_the_limit_of_the_store() {
    byte[] encoded = WorkloadCodec.encodeRun(gang(20_000, 1_300));

    assertThat(encoded).hasSizeLessThan(STORE_RECORD_BYTES);
  }

  @Test
  void should_encode_a_narrow_gang_as_earlier_builds_do() {
    byte[] earlier =
        WorkloadCodec.pack(
            packer -> {
              packer.packInt(3).packInt(Phase.PLACED.ordinal()).packInt(1).packString("saved");
              packer.packArrayHeader(2);
              packer.packString("worker-0").packLong(INCARNATION);
              packer.packString("worker-0").packLong(INCARNATION);
            });

    assertThat(WorkloadCodec.encodeRun(gang(2, 1))).isEqualTo(earlier);
  }

  @Test
  void should_refuse_placements_of_an_unknown_version() {
    byte[] later =
        WorkloadCodec.pack(
            packer -> packer.packInt(3).packInt(1).packInt(1).packString("").packInt(9));

    assertThatThrownBy(() -> WorkloadCodec.decodeRun(later))
        .isInstanceOf(UncheckedIOException.class);
  }

  /** Returns the record of a gang whose members fill one worker after the other. */
  private static RunRecord gang(int members, int workers) {
    List<Placement> placements = new ArrayList<>();
    for (int member = 0; member < members; member++) {
      placements.add(new Placement("worker-" + (long) member * workers / members, INCARNATION));
    }
    return new RunRecord(3, Phase.PLACED, 1, "saved", placements);
  }
}
