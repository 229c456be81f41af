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

class RequestServiceTest {
  private static final Duration STALE = Duration.ofSeconds(3);

  private final TestEntries entries = new TestEntries();
  private final RequestService service = entries.start("entry-1");

  @Test
  void should_refuse_a_logged_claim_unsent_when_the_log_is_out_for_all() {
    entries.setLogAge(STALE, true);

    RequestResponse answer = entries.answerOf(service.handle(entries.logged("key")));

    assertThat(answer.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(answer.retryAfterMillis()).isPositive();
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_go_on_with_issued_identifiers_when_the_log_is_out_for_all() {
    entries.setLogAge(STALE, true);
    entries.log.setOut(true);

    RequestResponse answer = entries.answerOf(service.handle(entries.issued(issue())));

    assertThat(answer.code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_go_on_with_idempotent_requests_when_the_log_is_out_for_all() {
    entries.setLogAge(STALE, true);

    RequestResponse answer = entries.answerOf(service.handle(idempotent(Urgency.NORMAL)));

    assertThat(answer.code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_send_nothing_when_this_entry_alone_has_no_news() {
    entries.setLogAge(STALE, false);

    RequestResponse issued = entries.answerOf(service.handle(entries.issued(issue())));
    RequestResponse idempotent = entries.answerOf(service.handle(idempotent(Urgency.URGENT)));

    assertThat(issued.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(idempotent.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_let_the_issuer_refuse_truly_when_both_entries_have_no_news() {
    RequestService issuer = entries.start("entry-a");
    RequestService other = entries.start("entry-b");
    String identifier = issuer.identifiers().issue(TestEntries.CUSTOMER, 1).getFirst();
    entries.setLogAge(STALE, false);

    RequestResponse answer = entries.answerOf(other.handle(entries.issued(identifier)));

    assertThat(answer.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_send_nothing_when_the_replica_itself_is_out_of_reach() {
    entries.setLogAge(STALE, true);
    entries.setReplicaAge(STALE);

    RequestResponse answer = entries.answerOf(service.handle(idempotent(Urgency.URGENT)));

    assertThat(answer.code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_send_nothing_when_the_news_grows_old_while_the_request_waits() {
    entries.targets.hold();
    entries.setTargets(1, 1);
    service.handle(idempotent(Urgency.NORMAL));
    CompletableFuture<RequestResponse> waiting = service.handle(entries.issued(issue()));

    entries.setLogAge(STALE, false);
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("done"));

    assertThat(entries.answerOf(waiting).code()).isEqualTo(ResultCode.CONTROL_STATE_STALE);
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @Test
  void should_record_the_outcome_when_the_log_is_back() {
    entries.setLogAge(STALE, true);
    entries.log.setOut(true);
    RequestCall call = entries.issued(issue());
    entries.answerOf(service.handle(call));

    entries.log.setOut(false);
    entries.time.advance(Duration.ofSeconds(2));

    assertThat(entries.log.records())
        .singleElement()
        .isInstanceOf(ControlRecord.RequestFinished.class);
  }

  @Test
  void should_not_send_under_a_claim_whose_acceptance_is_not_known() {
    entries.log.setLosesAnswers(true);

    RequestResponse answer = entries.answerOf(service.handle(entries.logged("key")));
    entries.log.setLosesAnswers(false);
    RequestResponse retry = entries.answerOf(service.handle(entries.logged("key")));

    assertThat(answer.code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(retry.code()).isEqualTo(ResultCode.OK);
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @Test
  void should_send_nothing_when_the_claim_is_accepted_after_the_deadline() {
    entries.log.delayBy(Duration.ofMillis(TestEntries.DEADLINE_MILLIS + 100));

    RequestResponse answer = entries.answerOf(service.handle(entries.logged("key")));
    entries.time.advance(Duration.ofSeconds(5));

    assertThat(answer.code()).isEqualTo(ResultCode.DEADLINE_BEFORE_SEND);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_send_nothing_new_to_a_target_that_left_the_view() {
    entries.targets.hold();
    entries.setTargets(2, 1);
    service.handle(idempotent(Urgency.NORMAL));
    service.handle(idempotent(Urgency.NORMAL));
    final CompletableFuture<RequestResponse> waiting = service.handle(entries.issued(issue()));
    FakeTargets.Sent leaving = sentTo("worker-1:80");
    FakeTargets.Sent staying = sentTo("worker-0:80");

    entries.setTargets(1, 1);
    leaving.reply().complete(new TargetReply.Answered("done"));
    int afterLeaving = entries.targets.sent().size();
    staying.reply().complete(new TargetReply.Answered("done"));
    entries.targets.sent().getLast().reply().complete(new TargetReply.Answered("done"));

    assertThat(afterLeaving).isEqualTo(2);
    assertThat(entries.answerOf(waiting).target()).isEqualTo("worker-0");
  }

  @Test
  void should_never_have_more_in_flight_than_credits_while_an_allotment_shrinks() {
    entries.targets.hold();
    entries.setTargets(1, 4);
    for (int sent = 0; sent < 8; sent++) {
      service.handle(entries.issued(issue()));
    }
    entries.setTargets(1, 2);

    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("done"));
    entries.targets.sent().get(1).reply().complete(new TargetReply.Answered("done"));
    int whileDraining = entries.targets.sent().size();
    entries.targets.sent().get(2).reply().complete(new TargetReply.Answered("done"));

    assertThat(whileDraining).isEqualTo(4);
    assertThat(entries.targets.sent()).hasSize(5);
  }

  @Test
  void should_keep_the_slot_of_a_lost_answer_until_the_target_is_done() {
    entries.setTargets(1, 1);
    entries.targets.always(new TargetReply.AnswerLost("cut"));
    entries.answerOf(service.handle(entries.issued(issue())));
    entries.targets.always(new TargetReply.Answered("done"));

    CompletableFuture<RequestResponse> next = service.handle(entries.issued(issue()));
    entries.time.advance(Duration.ofMillis(TestEntries.DEADLINE_MILLIS - 1));

    assertThat(next).isNotDone();
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @Test
  void should_hedge_an_idempotent_request_on_another_target() {
    entries.targets.hold();
    CompletableFuture<RequestResponse> answer = service.handle(idempotent(Urgency.NORMAL));

    entries.time.advance(RequestSettings.DEFAULTS.hedgeDelay());
    entries.targets.sent().getLast().reply().complete(new TargetReply.Answered("second"));

    assertThat(entries.answerOf(answer).answer()).isEqualTo("second");
    assertThat(entries.targets.sent()).hasSize(2);
    assertThat(entries.targets.sent())
        .extracting(FakeTargets.Sent::address)
        .doesNotHaveDuplicates();
  }

  @Test
  void should_stop_retries_when_the_budget_is_spent() {
    entries.targets.always(new TargetReply.AnswerLost("cut"));
    entries.setTargets(8, 100);
    int calls = 200;

    List<CompletableFuture<RequestResponse>> answers = new ArrayList<>();
    for (int call = 0; call < calls; call++) {
      answers.add(service.handle(idempotent(Urgency.NORMAL)));
      entries.time.advance(RequestSettings.DEFAULTS.maximumTargetBackoff());
    }

    int mostRetries =
        RequestSettings.DEFAULTS.retryBudgetCapacity()
            + (int) (calls * RequestSettings.DEFAULTS.retryBudgetRatio());
    assertThat(entries.targets.sent().size()).isBetween(calls, calls + mostRetries);
  }

  @Test
  void should_finish_requests_in_flight_and_refuse_new_ones_while_draining() {
    entries.targets.hold();
    RequestCall call = entries.issued(issue());
    CompletableFuture<RequestResponse> inFlight = service.handle(call);

    CompletableFuture<DrainReport> drain = service.drain(Duration.ofSeconds(30));
    RequestResponse refused = entries.answerOf(service.handle(entries.logged("new")));
    boolean doneEarly = drain.isDone();
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));

    assertThat(refused.code()).isEqualTo(ResultCode.SHUTTING_DOWN);
    assertThat(doneEarly).isFalse();
    assertThat(entries.answerOf(inFlight).answer()).isEqualTo("booked");
    assertThat(drain.join().complete()).isTrue();
    assertThat(entries.log.records()).hasSize(2);
  }

  @Test
  void should_let_another_entry_send_an_unused_identifier_of_a_drained_one() {
    final RequestService other = entries.start("entry-2");
    final RequestCall unused = entries.issued(issue());
    RequestCall used = entries.issued(issue());
    entries.answerOf(service.handle(used));
    service.drain(Duration.ofSeconds(30)).join();
    entries.kill("entry-1");

    RequestResponse first = entries.answerOf(other.handle(unused));
    RequestResponse retry = entries.answerOf(entries.start("entry-3").handle(unused));
    RequestResponse recorded = entries.answerOf(other.handle(used));

    assertThat(first.code()).isEqualTo(ResultCode.OK);
    assertThat(retry.code().isSuccess()).isTrue();
    assertThat(recorded.code()).isEqualTo(ResultCode.JOINED);
    assertThat(entries.targets.sent()).hasSize(2);
  }

  @Test
  void should_wait_for_a_draining_issuer_and_then_send_its_unused_identifier() {
    entries.targets.hold();
    final RequestService other = entries.start("entry-2");
    final RequestCall unused = entries.issued(issue());
    service.handle(entries.issued(issue()));
    CompletableFuture<DrainReport> drain = service.drain(Duration.ofSeconds(30));
    CompletableFuture<RequestResponse> waiting = other.handle(unused);
    entries.time.advance(Duration.ofSeconds(1));
    final boolean answeredEarly = waiting.isDone();
    entries.targets.sent().getFirst().reply().complete(new TargetReply.Answered("booked"));
    drain.join();
    entries.kill("entry-1");
    entries.targets.always(new TargetReply.Answered("booked later"));

    assertThat(answeredEarly).isFalse();
    assertThat(entries.answerOf(waiting).code()).isEqualTo(ResultCode.OK);
    assertThat(entries.targets.sent()).hasSize(2);
  }

  @Test
  void should_say_not_run_when_an_issuer_drains_beyond_the_deadline() {
    entries.targets.hold();
    RequestService other = entries.start("entry-2");
    final RequestCall unused = entries.issued(issue());
    service.handle(entries.issued(issue()));
    service.drain(Duration.ofSeconds(60));

    RequestResponse answer = entries.answerOf(other.handle(unused));

    assertThat(answer.saysNotRun()).as("%s", answer).isTrue();
    assertThat(entries.targets.sent()).hasSize(1);
  }

  @Test
  void should_claim_no_key_while_it_holds_no_slots() {
    entries.setTargets(2, 0);

    RequestResponse answer = entries.answerOf(service.handle(entries.logged("key")));

    assertThat(answer.code()).isEqualTo(ResultCode.NO_TARGET);
    assertThat(entries.log.records()).isEmpty();
  }

  @Test
  void should_not_send_an_unused_identifier_of_a_killed_entry() {
    RequestService other = entries.start("entry-2");
    RequestCall call = entries.issued(issue());
    entries.kill("entry-1");

    RequestResponse answer = entries.answerOf(other.handle(call));

    assertThat(answer.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_close_unsent_requests_as_not_run_when_the_drain_time_is_over() {
    entries.targets.hold();
    entries.setTargets(1, 1);
    service.handle(entries.issued(issue()));
    CompletableFuture<RequestResponse> waiting = service.handle(entries.issued(issue()));

    CompletableFuture<DrainReport> drain = service.drain(Duration.ofSeconds(1));
    entries.time.advance(Duration.ofSeconds(1));

    assertThat(waiting.join().code()).isEqualTo(ResultCode.SHUTTING_DOWN);
    assertThat(drain.join()).isEqualTo(new DrainReport(1, 1, 0));
  }

  @Test
  void should_refuse_an_identifier_that_was_never_issued() {
    RequestResponse answer = entries.answerOf(service.handle(entries.issued("entry-1.z.0")));

    assertThat(answer.code()).isEqualTo(ResultCode.MALFORMED_INPUT);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_refuse_an_identifier_that_was_not_used_in_time() {
    String identifier = issue();
    entries.time.advance(RequestSettings.DEFAULTS.identifierLifetime().plusSeconds(1));

    RequestResponse answer = entries.answerOf(service.handle(entries.issued(identifier)));

    assertThat(answer.code()).isEqualTo(ResultCode.STALE_REQUEST_KEY);
    assertThat(entries.targets.sent()).isEmpty();
  }

  @Test
  void should_not_send_again_when_the_outcome_is_evicted_from_memory() {
    RequestCall first = entries.issued(issue());
    entries.answerOf(service.handle(first));
    for (int other = 0; other < RequestSettings.DEFAULTS.outcomeLimit(); other++) {
      entries.answerOf(service.handle(entries.issued(issue())));
    }
    int sent = entries.targets.sent().size();

    RequestResponse retry = entries.answerOf(service.handle(first));

    assertThat(retry.code()).isEqualTo(ResultCode.JOINED);
    assertThat(entries.targets.sent()).hasSize(sent);
  }

  private FakeTargets.Sent sentTo(String address) {
    return entries.targets.sent().stream()
        .filter(sent -> sent.address().equals(address))
        .findFirst()
        .orElseThrow();
  }

  private List<String> identifiers = new ArrayList<>();

  private String issue() {
    if (identifiers.isEmpty()) {
      identifiers = new ArrayList<>(service.identifiers().issue(TestEntries.CUSTOMER, 256));
    }
    return identifiers.removeFirst();
  }

  private RequestCall idempotent(Urgency urgency) {
    return entries.idempotent("reading", urgency);
  }
}
