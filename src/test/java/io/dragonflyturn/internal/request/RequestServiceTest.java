package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests request handling at entries with fresh and with stale control state, retries, and draining.
 */
class RequestServiceTest {
  private static final Duration STALE = Duration.ofSeconds(3);

  private final EntryCluster cluster = new EntryCluster();
  private final RequestService service = cluster.start("entry-1");

  @Test
  void should_refuse_a_caller_key_unsent_when_the_log_is_unavailable_to_all() {
    cluster.setLogAge(STALE, true);

    RequestResponse response = cluster.responseOf(service.handle(cluster.callWithKey("key")));

    assertThat(response.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(response.retryAfterMillis()).isPositive();
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_serve_issued_identifiers_when_the_log_is_unavailable_to_all() {
    cluster.setLogAge(STALE, true);
    cluster.controlPlane.setUnavailable(true);

    RequestResponse response =
        cluster.responseOf(service.handle(cluster.callWithIssuedIdentifier(issue())));

    assertThat(response.code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_serve_idempotent_requests_when_the_log_is_unavailable_to_all() {
    cluster.setLogAge(STALE, true);

    RequestResponse response = cluster.responseOf(service.handle(idempotentCall(Urgency.NORMAL)));

    assertThat(response.code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_send_nothing_when_only_this_entry_has_stale_control_state() {
    cluster.setLogAge(STALE, false);

    RequestResponse issued =
        cluster.responseOf(service.handle(cluster.callWithIssuedIdentifier(issue())));
    RequestResponse idempotent = cluster.responseOf(service.handle(idempotentCall(Urgency.URGENT)));

    assertThat(issued.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(idempotent.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_let_the_issuer_refuse_when_both_entries_have_stale_control_state() {
    RequestService issuer = cluster.start("entry-a");
    RequestService other = cluster.start("entry-b");
    String identifier = issuer.identifiers().issue(EntryCluster.CUSTOMER, 1).getFirst();
    cluster.setLogAge(STALE, false);

    RequestResponse response =
        cluster.responseOf(other.handle(cluster.callWithIssuedIdentifier(identifier)));

    assertThat(response.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_send_nothing_when_the_replica_is_unreachable() {
    cluster.setLogAge(STALE, true);
    cluster.setReplicaAge(STALE);

    RequestResponse response = cluster.responseOf(service.handle(idempotentCall(Urgency.URGENT)));

    assertThat(response.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_send_nothing_when_the_control_state_becomes_stale_while_waiting() {
    cluster.targets.holdAttempts();
    cluster.setTargets(1, 1);
    service.handle(idempotentCall(Urgency.NORMAL));
    CompletableFuture<RequestResponse> waiting =
        service.handle(cluster.callWithIssuedIdentifier(issue()));

    cluster.setLogAge(STALE, false);
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("done"));

    assertThat(cluster.responseOf(waiting).code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @Test
  void should_record_the_outcome_when_the_log_is_available_again() {
    cluster.setLogAge(STALE, true);
    cluster.controlPlane.setUnavailable(true);
    RequestCall call = cluster.callWithIssuedIdentifier(issue());
    cluster.responseOf(service.handle(call));

    cluster.controlPlane.setUnavailable(false);
    cluster.clock.advance(Duration.ofSeconds(2));

    assertThat(cluster.controlPlane.records())
        .singleElement()
        .isInstanceOf(ControlRecord.RequestFinished.class);
  }

  @Test
  void should_not_send_under_a_claim_whose_acceptance_is_unknown() {
    cluster.controlPlane.setLosesResponses(true);

    RequestResponse response = cluster.responseOf(service.handle(cluster.callWithKey("key")));
    cluster.controlPlane.setLosesResponses(false);
    RequestResponse retry = cluster.responseOf(service.handle(cluster.callWithKey("key")));

    assertThat(response.code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(retry.code()).isEqualTo(ResultCode.OK);
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @Test
  void should_send_nothing_when_the_claim_is_accepted_after_the_deadline() {
    cluster.controlPlane.setLatency(Duration.ofMillis(EntryCluster.DEADLINE_MILLIS + 100));

    RequestResponse response = cluster.responseOf(service.handle(cluster.callWithKey("key")));
    cluster.clock.advance(Duration.ofSeconds(5));

    assertThat(response.code()).isEqualTo(ResultCode.DEADLINE_BEFORE_SEND);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_send_nothing_new_to_a_target_that_left_the_view() {
    cluster.targets.holdAttempts();
    cluster.setTargets(2, 1);
    service.handle(idempotentCall(Urgency.NORMAL));
    service.handle(idempotentCall(Urgency.NORMAL));
    final CompletableFuture<RequestResponse> waiting =
        service.handle(cluster.callWithIssuedIdentifier(issue()));
    FakeTargetClient.SentAttempt leaving = sentTo("worker-1:80");
    FakeTargetClient.SentAttempt staying = sentTo("worker-0:80");

    cluster.setTargets(1, 1);
    leaving.reply().complete(new TargetReply.Answered("done"));
    int afterLeaving = cluster.targets.sent().size();
    staying.reply().complete(new TargetReply.Answered("done"));
    cluster.targets.sent().getLast().reply().complete(new TargetReply.Answered("done"));

    assertThat(afterLeaving).isEqualTo(2);
    assertThat(cluster.responseOf(waiting).target()).isEqualTo("worker-0");
  }

  @Test
  void should_never_have_more_in_flight_than_credits_while_an_allotment_shrinks() {
    cluster.targets.holdAttempts();
    cluster.setTargets(1, 4);
    for (int sent = 0; sent < 8; sent++) {
      service.handle(cluster.callWithIssuedIdentifier(issue()));
    }
    cluster.setTargets(1, 2);

    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("done"));
    cluster.targets.sent().get(1).reply().complete(new TargetReply.Answered("done"));
    int whileDraining = cluster.targets.sent().size();
    cluster.targets.sent().get(2).reply().complete(new TargetReply.Answered("done"));

    assertThat(whileDraining).isEqualTo(4);
    assertThat(cluster.targets.sent()).hasSize(5);
  }

  @Test
  void should_keep_the_slot_of_a_lost_answer_until_the_deadline() {
    cluster.setTargets(1, 1);
    cluster.targets.replyAlways(new TargetReply.AnswerLost("cut"));
    cluster.responseOf(service.handle(cluster.callWithIssuedIdentifier(issue())));
    cluster.targets.replyAlways(new TargetReply.Answered("done"));

    CompletableFuture<RequestResponse> next =
        service.handle(cluster.callWithIssuedIdentifier(issue()));
    cluster.clock.advance(Duration.ofMillis(EntryCluster.DEADLINE_MILLIS - 1));

    assertThat(next).isNotDone();
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @Test
  void should_hedge_an_idempotent_request_on_another_target() {
    cluster.targets.holdAttempts();
    CompletableFuture<RequestResponse> response = service.handle(idempotentCall(Urgency.NORMAL));

    cluster.clock.advance(RequestSettings.DEFAULT.hedgeDelay());
    cluster.targets.sent().getLast().reply().complete(new TargetReply.Answered("second"));

    assertThat(cluster.responseOf(response).answer()).isEqualTo("second");
    assertThat(cluster.targets.sent()).hasSize(2);
    assertThat(cluster.targets.sent())
        .extracting(FakeTargetClient.SentAttempt::address)
        .doesNotHaveDuplicates();
  }

  @Test
  void should_stop_retries_when_the_budget_is_spent() {
    cluster.targets.replyAlways(new TargetReply.AnswerLost("cut"));
    cluster.setTargets(8, 100);
    int calls = 200;

    List<CompletableFuture<RequestResponse>> responses = new ArrayList<>();
    for (int call = 0; call < calls; call++) {
      responses.add(service.handle(idempotentCall(Urgency.NORMAL)));
      cluster.clock.advance(RequestSettings.DEFAULT.maximumTargetBackoff());
    }

    int maximumRetries =
        RequestSettings.DEFAULT.retryBudgetCapacity()
            + (int) (calls * RequestSettings.DEFAULT.retryBudgetRatio());
    assertThat(cluster.targets.sent().size()).isBetween(calls, calls + maximumRetries);
  }

  @Test
  void should_finish_requests_in_flight_and_refuse_new_ones_while_draining() {
    cluster.targets.holdAttempts();
    RequestCall call = cluster.callWithIssuedIdentifier(issue());
    CompletableFuture<RequestResponse> inFlight = service.handle(call);

    CompletableFuture<DrainReport> drain = service.drain(Duration.ofSeconds(30));
    RequestResponse refused = cluster.responseOf(service.handle(cluster.callWithKey("new")));
    boolean doneEarly = drain.isDone();
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(refused.code()).isEqualTo(ResultCode.SHUTTING_DOWN);
    assertThat(doneEarly).isFalse();
    assertThat(cluster.responseOf(inFlight).answer()).isEqualTo("booked");
    assertThat(drain.join().isComplete()).isTrue();
    assertThat(cluster.controlPlane.records()).hasSize(2);
  }

  @Test
  void should_let_another_entry_send_an_unused_identifier_of_a_drained_one() {
    final RequestService other = cluster.start("entry-2");
    final RequestCall unused = cluster.callWithIssuedIdentifier(issue());
    RequestCall used = cluster.callWithIssuedIdentifier(issue());
    cluster.responseOf(service.handle(used));
    service.drain(Duration.ofSeconds(30)).join();
    cluster.kill("entry-1");

    RequestResponse first = cluster.responseOf(other.handle(unused));
    RequestResponse retry = cluster.responseOf(cluster.start("entry-3").handle(unused));
    RequestResponse recorded = cluster.responseOf(other.handle(used));

    assertThat(first.code()).isEqualTo(ResultCode.OK);
    assertThat(retry.code().isSuccess()).isTrue();
    assertThat(recorded.code()).isEqualTo(ResultCode.JOINED);
    assertThat(cluster.targets.sent()).hasSize(2);
  }

  @Test
  void should_wait_for_a_draining_issuer_and_then_send_its_unused_identifier() {
    cluster.targets.holdAttempts();
    final RequestService other = cluster.start("entry-2");
    final RequestCall unused = cluster.callWithIssuedIdentifier(issue());
    service.handle(cluster.callWithIssuedIdentifier(issue()));
    CompletableFuture<DrainReport> drain = service.drain(Duration.ofSeconds(30));
    CompletableFuture<RequestResponse> waiting = other.handle(unused);
    cluster.clock.advance(Duration.ofSeconds(1));
    final boolean answeredEarly = waiting.isDone();
    cluster.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));
    drain.join();
    cluster.kill("entry-1");
    cluster.targets.replyAlways(new TargetReply.Answered("booked later"));

    assertThat(answeredEarly).isFalse();
    assertThat(cluster.responseOf(waiting).code()).isEqualTo(ResultCode.OK);
    assertThat(cluster.targets.sent()).hasSize(2);
  }

  @Test
  void should_report_not_run_when_an_issuer_drains_beyond_the_deadline() {
    cluster.targets.holdAttempts();
    RequestService other = cluster.start("entry-2");
    final RequestCall unused = cluster.callWithIssuedIdentifier(issue());
    service.handle(cluster.callWithIssuedIdentifier(issue()));
    service.drain(Duration.ofSeconds(60));

    RequestResponse response = cluster.responseOf(other.handle(unused));

    assertThat(response.saysNotRun()).as("%s", response).isTrue();
    assertThat(cluster.targets.sent()).hasSize(1);
  }

  @Test
  void should_claim_no_key_without_slots() {
    cluster.setTargets(2, 0);

    RequestResponse response = cluster.responseOf(service.handle(cluster.callWithKey("key")));

    assertThat(response.code()).isEqualTo(ResultCode.NO_TARGET);
    assertThat(cluster.controlPlane.records()).isEmpty();
  }

  @Test
  void should_not_send_an_unused_identifier_of_a_killed_entry() {
    RequestService other = cluster.start("entry-2");
    RequestCall call = cluster.callWithIssuedIdentifier(issue());
    cluster.kill("entry-1");

    RequestResponse response = cluster.responseOf(other.handle(call));

    assertThat(response.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_cancel_unsent_requests_as_not_run_when_the_drain_times_out() {
    cluster.targets.holdAttempts();
    cluster.setTargets(1, 1);
    service.handle(cluster.callWithIssuedIdentifier(issue()));
    CompletableFuture<RequestResponse> waiting =
        service.handle(cluster.callWithIssuedIdentifier(issue()));

    CompletableFuture<DrainReport> drain = service.drain(Duration.ofSeconds(1));
    cluster.clock.advance(Duration.ofSeconds(1));

    assertThat(waiting.join().code()).isEqualTo(ResultCode.SHUTTING_DOWN);
    assertThat(drain.join()).isEqualTo(new DrainReport(1, 1, 0));
  }

  @Test
  void should_refuse_an_identifier_that_was_never_issued() {
    RequestResponse response =
        cluster.responseOf(service.handle(cluster.callWithIssuedIdentifier("entry-1.z.0")));

    assertThat(response.code()).isEqualTo(ResultCode.MALFORMED_INPUT);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_refuse_an_identifier_that_was_not_used_in_time() {
    String identifier = issue();
    cluster.clock.advance(RequestSettings.DEFAULT.identifierLifetime().plusSeconds(1));

    RequestResponse response =
        cluster.responseOf(service.handle(cluster.callWithIssuedIdentifier(identifier)));

    assertThat(response.code()).isEqualTo(ResultCode.STALE_REQUEST_KEY);
    assertThat(cluster.targets.sent()).isEmpty();
  }

  @Test
  void should_not_send_again_when_the_outcome_is_evicted_from_memory() {
    RequestCall first = cluster.callWithIssuedIdentifier(issue());
    cluster.responseOf(service.handle(first));
    for (int other = 0; other < RequestSettings.DEFAULT.outcomeLimit(); other++) {
      cluster.responseOf(service.handle(cluster.callWithIssuedIdentifier(issue())));
    }
    int sent = cluster.targets.sent().size();

    RequestResponse retry = cluster.responseOf(service.handle(first));

    assertThat(retry.code()).isEqualTo(ResultCode.JOINED);
    assertThat(cluster.targets.sent()).hasSize(sent);
  }

  private FakeTargetClient.SentAttempt sentTo(String address) {
    return cluster.targets.sent().stream()
        .filter(sent -> sent.address().equals(address))
        .findFirst()
        .orElseThrow();
  }

  private List<String> identifiers = new ArrayList<>();

  private String issue() {
    if (identifiers.isEmpty()) {
      identifiers = new ArrayList<>(service.identifiers().issue(EntryCluster.CUSTOMER, 256));
    }
    return identifiers.removeFirst();
  }

  private RequestCall idempotentCall(Urgency urgency) {
    return cluster.idempotentCall("reading", urgency);
  }
}
