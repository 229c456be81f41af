package io.dragonflyturn.internal.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
  private static final String[] ENTRY_FLAGS = {
    "--instance-name", "entry-1",
    "--failure-domain", "salamanca",
    "--schedulers", "127.0.0.1:7410,127.0.0.1:7411"
  };
  private static final String[] SCHEDULER_FLAGS = {
    "--instance-name", "scheduler-1",
    "--failure-domain", "salamanca",
    "--platform", "http://127.0.0.1:7500"
  };

  @Test
  void should_use_defaults_when_no_value_is_given() {
    EntrySettings settings = EntrySettings.parse(ENTRY_FLAGS, Map.of());

    assertThat(settings.freshnessBound()).isEqualTo(Duration.ofSeconds(2));
    assertThat(settings.schedulers()).hasSize(2);
    assertThat(settings.identity().region()).isEqualTo("main");
  }

  @Test
  void should_read_environment_variables() {
    Map<String, String> environment =
        Map.of(
            "DRAGONFLYTURN_INSTANCE_NAME", "scheduler-1",
            "DRAGONFLYTURN_FAILURE_DOMAIN", "kingston",
            "DRAGONFLYTURN_PLATFORM", "http://127.0.0.1:7500",
            "DRAGONFLYTURN_PEERS", "127.0.0.1:7411");

    SchedulerSettings settings = SchedulerSettings.parse(new String[0], environment);

    assertThat(settings.identity().failureDomain()).isEqualTo("kingston");
    assertThat(settings.peers()).hasSize(1);
  }

  @Test
  void should_prefer_the_flag_over_the_environment_variable() {
    Map<String, String> environment = Map.of("DRAGONFLYTURN_INSTANCE_NAME", "from-environment");

    EntrySettings settings = EntrySettings.parse(ENTRY_FLAGS, environment);

    assertThat(settings.identity().instanceName()).isEqualTo("entry-1");
  }

  @Test
  void should_accept_a_flag_joined_to_its_value_by_an_equals_sign() {
    EntrySettings settings =
        EntrySettings.parse(with(ENTRY_FLAGS, "--retry-budget=0.25"), Map.of());

    assertThat(settings.retryBudget()).isEqualTo(0.25);
  }

  @Test
  void should_report_all_problems_together_with_name_value_and_allowed_values() {
    DragonflyturnException failure =
        entryFailure(
            "--instance-name", "a name with blanks",
            "--http-address", "localhost:7400",
            "--drain-deadline", "20",
            "--retry-budget", "1.5",
            "--colour", "red",
            "--log-format", "xml");

    assertThat(failure.code()).isEqualTo(ResultCode.INVALID_SETTINGS);
    assertThat(failure)
        .hasMessageContaining("8 problem(s)")
        .hasMessageContaining("--instance-name (DRAGONFLYTURN_INSTANCE_NAME) is 'a name with")
        .hasMessageContaining("--failure-domain (DRAGONFLYTURN_FAILURE_DOMAIN) is ''")
        .hasMessageContaining("--schedulers")
        .hasMessageContaining("'localhost:7400'; allowed: an IP number and a port of 0 to 65535")
        .hasMessageContaining("'20'; allowed: a whole number with unit, 100ms to 30m")
        .hasMessageContaining("'1.5'; allowed: a number, 0 to 1")
        .hasMessageContaining("--colour is 'red'; allowed: no such setting")
        .hasMessageContaining("'xml'; allowed: json or text");
  }

  @Test
  void should_report_a_flag_without_a_value() {
    DragonflyturnException failure = entryFailure(with(ENTRY_FLAGS, "--region"));

    assertThat(failure).hasMessageContaining("1 problem(s)").hasMessageContaining("--region is ''");
  }

  @Test
  void should_reject_a_lease_shorter_than_three_heartbeats() {
    DragonflyturnException failure =
        catchThrowableOfType(
            DragonflyturnException.class,
            () ->
                SchedulerSettings.parse(
                    with(SCHEDULER_FLAGS, "--leadership-lease", "2s"), Map.of()));

    assertThat(failure)
        .hasMessageContaining("--leadership-lease")
        .hasMessageContaining("at least 3 heartbeat intervals, 3s");
  }

  @Test
  void should_reject_a_token_of_both_a_customer_and_an_operator() {
    DragonflyturnException failure =
        entryFailure(
            with(ENTRY_FLAGS, "--customer-tokens=derwent=abcd", "--operator-tokens=ada=abcd"));

    assertThat(failure).hasMessageContaining("a token that no customer has");
  }

  @Test
  void should_not_print_tokens_in_problem_messages() {
    DragonflyturnException failure =
        entryFailure(with(ENTRY_FLAGS, "--customer-tokens=derwent=secret-1,brunner=x"));

    assertThat(failure).hasMessageContaining("derwent=...").message().doesNotContain("secret-1");
  }

  @Test
  void should_share_addresses_between_entry_and_scheduler_in_one_process() {
    InstanceSettings settings =
        InstanceSettings.parse(with(SCHEDULER_FLAGS, "--http-address=127.0.0.1:0"), Map.of());

    assertThat(settings.entry().httpAddress()).isEqualTo(settings.scheduler().httpAddress());
    assertThat(settings.entry().controlAddress()).isEqualTo(settings.scheduler().controlAddress());
  }

  @Test
  void should_have_defaults_that_are_allowed() {
    for (SettingsRole role : SettingsCatalogue.roles()) {
      for (Setting<?> setting : role.settings()) {
        if (!setting.required()) {
          assertThat(setting.type().parse(setting.defaultText())).isNotNull();
        }
      }
    }
  }

  private static DragonflyturnException entryFailure(String... flags) {
    return catchThrowableOfType(
        DragonflyturnException.class, () -> EntrySettings.parse(flags, Map.of()));
  }

  private static String[] with(String[] flags, String... additional) {
    String[] all = Arrays.copyOf(flags, flags.length + additional.length);
    System.arraycopy(additional, 0, all, flags.length, additional.length);
    return all;
  }
}
