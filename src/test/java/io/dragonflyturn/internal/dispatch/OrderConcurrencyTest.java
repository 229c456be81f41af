package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OrderConcurrencyTest {
  private final OrderConcurrency concurrency = new OrderConcurrency();
  private final int initialLimit = concurrency.limit();

  @Test
  void should_allow_more_orders_while_answers_are_fast() {
    concurrency.answered(1_000, 1_010);

    assertThat(concurrency.limit()).isGreaterThan(initialLimit);
  }

  @Test
  void should_lower_the_limit_once_for_slow_answers_to_orders_sent_together() {
    concurrency.answered(1_000, 1_400);
    int limitAfterFirst = concurrency.limit();
    concurrency.answered(1_000, 1_410);

    assertThat(limitAfterFirst).isLessThan(initialLimit);
    assertThat(concurrency.limit()).isEqualTo(limitAfterFirst);
  }

  @Test
  void should_lower_the_limit_when_no_worker_answers() {
    concurrency.unanswered(1_000, 1_500);

    assertThat(concurrency.limit()).isLessThan(initialLimit);
  }

  @Test
  void should_keep_the_limit_when_one_worker_does_not_answer_while_another_does() {
    concurrency.answered(1_200, 1_210);
    int limit = concurrency.limit();

    concurrency.unanswered(1_000, 1_500);

    assertThat(concurrency.limit()).isEqualTo(limit);
  }
}
