package io.dragonflyturn.internal.intake;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.dispatch.JobDirectory;
import io.dragonflyturn.internal.dispatch.LedgerKeys;
import io.dragonflyturn.internal.ledger.AppendOutcome;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.StoreContact;
import io.dragonflyturn.internal.ledger.WriterPosition;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.SubmittedJob;
import io.dragonflyturn.internal.workload.QueuePolicy;
import io.dragonflyturn.internal.workload.Recurrence;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class JobDeskTest {
  private static final QueuePolicy POLICY = new QueuePolicy("queue", "service", 1, 2, 3, 1_000);
  private static final JobContent CONTENT =
      new JobContent(
          "content",
          List.of(
              new StepSpecification(
                  1, Resources.NONE, 10, List.of(), false, false, false, "", "", 0, false, false)),
          Recurrence.NONE);
  private static final String ID = "00000000000000aa";

  private final ScheduledThreadPoolExecutor loop = new ScheduledThreadPoolExecutor(1);
  private final EventLog events =
      new EventLog(
          new PrintStream(OutputStream.nullOutputStream()), InstantSource.system(), "test");
  private final JobDirectory directory = new JobDirectory(InstantSource.system(), events);
  private final Store store = new Store();
  private final Map<String, String> peers = new LinkedHashMap<>(Map.of("self", "self:1"));
  private final Map<String, CompletableFuture<CallerAnswer>> peerAnswers = new HashMap<>();
  private final List<String> askedPeers = new ArrayList<>();
  private long peerConfiguration = 1;
  private long askedLeastConfiguration;
  private Duration silence = Duration.ZERO;

  @AfterEach
  void stopLoop() {
    loop.shutdownNow();
  }

  @Test
  void should_accept_a_job_once_it_is_stored() throws Exception {
    store.outcome = new AppendOutcome.Stored(0);

    assertThat(submit("key")).isEqualTo(new CallerAnswer.Accepted());
  }

  @Test
  void should_refuse_a_job_that_the_store_rejected() throws Exception {
    store.outcome = new AppendOutcome.Rejected();

    assertThat(submit("key")).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  @Test
  void should_not_say_that_a_job_was_refused_when_it_may_be_stored() throws Exception {
    store.outcome = new AppendOutcome.Unknown();

    assertThat(submit("key")).isEqualTo(new CallerAnswer.OutcomeUnknown());
  }

  @Test
  void should_refuse_at_once_while_the_store_is_silent() throws Exception {
    silence = Duration.ofSeconds(2);

    assertThat(submit("key")).isInstanceOf(CallerAnswer.Unavailable.class);
    assertThat(store.appends).isZero();
  }

  @Test
  void should_know_no_caller_without_a_key() throws Exception {
    assertThat(submit("other")).isEqualTo(new CallerAnswer.UnknownKey());
  }

  @Test
  void should_join_a_job_that_is_known() throws Exception {
    know();

    assertThat(submit("key")).isEqualTo(new CallerAnswer.Accepted());
    assertThat(store.appends).isZero();
  }

  @Test
  void should_tell_the_phase_of_a_job() throws Exception {
    know();

    CallerAnswer answer = ask(desk -> desk.answer(new CallerCall.ReadPhase(request("key"), ID)));

    assertThat(answer).isEqualTo(new CallerAnswer.Phase(JobState.QUEUED));
  }

  @Test
  void should_not_say_that_a_job_does_not_exist_while_records_may_be_missing() throws Exception {
    silence = Duration.ofSeconds(2);

    CallerAnswer answer = ask(desk -> desk.answer(new CallerCall.ReadPhase(request("key"), ID)));

    assertThat(answer).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  @Test
  void should_not_say_that_a_job_does_not_exist_as_soon_as_the_store_is_lost() throws Exception {
    silence = Duration.ofMillis(1);

    CallerAnswer answer = ask(desk -> desk.answer(new CallerCall.Cancel(request("key"), ID)));

    assertThat(answer).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  @Test
  void should_answer_by_a_peer_while_the_store_does_not_answer() throws Exception {
    silence = Duration.ofMillis(1);
    addPeer("one", CompletableFuture.completedFuture(new CallerAnswer.Accepted()));

    assertThat(submit("key")).isEqualTo(new CallerAnswer.Accepted());
    assertThat(store.appends).isZero();
    assertThat(askedPeers).containsExactly("one:1");
  }

  @Test
  void should_ask_another_peer_when_one_cannot_be_reached() throws Exception {
    silence = Duration.ofMillis(1);
    addPeer("gone", CompletableFuture.failedFuture(unreachable()));
    addPeer("there", CompletableFuture.completedFuture(new CallerAnswer.Phase(JobState.RUNNING)));

    CallerAnswer answer = ask(desk -> desk.answer(new CallerCall.ReadPhase(request("key"), ID)));

    assertThat(answer).isEqualTo(new CallerAnswer.Phase(JobState.RUNNING));
  }

  @Test
  void should_refuse_when_no_peer_could_be_reached() throws Exception {
    silence = Duration.ofSeconds(2);
    addPeer("gone", CompletableFuture.failedFuture(unreachable()));

    assertThat(submit("key")).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  @Test
  void should_not_say_that_a_job_was_refused_when_a_peer_may_have_taken_it() throws Exception {
    silence = Duration.ofSeconds(2);
    addPeer("silent", CompletableFuture.failedFuture(unanswered()));

    assertThat(submit("key")).isEqualTo(new CallerAnswer.OutcomeUnknown());
  }

  @Test
  void should_ask_a_peer_too_when_a_write_stays_without_an_outcome() throws Exception {
    store.neverAnswers = true;
    addPeer("one", CompletableFuture.completedFuture(new CallerAnswer.Accepted()));

    CallerRequest patient = new CallerRequest("host", "/jobs/" + ID, "key", 4_000);
    CallerAnswer answer = ask(desk -> desk.answer(new CallerCall.Submit(patient, ID, CONTENT)));

    assertThat(answer).isEqualTo(new CallerAnswer.Accepted());
    assertThat(askedPeers).containsExactly("one:1");
  }

  @Test
  void should_not_answer_a_peer_while_the_store_does_not_answer() throws Exception {
    silence = Duration.ofMillis(1);
    know();

    CallerAnswer answer =
        ask(
            desk ->
                desk.answerForPeer(new CallerCall.ReadPhase(request("key"), ID), 0)
                    .thenApply(PeerAnswer::answer));

    assertThat(answer).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  @Test
  void should_judge_no_call_by_an_older_configuration_than_a_peer_has_shown_for_it()
      throws Exception {
    know();
    silence = Duration.ofMillis(1);
    peerConfiguration = 5;
    addPeer("one", CompletableFuture.completedFuture(new CallerAnswer.Accepted()));
    JobDesk desk = desk();
    ask(unused -> desk.answer(new CallerCall.Cancel(request("key"), ID)));

    silence = Duration.ZERO;
    peers.remove("one");
    CallerAnswer answer = ask(unused -> desk.answer(new CallerCall.ReadPhase(request("key"), ID)));

    assertThat(answer).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  @Test
  void should_ask_peers_for_no_older_configuration_than_its_own() throws Exception {
    silence = Duration.ofMillis(1);
    addPeer("one", CompletableFuture.completedFuture(new CallerAnswer.Accepted()));

    submit("key");

    assertThat(askedLeastConfiguration).isEqualTo(1);
  }

  @Test
  void should_not_answer_a_peer_that_has_shown_a_newer_configuration() throws Exception {
    know();

    CallerAnswer answer =
        ask(
            desk ->
                desk.answerForPeer(new CallerCall.ReadPhase(request("key"), ID), 2)
                    .thenApply(PeerAnswer::answer));

    assertThat(answer).isInstanceOf(CallerAnswer.Unavailable.class);
  }

  private void addPeer(String name, CompletableFuture<CallerAnswer> answer) {
    peers.put(name, name + ":1");
    peerAnswers.put(name + ":1", answer);
  }

  private CompletableFuture<PeerAnswer> callPeer(
      String address, CallerCall call, long leastConfiguration, Duration timeout) {
    askedPeers.add(address);
    askedLeastConfiguration = leastConfiguration;
    return Objects.requireNonNull(peerAnswers.get(address))
        .thenApply(answer -> new PeerAnswer(answer, peerConfiguration));
  }

  private static DragonflyturnException unreachable() {
    return new DragonflyturnException(ResultCode.PEER_UNREACHABLE, "nobody listens");
  }

  private static DragonflyturnException unanswered() {
    return new DragonflyturnException(ResultCode.OUTCOME_UNKNOWN, "no answer came");
  }

  private void know() {
    directory.apply(
        new KeyedRecord(
            LedgerKeys.submission(ID),
            WorkloadCodec.encodeSubmission(
                new SubmittedJob(
                    ID, "customer", POLICY, 0, "content", CONTENT.steps(), Recurrence.NONE))));
  }

  private CallerAnswer submit(String key) throws Exception {
    return ask(desk -> desk.answer(new CallerCall.Submit(request(key), ID, CONTENT)));
  }

  private CallerAnswer ask(Question question) throws Exception {
    CompletableFuture<CallerAnswer> answer =
        loop.submit(() -> question.ask(desk())).get(5, TimeUnit.SECONDS);
    return answer.get(5, TimeUnit.SECONDS);
  }

  private static CallerRequest request(String key) {
    return new CallerRequest("host", "/jobs/" + ID, key, 400);
  }

  private JobDesk desk() {
    CallerConfiguration configuration =
        new CallerConfiguration(
            1,
            List.of(new CallerQueue("host", "/jobs/", false, POLICY)),
            Map.of("key", "customer"));
    StoreContact contact =
        new StoreContact() {
          @Override
          public boolean isListed() {
            return true;
          }

          @Override
          public boolean isReachable() {
            return silence.isZero();
          }

          @Override
          public Duration silence() {
            return silence;
          }
        };
    return new JobDesk(
        () -> configuration,
        directory,
        new SequencedWriter(store, "topic", "entry", 1, 1, true, loop, events),
        contact,
        new CallRelay(() -> peers, "self", this::callPeer, loop, InstantSource.system(), events),
        loop,
        InstantSource.system(),
        events);
  }

  private interface Question {
    CompletableFuture<CallerAnswer> ask(JobDesk desk);
  }

  /** Gives every append the same outcome. */
  private static final class Store implements RecordStore {
    private AppendOutcome outcome = new AppendOutcome.Rejected();
    private int appends;
    private boolean neverAnswers;

    @Override
    public CompletableFuture<AppendOutcome> append(
        String topic, WriterPosition position, OptionalLong end, List<KeyedRecord> records) {
      appends++;
      return neverAnswers ? new CompletableFuture<>() : CompletableFuture.completedFuture(outcome);
    }

    @Override
    public CompletableFuture<Slice> read(String topic, long from, Duration wait) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Page> newest(String topic, String afterKey) {
      return new CompletableFuture<>();
    }
  }
}
