package io.dragonflyturn.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Drives two entries through calls, retries, cancels, and faults in any order. */
class RequestTruthProperties {
  private static final String SEED = "20260101";
  private static final int STEPS = 80;

  private final TestEntries entries = new TestEntries();
  private final List<RequestService> services =
      List.of(entries.start("entry-1"), entries.start("entry-2"));
  private final List<RequestCall> calls = new ArrayList<>();
  private final List<CompletableFuture<RequestResponse>> answers = new ArrayList<>();
  private final Map<FakeTargets.Sent, TargetReply> replies = new HashMap<>();
  private final List<RequestResponse> falseAnswers = new ArrayList<>();
  private boolean firstIsGone;

  @Property(tries = 100, seed = SEED)
  void should_send_at_most_once_and_say_not_run_only_of_what_did_not_run(@ForAll long course) {
    Random random = new Random(course);
    entries.targets.hold();
    for (int step = 0; step < STEPS; step++) {
      act(random);
      assertAtMostOnce();
      assertThat(falseAnswers).isEmpty();
    }
  }

  private void act(Random random) {
    switch (random.nextInt(16)) {
      case 0, 1 -> ask(entries.logged("key-" + calls.size()), random);
      case 2, 3 -> askIssued(random);
      case 4, 5, 6 -> retry(random);
      case 7 -> cancel(random);
      case 8, 9, 10 -> reply(random);
      case 11 -> entries.time.advance(Duration.ofMillis(random.nextInt(6_000)));
      case 12 -> entries.log.setOut(random.nextBoolean());
      case 13 -> entries.log.setLosesAnswers(random.nextInt(4) == 0);
      case 14 -> age(random);
      default -> stopFirst(random);
    }
  }

  private void askIssued(Random random) {
    RequestService issuer = services.get(firstIsGone ? 1 : random.nextInt(2));
    ask(entries.issued(issuer.identifiers().issue(TestEntries.CUSTOMER, 1).getFirst()), random);
  }

  private void retry(Random random) {
    if (!calls.isEmpty()) {
      ask(calls.get(random.nextInt(calls.size())), random);
    }
  }

  private void ask(RequestCall call, Random random) {
    calls.add(call);
    RequestService service = services.get(firstIsGone ? 1 : random.nextInt(2));
    CompletableFuture<RequestResponse> answer = service.handle(call);
    answers.add(answer);
    answer.thenAccept(given -> checkTruth(call, given));
  }

  private void cancel(Random random) {
    if (!answers.isEmpty()) {
      answers.get(random.nextInt(answers.size())).cancel(false);
    }
  }

  private void reply(Random random) {
    List<FakeTargets.Sent> open =
        entries.targets.sent().stream().filter(sent -> !replies.containsKey(sent)).toList();
    if (open.isEmpty()) {
      return;
    }
    FakeTargets.Sent sent = open.get(random.nextInt(open.size()));
    TargetReply reply =
        switch (random.nextInt(5)) {
          case 0 -> new TargetReply.Refused("busy");
          case 1 -> new TargetReply.NotConnected("closed");
          case 2 -> new TargetReply.AnswerLost("cut");
          case 3 -> new TargetReply.Failed("no battery");
          default -> new TargetReply.Answered("done " + sent.attempt().requestId());
        };
    replies.put(sent, reply);
    sent.reply().complete(reply);
  }

  private void age(Random random) {
    entries.setLogAge(Duration.ofSeconds(random.nextInt(2) * 3L), random.nextBoolean());
  }

  /** Drains the first entry, and takes it away with or without the drain's end. */
  private void stopFirst(Random random) {
    if (!firstIsGone && random.nextInt(4) == 0) {
      services.getFirst().drain(Duration.ofSeconds(1));
      entries.time.advance(Duration.ofMillis(random.nextInt(1_500)));
      entries.kill("entry-1");
      firstIsGone = true;
    }
  }

  private void assertAtMostOnce() {
    Map<String, Integer> runs = new HashMap<>();
    entries.targets.sent().stream()
        .filter(this::mayHaveRun)
        .forEach(sent -> runs.merge(sent.attempt().requestId(), 1, Integer::sum));
    assertThat(runs.values()).allSatisfy(count -> assertThat(count).isEqualTo(1));
  }

  /** A key of the caller's choice is left out: there, a refusal speaks of its own call alone. */
  private void checkTruth(RequestCall call, RequestResponse answer) {
    boolean saysNotRun = answer.code().certainty() == ResultCode.Certainty.NOT_RUN;
    boolean mayHaveRun =
        entries.targets.sent().stream()
            .filter(sent -> sent.attempt().requestId().equals(call.requestId()))
            .anyMatch(this::mayHaveRun);
    boolean wrongContent =
        answer.code().isSuccess() && !("done " + call.requestId()).equals(answer.answer());
    if ((call.issued() && saysNotRun && mayHaveRun) || wrongContent) {
      falseAnswers.add(answer);
    }
  }

  private boolean mayHaveRun(FakeTargets.Sent sent) {
    TargetReply reply = replies.get(sent);
    return !(reply instanceof TargetReply.Refused || reply instanceof TargetReply.NotConnected);
  }
}
