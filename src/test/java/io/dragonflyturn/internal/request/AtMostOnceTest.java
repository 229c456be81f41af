package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the guarantees for non-idempotent requests, with keys chosen by callers and with issued
 * identifiers.
 */
class AtMostOnceTest {
  private static final Duration AFTER_DEADLINE =
      Duration.ofMillis(EntryCluster.DEADLINE_MILLIS + 5_000);

  private final EntryCluster cluster = new EntryCluster();
  private final RequestService first = cluster.start("entry-1");
  private final RequestService second = cluster.start("entry-2");

  @ParameterizedTest
  @EnumSource
  void should_send_once_when_a_retry_joins_at_the_same_entry(ClaimKind kind) {
    cluster.targets.holdAttempts();
    RequestCall call = kind.call(cluster, first);

    CompletableFuture<RequestResponse> original = first.handle(call);
    CompletableFuture<RequestResponse> retry = first.handle(call);
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(cluster.targets.sent()).hasSize(1);
    assertThat(cluster.responseOf(original).answer()).isEqualTo("booked");
    assertThat(cluster.responseOf(retry).answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_send_once_when_a_retry_reaches_another_entry_while_in_progress(ClaimKind kind) {
    cluster.targets.holdAttempts();
    RequestCall call = kind.call(cluster, first);

    CompletableFuture<RequestResponse> original = first.handle(call);
    CompletableFuture<RequestResponse> retry = second.handle(call);
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(cluster.targets.sent()).hasSize(1);
    assertThat(cluster.responseOf(original).answer()).isEqualTo("booked");
    assertThat(cluster.responseOf(retry).answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_return_the_outcome_to_a_later_retry_at_another_entry(ClaimKind kind) {
    RequestCall call = kind.call(cluster, first);
    cluster.responseOf(first.handle(call));

    RequestResponse retry = cluster.responseOf(second.handle(call));

    assertThat(retry.code().isSuccess()).isTrue();
    assertThat(retry.answer()).isEqualTo("done " + call.requestId());
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_return_the_recorded_outcome_when_the_owner_is_killed(ClaimKind kind) {
    RequestCall call = kind.call(cluster, first);
    cluster.responseOf(first.handle(call));
    cluster.kill("entry-1");

    RequestResponse retry = cluster.responseOf(second.handle(call));

    assertThat(retry.code()).isEqualTo(ResultCode.JOINED);
    assertThat(retry.answer()).isEqualTo("done " + call.requestId());
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_report_an_unknown_outcome_when_the_owner_is_killed_in_progress(ClaimKind kind) {
    cluster.targets.holdAttempts();
    RequestCall call = kind.call(cluster, first);
    first.handle(call);
    cluster.kill("entry-1");

    RequestResponse retry = cluster.responseOf(second.handle(call));

    assertThat(retry.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_not_send_again_after_a_lost_answer(ClaimKind kind) {
    cluster.targets.replyAlways(new TargetReply.AnswerLost("cut"));
    RequestCall call = kind.call(cluster, first);

    RequestResponse original = cluster.responseOf(first.handle(call));
    RequestResponse retry = cluster.responseOf(first.handle(call));
    RequestResponse elsewhere = cluster.responseOf(second.handle(call));

    assertThat(original.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(retry.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(elsewhere.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_record_an_answer_that_arrives_after_the_callers_deadline(ClaimKind kind) {
    cluster.targets.holdAttempts();
    RequestCall call = kind.call(cluster, first);
    CompletableFuture<RequestResponse> original = first.handle(call);

    cluster.clock.advance(Duration.ofMillis(EntryCluster.DEADLINE_MILLIS + 1));
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(cluster.responseOf(original).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(cluster.responseOf(second.handle(call)).answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_drop_an_answer_that_arrives_after_the_grace_period(ClaimKind kind) {
    cluster.targets.holdAttempts();
    RequestCall call = kind.call(cluster, first);
    first.handle(call);

    cluster.clock.advance(AFTER_DEADLINE);
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(cluster.responseOf(first.handle(call)).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(cluster.responseOf(second.handle(call)).code())
        .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  @ParameterizedTest
  @EnumSource
  void should_try_another_target_after_a_refusal(ClaimKind kind) {
    cluster.targets.setBehavior(
        sent ->
            CompletableFuture.completedFuture(
                cluster.targets.sent().size() == 1
                    ? new TargetReply.Refused("busy")
                    : new TargetReply.Answered("booked")));

    RequestResponse response = cluster.responseOf(first.handle(kind.call(cluster, first)));

    assertThat(response.answer()).isEqualTo("booked");
    assertThat(cluster.targets.sent())
        .extracting(FakeTargetClient.SentAttempt::address)
        .doesNotHaveDuplicates();
  }

  @ParameterizedTest
  @EnumSource
  void should_send_a_retry_when_the_target_refused_the_first_call(ClaimKind kind) {
    cluster.targets.replyAlways(new TargetReply.Refused("busy"));
    RequestCall call = kind.call(cluster, first);
    RequestResponse refused = cluster.responseOf(first.handle(call));
    cluster.targets.replyAlways(new TargetReply.Answered("booked"));

    RequestResponse retry = cluster.responseOf(second.handle(call));

    assertThat(refused.code()).isEqualTo(ResultCode.TARGET_REFUSED);
    assertThat(retry.answer()).isEqualTo("booked");
  }

  @ParameterizedTest
  @EnumSource
  void should_withdraw_an_unsent_request_when_its_caller_disconnects(ClaimKind kind) {
    cluster.targets.holdAttempts();
    cluster.setTargets(1, 1);
    first.handle(kind.call(cluster, first));
    RequestCall call = kind.call(cluster, first);

    first.handle(call).cancel(false);
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource
  void should_keep_the_outcome_when_the_caller_of_a_sent_request_disconnects(ClaimKind kind) {
    cluster.targets.holdAttempts();
    RequestCall call = kind.call(cluster, first);

    first.handle(call).cancel(false);
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(cluster.responseOf(second.handle(call)).answer()).isEqualTo("booked");
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  /** The kinds of request identifier, which differ in how the request is claimed. */
  enum ClaimKind {
    CALLER_KEY {
      @Override
      RequestCall call(EntryCluster cluster, RequestService issuer) {
        return cluster.callWithKey("key-" + cluster.targets.sent().size());
      }
    },
    ISSUED_IDENTIFIER {
      @Override
      RequestCall call(EntryCluster cluster, RequestService issuer) {
        return cluster.callWithIssuedIdentifier(
            issuer.identifiers().issue(EntryCluster.CUSTOMER, 1).getFirst());
      }
    };

    /**
     * Returns a new call of this kind. The issuer is the entry that issues the identifier, if one
     * is needed.
     */
    abstract RequestCall call(EntryCluster cluster, RequestService issuer);
  }
}
