package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What holds for a non-idempotent request in both ways of claiming. */
class AtMostOnceTest {
  private static final Duration AFTER_DEADLINE =
      Duration.ofMillis(TestEntries.DEADLINE_MILLIS + 5_000);

  private final TestEntries entries = new TestEntries();
  private final RequestService first = entries.start("entry-1");
  private final RequestService second = entries.start("entry-2");

  @ParameterizedTest
  @EnumSource
  void should_send_once_when_a_retry_joins_at_the_same_entry(Way way) {
    entries.targets.hold();
    RequestCall call = way.call(entries, first);

    CompletableFuture<RequestResponse> original = first.handle(call);
    CompletableFuture<RequestResponse> retry = first.handle(call);
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(entries.targets.sent()).hasSize(1);
    assertThat(entries.answerOf(original).answer()).isEqualTo("booked");
    assertThat(entries.answerOf(retry).answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_send_once_when_a_retry_reaches_another_entry_meanwhile(Way way) {
    entries.targets.hold();
    RequestCall call = way.call(entries, first);

    CompletableFuture<RequestResponse> original = first.handle(call);
    CompletableFuture<RequestResponse> retry = second.handle(call);
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(entries.targets.sent()).hasSize(1);
    assertThat(entries.answerOf(original).answer()).isEqualTo("booked");
    assertThat(entries.answerOf(retry).answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_give_the_outcome_to_a_later_retry_at_another_entry(Way way) {
    RequestCall call = way.call(entries, first);
    entries.answerOf(first.handle(call));

    RequestResponse retry = entries.answerOf(second.handle(call));

    assertThat(retry.code().isSuccess()).isTrue();
    assertThat(retry.answer()).isEqualTo("done " + call.requestId());
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_give_the_recorded_outcome_when_the_owner_is_killed(Way way) {
    RequestCall call = way.call(entries, first);
    entries.answerOf(first.handle(call));
    entries.kill("entry-1");

    RequestResponse retry = entries.answerOf(second.handle(call));

    assertThat(retry.code()).isEqualTo(ResultCode.JOINED);
    assertThat(retry.answer()).isEqualTo("done " + call.requestId());
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_say_unknown_when_the_owner_is_killed_before_an_outcome(Way way) {
    entries.targets.hold();
    RequestCall call = way.call(entries, first);
    first.handle(call);
    entries.kill("entry-1");

    RequestResponse retry = entries.answerOf(second.handle(call));

    assertThat(retry.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_not_send_again_after_a_lost_answer(Way way) {
    entries.targets.always(new TargetReply.AnswerLost("cut"));
    RequestCall call = way.call(entries, first);

    RequestResponse original = entries.answerOf(first.handle(call));
    RequestResponse retry = entries.answerOf(first.handle(call));
    RequestResponse elsewhere = entries.answerOf(second.handle(call));

    assertThat(original.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(retry.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(elsewhere.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_learn_an_answer_that_comes_after_the_callers_deadline(Way way) {
    entries.targets.hold();
    RequestCall call = way.call(entries, first);
    CompletableFuture<RequestResponse> original = first.handle(call);

    entries.time.advance(Duration.ofMillis(TestEntries.DEADLINE_MILLIS + 1));
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(entries.answerOf(original).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(entries.answerOf(second.handle(call)).answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_drop_an_answer_that_comes_after_the_outcome_was_given_up(Way way) {
    entries.targets.hold();
    RequestCall call = way.call(entries, first);
    first.handle(call);

    entries.time.advance(AFTER_DEADLINE);
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(entries.answerOf(first.handle(call)).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(entries.answerOf(second.handle(call)).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  @ParameterizedTest
  @EnumSource
  void should_try_another_target_after_a_refusal(Way way) {
    entries.targets.behave(
        sent ->
            CompletableFuture.completedFuture(
                entries.targets.sent().size() == 1
                    ? new TargetReply.Refused("busy")
                    : new TargetReply.Answered("booked")));

    RequestResponse answer = entries.answerOf(first.handle(way.call(entries, first)));

    assertThat(answer.answer()).isEqualTo("booked");
    assertThat(entries.targets.sent())
        .extracting(FakeTargets.Sent::address)
        .doesNotHaveDuplicates();
  }

  @ParameterizedTest
  @EnumSource
  void should_send_a_retry_when_the_first_call_was_refused_unrun(Way way) {
    entries.targets.always(new TargetReply.Refused("busy"));
    RequestCall call = way.call(entries, first);
    RequestResponse refused = entries.answerOf(first.handle(call));
    entries.targets.always(new TargetReply.Answered("booked"));

    RequestResponse retry = entries.answerOf(second.handle(call));

    assertThat(refused.code()).isEqualTo(ResultCode.TARGET_REFUSED);
    assertThat(retry.answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_withdraw_an_unsent_request_when_its_caller_goes_away(Way way) {
    entries.targets.hold();
    entries.setTargets(1, 1);
    first.handle(way.call(entries, first));
    RequestCall call = way.call(entries, first);

    first.handle(call).cancel(false);
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(entries.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_keep_the_outcome_when_the_caller_of_a_sent_request_goes_away(Way way) {
    entries.targets.hold();
    RequestCall call = way.call(entries, first);

    first.handle(call).cancel(false);
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(entries.answerOf(second.handle(call)).answer()).isEqualTo("booked");
    assertThat(entries.targets.sent()).hasSize(1);
  }

  /** A way of claiming. */
  enum Way {
    LOGGED {
      @Override
      RequestCall call(TestEntries entries, RequestService issuer) {
        return entries.logged("key-" + entries.targets.sent().size());
      }
    },
    ISSUED {
      @Override
      RequestCall call(TestEntries entries, RequestService issuer) {
        return entries.issued(issuer.identifiers().issue(TestEntries.CUSTOMER, 1).getFirst());
      }
    };

    /** Returns a new call that the issuer owns or will own. */
    abstract RequestCall call(TestEntries entries, RequestService issuer);
  }
}
