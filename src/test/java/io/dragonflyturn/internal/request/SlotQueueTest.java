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

/** Tests admission and the order in which slots are assigned, as callers observe them. */
class SlotQueueTest {
  private static final Duration SERVICE_TIME = Duration.ofMillis(100);

  private final EntryCluster cluster = new EntryCluster();
  private final RequestService service = cluster.start("entry-1");

  @BeforeEach
  void addServiceTimeSample() {
    cluster.setTargets(1, 1);
    cluster.targets.setBehavior(this::replyAfterServiceTime);
    cluster.responseOf(service.handle(call(Urgency.NORMAL)));
  }

  @Test
  void should_serve_urgent_requests_before_those_that_waited_longer() {
    service.handle(call(Urgency.NORMAL));
    CompletableFuture<RequestResponse> deferrable = service.handle(call(Urgency.DEFERRABLE));
    CompletableFuture<RequestResponse> urgent = service.handle(call(Urgency.URGENT));

    cluster.clock.advance(SERVICE_TIME.multipliedBy(2));

    assertThat(urgent).isDone();
    assertThat(deferrable).isNotDone();
  }

  @Test
  void should_shed_deferrable_requests_first_with_a_retry_delay() {
    List<CompletableFuture<RequestResponse>> normal = calls(Urgency.NORMAL, 10);

    RequestResponse deferrable = cluster.responseOf(service.handle(call(Urgency.DEFERRABLE)));

    assertThat(deferrable.code()).isEqualTo(ResultCode.OVERLOADED);
    assertThat(deferrable.retryAfterMillis()).isPositive();
    normal.forEach(
        response -> assertThat(cluster.responseOf(response).code()).isEqualTo(ResultCode.OK));
  }

  @Test
  void should_shed_normal_requests_before_urgent_ones() {
    calls(Urgency.NORMAL, 22);

    RequestResponse normal = cluster.responseOf(service.handle(call(Urgency.NORMAL)));
    RequestResponse urgent = cluster.responseOf(service.handle(call(Urgency.URGENT)));

    assertThat(normal.code()).isEqualTo(ResultCode.OVERLOADED);
    assertThat(urgent.code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_refuse_unsent_a_request_that_cannot_be_answered_before_its_deadline() {
    int sentBefore = cluster.targets.sent().size();

    RequestResponse response =
        cluster.responseOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(50)));

    assertThat(response.code()).isEqualTo(ResultCode.DEADLINE_BEFORE_SEND);
    assertThat(cluster.targets.sent()).hasSize(sentBefore);
  }

  @Test
  void should_admit_again_when_a_too_long_estimate_has_decayed() {
    cluster.clock.advance(Duration.ofSeconds(5));

    RequestResponse response =
        cluster.responseOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(200)));
    final RequestResponse tight =
        cluster.responseOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(90)));
    cluster.clock.advance(Duration.ofSeconds(10));
    final int sentBefore = cluster.targets.sent().size();
    cluster.responseOf(service.handle(call(Urgency.URGENT).withDeadlineMillis(90)));

    assertThat(response.code()).isEqualTo(ResultCode.OK);
    assertThat(tight.code()).isNotEqualTo(ResultCode.OK);
    assertThat(cluster.targets.sent()).hasSize(sentBefore + 1);
  }

  @Test
  void should_displace_a_deferrable_request_when_the_queue_is_full() {
    EntryCluster otherCluster = new EntryCluster();
    RequestService fresh = otherCluster.start("entry-1");
    otherCluster.setTargets(1, 1);
    otherCluster.targets.holdAttempts();
    fresh.handle(otherCluster.idempotentCall("running", Urgency.NORMAL));
    List<CompletableFuture<RequestResponse>> deferrable = new ArrayList<>();
    for (int count = 0; count < RequestSettings.DEFAULT.queueLimit(); count++) {
      deferrable.add(fresh.handle(otherCluster.idempotentCall("waiting", Urgency.DEFERRABLE)));
    }

    CompletableFuture<RequestResponse> urgent =
        fresh.handle(otherCluster.idempotentCall("urgent", Urgency.URGENT));

    assertThat(urgent).isNotDone();
    assertThat(deferrable.getLast().join().code()).isEqualTo(ResultCode.OVERLOADED);
  }

  @Test
  void should_back_off_from_a_target_that_refuses() {
    cluster.setTargets(2, 8);
    cluster.targets.setBehavior(
        sent ->
            sent.address().startsWith("worker-0")
                ? CompletableFuture.completedFuture(new TargetReply.Refused("busy"))
                : replyAfterServiceTime(sent));
    for (int count = 0; count < 40; count++) {
      cluster.responseOf(service.handle(call(Urgency.NORMAL)));
    }

    assertThat(cluster.targets.sent())
        .filteredOn(sent -> sent.address().startsWith("worker-0"))
        .hasSizeLessThan(12);
  }

  private CompletableFuture<TargetReply> replyAfterServiceTime(FakeTargetClient.SentAttempt sent) {
    cluster.clock.schedule(
        SERVICE_TIME, () -> sent.reply().complete(new TargetReply.Answered("done")));
    return sent.reply();
  }

  private List<CompletableFuture<RequestResponse>> calls(Urgency urgency, int count) {
    List<CompletableFuture<RequestResponse>> responses = new ArrayList<>();
    for (int call = 0; call < count; call++) {
      responses.add(service.handle(call(urgency)));
    }
    return responses;
  }

  private RequestCall call(Urgency urgency) {
    return cluster.idempotentCall("reading", urgency);
  }
}
