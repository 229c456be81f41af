package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What callers see of admission and of the order of slots. */
class SlotQueueTest {
  private static final Duration SERVICE_TIME = Duration.ofMillis(100);

  private final TestEntries entries = new TestEntries();
  private final RequestService service = entries.start("entry-1");

  @BeforeEach
  void learnTheServiceTime() {
    entries.setTargets(1, 1);
    entries.targets.behave(this::answerLater);
    entries.answerOf(service.handle(call(Urgency.NORMAL)));
  }

  @Test
  void should_serve_urgent_requests_before_those_that_waited_longer() {
    service.handle(call(Urgency.NORMAL));
    CompletableFuture<RequestResponse> deferrable = service.handle(call(Urgency.DEFERRABLE));
    CompletableFuture<RequestResponse> urgent = service.handle(call(Urgency.URGENT));

    entries.time.advance(SERVICE_TIME.multipliedBy(2));

    assertThat(urgent).isDone();
    assertThat(deferrable).isNotDone();
  }

  @Test
  void should_shed_deferrable_requests_first_and_say_when_to_retry() {
    List<CompletableFuture<RequestResponse>> normal = calls(Urgency.NORMAL, 10);

    RequestResponse deferrable = entries.answerOf(service.handle(call(Urgency.DEFERRABLE)));

    assertThat(deferrable.code()).isEqualTo(ResultCode.OVERLOADED);
    assertThat(deferrable.retryAfterMillis()).isPositive();
    normal.forEach(answer -> assertThat(entries.answerOf(answer).code()).isEqualTo(ResultCode.OK));
  }

  @Test
  void should_shed_normal_requests_before_urgent_ones() {
    calls(Urgency.NORMAL, 22);

    RequestResponse normal = entries.answerOf(service.handle(call(Urgency.NORMAL)));
    RequestResponse urgent = entries.answerOf(service.handle(call(Urgency.URGENT)));

    assertThat(normal.code()).isEqualTo(ResultCode.OVERLOADED);
    assertThat(urgent.code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_refuse_unsent_what_cannot_be_answered_before_its_deadline() {
    int sentBefore = entries.targets.sent().size();

    RequestResponse answer =
        entries.answerOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(50)));

    assertThat(answer.code()).isEqualTo(ResultCode.DEADLINE_BEFORE_SEND);
    assertThat(entries.targets.sent()).hasSize(sentBefore);
  }

  @Test
  void should_try_again_when_an_estimate_that_is_too_long_has_faded() {
    entries.time.advance(Duration.ofSeconds(5));

    RequestResponse answer =
        entries.answerOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(200)));
    final RequestResponse tight =
        entries.answerOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(90)));
    entries.time.advance(Duration.ofSeconds(10));
    final int sentBefore = entries.targets.sent().size();
    entries.answerOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(90)));

    assertThat(answer.code()).isEqualTo(ResultCode.OK);
    assertThat(tight.code()).isNotEqualTo(ResultCode.OK);
    assertThat(entries.targets.sent()).hasSize(sentBefore + 1);
  }

  @Test
  void should_displace_a_deferrable_request_when_the_queue_is_full() {
    TestEntries others = new TestEntries();
    RequestService fresh = others.start("entry-1");
    others.setTargets(1, 1);
    others.targets.hold();
    fresh.handle(others.idempotent("running", Urgency.NORMAL));
    List<CompletableFuture<RequestResponse>> deferrable = new ArrayList<>();
    for (int count = 0; count < RequestSettings.DEFAULTS.queueLimit(); count++) {
      deferrable.add(fresh.handle(others.idempotent("waiting", Urgency.DEFERRABLE)));
    }

    CompletableFuture<RequestResponse> urgent =
        fresh.handle(others.idempotent("urgent", Urgency.URGENT));

    assertThat(urgent).isNotDone();
    assertThat(deferrable.getLast().join().code()).isEqualTo(ResultCode.OVERLOADED);
  }

  @Test
  void should_leave_a_target_alone_that_refuses() {
    entries.setTargets(2, 8);
    entries.targets.behave(
        sent ->
            sent.address().startsWith("worker-0")
                ? CompletableFuture.completedFuture(new TargetReply.Refused("busy"))
                : answerLater(sent));
    for (int count = 0; count < 40; count++) {
      entries.answerOf(service.handle(call(Urgency.NORMAL)));
    }

    assertThat(entries.targets.sent())
        .filteredOn(sent -> sent.address().startsWith("worker-0"))
        .hasSizeLessThan(12);
  }

  private CompletableFuture<TargetReply> answerLater(FakeTargets.Sent sent) {
    entries.time.schedule(SERVICE_TIME, () -> sent.reply().complete(new TargetReply.Answered("done")));
    return sent.reply();
  }

  private List<CompletableFuture<RequestResponse>> calls(Urgency urgency, int count) {
    List<CompletableFuture<RequestResponse>> answers = new ArrayList<>();
    for (int call = 0; call < count; call++) {
      answers.add(service.handle(call(urgency)));
    }
    return answers;
  }

  private RequestCall call(Urgency urgency) {
    return entries.idempotent("reading", urgency);
  }
}
