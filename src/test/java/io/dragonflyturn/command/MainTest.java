package io.dragonflyturn.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.dragonflyturn.internal.http.JsonCodec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
  @TempDir private Path folder;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @Test
  void should_show_every_command_in_the_overview() {
    int status = run("--help");

    assertThat(status).isZero();
    for (CommandDefinition command : CommandCatalogue.all()) {
      assertThat(output()).contains(command.words()).contains(command.summary());
    }
  }

  @Test
  void should_show_examples_in_the_help_of_every_command() {
    for (CommandDefinition command : CommandCatalogue.all()) {
      output.reset();

      int status = run((command.words() + " --help").split(" ", -1));

      assertThat(status).as(command.words()).isZero();
      assertThat(output()).contains("Examples:").contains("dragonflyturn " + command.words());
    }
  }

  @Test
  void should_exit_with_the_invalid_input_status_for_an_unknown_command() {
    int status = run("job", "paint");

    assertThat(status).isEqualTo(10);
    assertThat(errors()).contains("100 MALFORMED_INPUT").contains("dragonflyturn --help");
  }

  @Test
  void should_exit_with_the_invalid_input_status_for_an_unknown_flag() {
    int status = run("job", "list", "--colour");

    assertThat(status).isEqualTo(10);
    assertThat(errors()).contains("--colour").contains("dragonflyturn job list --help");
  }

  @Test
  void should_exit_with_the_invalid_input_status_for_a_shape_out_of_bounds() {
    int status = run("job", "submit", "--members", "129");

    assertThat(status).isEqualTo(10);
    assertThat(errors()).contains("members is 129; it must be 1 to 128");
  }

  @Test
  void should_exit_with_the_invalid_input_status_for_an_unreadable_time() {
    int status = run("request", "send", "--created-at", "yesterday");

    assertThat(status).isEqualTo(10);
    assertThat(errors()).contains("--created-at").contains("yesterday");
  }

  @Test
  void should_exit_with_the_peer_unreachable_status_for_an_unreachable_entry() {
    int status = run("job", "list", "--entries", "http://127.0.0.1:1");

    assertThat(status).isEqualTo(70);
    assertThat(errors()).contains("702 PEER_UNREACHABLE").contains("nothing was run");
  }

  @Test
  void should_print_one_json_object_for_a_failure() throws IOException {
    run("job", "list", "--json", "--entries", "http://127.0.0.1:1");

    JsonNode answer = JsonCodec.mapper().readTree(output());
    assertThat(answer.path("code").asInt()).isEqualTo(702);
  }

  @Test
  void should_reject_a_configuration_file_with_an_unknown_field() throws IOException {
    Path file = folder.resolve("configuration.json");
    Files.writeString(file, "{\"costumers\":[]}");

    int status = run("config", "validate", file.toString());

    assertThat(status).isEqualTo(10);
    assertThat(errors()).contains("101 UNKNOWN_FIELD").contains("costumers").contains("customers");
  }

  @Test
  void should_require_a_base_version_when_the_file_contains_none() throws IOException {
    Path file = folder.resolve("configuration.json");
    Files.writeString(file, "{\"failureDomains\":[{\"name\":\"north\"}]}");

    int status = run("config", "apply", file.toString());

    assertThat(status).isEqualTo(10);
    assertThat(errors()).contains("--base-version");
  }

  @Test
  void should_take_the_base_version_from_the_output_of_config_show() throws IOException {
    Path file = folder.resolve("configuration.json");
    Files.writeString(file, "{\"version\":7,\"configuration\":{\"customers\":[]}}");

    int status = run("config", "apply", file.toString(), "--entries", "http://127.0.0.1:1");

    assertThat(status).as("the call is made").isEqualTo(70);
  }

  @Test
  void should_list_settings_with_units_and_defaults() {
    int status = run("config", "settings");

    assertThat(status).isZero();
    assertThat(output())
        .contains("--freshness-bound")
        .contains("DRAGONFLYTURN_FRESHNESS_BOUND")
        .contains("duration (ms, s, m, h)")
        .contains("2s");
  }

  private int run(String... arguments) {
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    PrintStream err = new PrintStream(errors, true, StandardCharsets.UTF_8);
    return new Main(new CommandContext(out, err, Map.of(), Clock.systemUTC())).run(arguments);
  }

  private String output() {
    return output.toString(StandardCharsets.UTF_8);
  }

  private String errors() {
    return errors.toString(StandardCharsets.UTF_8);
  }
}
