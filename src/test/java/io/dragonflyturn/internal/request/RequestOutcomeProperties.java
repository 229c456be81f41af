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

/** Tests two entries under random sequences of calls, retries, cancellations, and faults. */
class RequestOutcomeProperties {
  private static final String SEED = "20260101";
  private static final int STEPS = 80;

  private final EntryCluster cluster = new EntryCluster();
  private final List<RequestService> services =
      List.of(cluster.start("entry-1"), cluster.start("entry-2"));
  private final List<RequestCall> calls = new ArrayList<>();
  private final List<CompletableFuture<RequestResponse>> responses = new ArrayList<>();
  private final Map<FakeTargetClient.SentAttempt, TargetReply> replies = new HashMap<>();
  private final List<RequestResponse> incorrectResponses = new ArrayList<>();
  private boolean firstIsKilled;

  @Property(tries = 100, seed = SEED)
  void should_send_at_most_once_and_report_not_run_only_if_nothing_ran(@ForAll long scenarioSeed) {
    Random random = new Random(scenarioSeed);
    cluster.targets.holdAttempts();
    for (int step = 0; step < STEPS; step++) {
      performRandomAction(random);
      assertAtMostOnce();
      assertThat(incorrectResponses).isEmpty();
    }
  }

  private void performRandomAction(Random random) {
    switch (random.nextInt(16)) {
      case 0, 1 -> send(cluster.callWithKey("key-" + calls.size()), random);
      case 2, 3 -> sendWithIssuedIdentifier(random);
      case 4, 5, 6 -> retry(random);
      case 7 -> cancel(random);
      case 8, 9, 10 -> reply(random);
      case 11 -> cluster.clock.advance(Duration.ofMillis(random.nextInt(6_000)));
      case 12 -> cluster.controlPlane.setUnavailable(random.nextBoolean());
      case 13 -> cluster.controlPlane.setLosesResponses(random.nextInt(4) == 0);
      case 14 -> changeLogAge(random);
      default -> drainAndKillFirst(random);
    }
  }

  private void sendWithIssuedIdentifier(Random random) {
    RequestService issuer = services.get(firstIsKilled ? 1 : random.nextInt(2));
    send(
        cluster.callWithIssuedIdentifier(
            issuer.identifiers().issue(EntryCluster.CUSTOMER, 1).getFirst()),
        random);
  }

  private void retry(Random random) {
    if (!calls.isEmpty()) {
      send(calls.get(random.nextInt(calls.size())), random);
    }
  }

  private void send(RequestCall call, Random random) {
    calls.add(call);
    RequestService service = services.get(firstIsKilled ? 1 : random.nextInt(2));
    CompletableFuture<RequestResponse> response = service.handle(call);
    responses.add(response);
    response.thenAccept(received -> checkResponse(call, received));
  }

  private void cancel(Random random) {
    if (!responses.isEmpty()) {
      responses.get(random.nextInt(responses.size())).cancel(false);
    }
  }

  private void reply(Random random) {
    List<FakeTargetClient.SentAttempt> open =
        cluster.targets.sent().stream().filter(sent -> !replies.containsKey(sent)).toList();
    if (open.isEmpty()) {
      return;
    }
    FakeTargetClient.SentAttempt sent = open.get(random.nextInt(open.size()));
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

  private void changeLogAge(Random random) {
    cluster.setLogAge(Duration.ofSeconds(random.nextInt(2) * 3L), random.nextBoolean());
  }

  /** Drains the first entry and kills it before or after the drain has completed. */
  private void drainAndKillFirst(Random random) {
    if (!firstIsKilled && random.nextInt(4) == 0) {
      services.getFirst().drain(Duration.ofSeconds(1));
      cluster.clock.advance(Duration.ofMillis(random.nextInt(1_500)));
      cluster.kill("entry-1");
      firstIsKilled = true;
    }
  }

  private void assertAtMostOnce() {
    Map<String, Integer> runs = new HashMap<>();
    cluster.targets.sent().stream()
        .filter(this::mayHaveRun)
        .forEach(sent -> runs.merge(sent.attempt().requestId(), 1, Integer::sum));
    assertThat(runs.values()).allSatisfy(count -> assertThat(count).isEqualTo(1));
  }

  /**
   * Checks that a response is correct. Keys chosen by callers are exempt from the not-run check,
   * because a refusal of such a key only applies to its own call.
   */
  private void checkResponse(RequestCall call, RequestResponse response) {
    boolean saysNotRun = response.code().certainty() == ResultCode.Certainty.NOT_RUN;
    boolean mayHaveRun =
        cluster.targets.sent().stream()
            .filter(sent -> sent.attempt().requestId().equals(call.requestId()))
            .anyMatch(this::mayHaveRun);
    boolean wrongAnswer =
        response.code().isSuccess() && !("done " + call.requestId()).equals(response.answer());
    if ((call.issued() && saysNotRun && mayHaveRun) || wrongAnswer) {
      incorrectResponses.add(response);
    }
  }

  private boolean mayHaveRun(FakeTargetClient.SentAttempt sent) {
    TargetReply reply = replies.get(sent);
    return !(reply instanceof TargetReply.Refused || reply instanceof TargetReply.NotConnected);
  }
}
