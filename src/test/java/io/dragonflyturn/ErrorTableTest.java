package io.dragonflyturn;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ErrorTableTest {
  private static final Path TABLE = Path.of("docs", "ERRORS.md");
  private static final int COLUMN_COUNT = 7;
  private static final int MEANING_COLUMN = 5;
  private static final int REMEDY_COLUMN = 6;

  @Test
  void should_list_every_result_code_once_in_order_with_its_properties() throws IOException {
    List<List<String>> expected =
        Arrays.stream(ResultCode.values()).map(ErrorTableTest::properties).toList();

    assertThat(rows()).extracting(row -> row.subList(0, MEANING_COLUMN)).isEqualTo(expected);
  }

  @Test
  void should_describe_the_meaning_and_the_remedy_of_every_code() throws IOException {
    assertThat(rows())
        .allSatisfy(
            row -> {
              assertThat(row.get(MEANING_COLUMN)).isNotBlank();
              assertThat(row.get(REMEDY_COLUMN)).isNotBlank();
            });
  }

  @Test
  void should_use_each_number_once() {
    assertThat(ResultCode.values()).extracting(ResultCode::number).doesNotHaveDuplicates();
  }

  private static List<String> properties(ResultCode code) {
    return List.of(
        String.valueOf(code.number()),
        code.name(),
        String.valueOf(code.httpStatus()),
        String.valueOf(code.exitStatus()),
        certaintyText(code.certainty()));
  }

  private static String certaintyText(ResultCode.Certainty certainty) {
    return switch (certainty) {
      case DONE -> "done";
      case NOT_RUN -> "not run";
      case RUN_AND_FAILED -> "run and failed";
      case UNKNOWN -> "unknown";
    };
  }

  private static List<List<String>> rows() throws IOException {
    return Files.readAllLines(TABLE).stream()
        .map(line -> Arrays.stream(line.split("\\|", -1)).map(String::strip).toList())
        .filter(cells -> cells.size() == COLUMN_COUNT + 2 && cells.get(1).matches("\\d+"))
        .map(cells -> cells.subList(1, COLUMN_COUNT + 1))
        .toList();
  }
}
