package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a leader acts on the decisions of operators only while it knows them. */
class OperatorRulesTest {
  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void addOneWorker() {
    fixture.workers.add("w1");
  }

  @Test
  void should_start_nothing_after_a_restart_until_the_rules_are_read() {
    fixture.rulesStatus.loaded = false;
    fixture.instance("restarted");
    fixture.submit("a", 0, DispatchFixture.tasks(1));
    fixture.advance(5_000);
    assertThat(fixture.workers.runningTasks()).isEmpty();

    fixture.rulesStatus.loaded = true;
    fixture.advance(2_500);

    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");
  }

  @Test
  void should_start_nothing_while_the_rules_are_out_of_date() {
    fixture.instance("only");
    fixture.advance(2_500);
    fixture.rulesStatus.unreachable = Duration.ofSeconds(4);
    fixture.rulesStatus.age = Duration.ofSeconds(4);
    fixture.submit("a", 0, DispatchFixture.tasks(1));
    fixture.advance(2_000);
    assertThat(fixture.workers.runningTasks()).isEmpty();

    fixture.rulesStatus.unreachable = Duration.ZERO;
    fixture.rulesStatus.age = Duration.ZERO;
    fixture.advance(2_000);

    assertThat(fixture.workers.runningTasks()).containsExactly("a.0.0.0");
  }

  /** The age of the rules counted only from the first read that failed. */
  @Test
  void should_start_nothing_when_a_read_has_just_failed_and_the_rules_are_out_of_date() {
    fixture.instance("only");
    fixture.advance(2_500);
    fixture.rulesStatus.unreachable = Duration.ofSeconds(2);
    fixture.rulesStatus.age = Duration.ofMillis(3_600);
    fixture.submit("a", 0, DispatchFixture.tasks(1));

    fixture.advance(2_000);

    assertThat(fixture.workers.runningTasks()).isEmpty();
  }

  @Test
  void should_not_repeat_a_start_order_in_a_failure_domain_that_left_meanwhile() {
    fixture.instance("only");
    fixture.advance(2_500);
    fixture.workers.disconnect("w1");
    fixture.submit("a", 0, DispatchFixture.tasks(1));
    fixture.advance(300);
    fixture.domainsOutOfService.add("north");
    fixture.workers.reconnect("w1");

    fixture.advance(3_000);

    assertThat(fixture.workers.starts("a.0.0.0")).isZero();
  }
}
