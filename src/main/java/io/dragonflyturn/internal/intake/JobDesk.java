package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.dispatch.JobDirectory;
import io.dragonflyturn.internal.dispatch.JobEntry;
import io.dragonflyturn.internal.dispatch.LedgerKeys;
import io.dragonflyturn.internal.intake.CallerAnswer.Accepted;
import io.dragonflyturn.internal.intake.CallerAnswer.NoSuchJob;
import io.dragonflyturn.internal.intake.CallerAnswer.NoSuchQueue;
import io.dragonflyturn.internal.intake.CallerAnswer.OutcomeUnknown;
import io.dragonflyturn.internal.intake.CallerAnswer.Phase;
import io.dragonflyturn.internal.intake.CallerAnswer.Unavailable;
import io.dragonflyturn.internal.intake.CallerAnswer.UnknownKey;
import io.dragonflyturn.internal.intake.CallerAnswer.Waiting;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.StoreContact;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.workload.SubmittedJob;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Answers callers. A submission is accepted only when it is stored, and refused only when it never
 * will be. Used on the event loop only.
 */
public final class JobDesk {
  private static final byte[] CANCELLED = {1};
  private static final long RETRY_AFTER_SECONDS = 1;

  /** How long a write may be without an outcome before a peer is asked too, in milliseconds. */
  private static final long HEDGE_MILLIS = 700;

  /** A store that has been silent this long can take no submission now. */
  private static final Duration STORE_SILENCE = Duration.ofMillis(500);

  /** The share of the caller's deadline after which an outcome counts as unknown. */
  private static final double DEADLINE_SHARE = 0.85;

  private final Supplier<@Nullable CallerConfiguration> configuration;
  private final JobDirectory directory;
  private final SequencedWriter writer;
  private final StoreContact contact;
  private final CallRelay relay;
  private final ScheduledExecutorService loop;
  private final InstantSource timeOfDay;
  private final EventLog events;
  private final Map<String, CompletableFuture<WriteResult>> submitting = new HashMap<>();

  /** The newest version of the configuration that an answer of this instance was judged by. */
  private long shownConfiguration;

  /** Creates a desk over the jobs that this instance knows. */
  public JobDesk(
      Supplier<@Nullable CallerConfiguration> configuration,
      JobDirectory directory,
      SequencedWriter writer,
      StoreContact contact,
      CallRelay relay,
      ScheduledExecutorService loop,
      InstantSource timeOfDay,
      EventLog events) {
    this.configuration = configuration;
    this.directory = directory;
    this.writer = writer;
    this.contact = contact;
    this.relay = relay;
    this.loop = loop;
    this.timeOfDay = timeOfDay;
    this.events = events;
  }

  /** Answers a call; a peer answers it where this instance does not reach the store. */
  public CompletableFuture<CallerAnswer> answer(CallerCall call) {
    if (contact.isReachable() && configurationVersion() >= shownConfiguration) {
      return hedged(call, answerHere(call));
    }
    return relay
        .relay(call, leastConfiguration())
        .thenCompose(relayed -> relayed.map(this::shown).orElseGet(() -> answerWithoutPeers(call)));
  }

  /** An instance that has shown a newer configuration than its own judges no call by its own. */
  private CompletableFuture<CallerAnswer> answerWithoutPeers(CallerCall call) {
    return configurationVersion() >= shownConfiguration
        ? answerHere(call)
        : now(new Unavailable(RETRY_AFTER_SECONDS));
  }

  private CompletableFuture<CallerAnswer> shown(PeerAnswer answer) {
    shownConfiguration = Math.max(shownConfiguration, answer.configuration());
    return now(answer.answer());
  }

  private long configurationVersion() {
    CallerConfiguration current = configuration.get();
    return current == null ? 0 : current.version();
  }

  private long leastConfiguration() {
    return Math.max(shownConfiguration, configurationVersion());
  }

  /**
   * Answers a call that a peer passed on; it is not passed on again.
   *
   * @param leastConfiguration the oldest version of the configuration that may judge the call
   */
  public CompletableFuture<PeerAnswer> answerForPeer(CallerCall call, long leastConfiguration) {
    long version = configurationVersion();
    boolean current =
        contact.isReachable() && version >= Math.max(leastConfiguration, shownConfiguration);
    CompletableFuture<CallerAnswer> answer =
        current ? answerHere(call) : now(new Unavailable(RETRY_AFTER_SECONDS));
    return answer.thenApply(each -> new PeerAnswer(each, version));
  }

  private CompletableFuture<CallerAnswer> answerHere(CallerCall call) {
    return switch (call) {
      case CallerCall.Submit submit -> judge(submit.request(), known -> store(known, submit));
      case CallerCall.Cancel cancel ->
          judge(cancel.request(), known -> storeCancellation(known, cancel.id()));
      case CallerCall.ReadPhase read -> judge(read.request(), known -> now(phaseOf(read.id())));
      case CallerCall.CountWaiting count ->
          judge(
              count.request(),
              known -> now(new Waiting(directory.countWaitingJobs(known.queue.policy().name()))));
    };
  }

  /** Asks a peer too where a write stays without an outcome; the first success counts. */
  private CompletableFuture<CallerAnswer> hedged(
      CallerCall call, CompletableFuture<CallerAnswer> answer) {
    if (!answer.isDone()) {
      loop.schedule(() -> askPeer(call, answer), HEDGE_MILLIS, TimeUnit.MILLISECONDS);
    }
    return answer;
  }

  private void askPeer(CallerCall call, CompletableFuture<CallerAnswer> answer) {
    if (answer.isDone()) {
      return;
    }
    relay
        .relay(call, leastConfiguration())
        .thenAccept(
            relayed ->
                relayed
                    .filter(each -> each.answer() instanceof Accepted)
                    .ifPresent(each -> shown(each).thenAccept(answer::complete)));
  }

  private CompletableFuture<CallerAnswer> judge(CallerRequest request, Action action) {
    CallerConfiguration current = configuration.get();
    if (current == null || !contact.isListed()) {
      return now(new Unavailable(RETRY_AFTER_SECONDS));
    }
    CallerQueue queue = current.queueOf(request.host(), request.path());
    if (queue == null) {
      log("call-refused", request.path(), current, "no-such-queue");
      return now(new NoSuchQueue());
    }
    String customer = current.customersByKey().get(request.key());
    if (customer == null && !queue.anonymous()) {
      log("call-refused", request.path(), current, "unknown-key");
      return now(new UnknownKey());
    }
    return action.answer(new Call(request, queue, customer == null ? "" : customer, current));
  }

  private CompletableFuture<CallerAnswer> store(Call call, CallerCall.Submit submit) {
    String id = submit.id();
    JobContent content = submit.content();
    if (directory.job(id) != null) {
      log("job-joined", id, call.configuration, "known");
      return now(new Accepted());
    }
    CompletableFuture<WriteResult> writing = submitting.get(id);
    if (writing == null) {
      if (contact.silence().compareTo(STORE_SILENCE) > 0) {
        log("job-refused", id, call.configuration, "store-silent");
        return now(new Unavailable(RETRY_AFTER_SECONDS));
      }
      SubmittedJob submission =
          new SubmittedJob(
              id,
              call.customer,
              call.queue.policy(),
              timeOfDay.millis(),
              content.specification(),
              content.steps(),
              content.recurrence());
      writing =
          writer.write(
              new KeyedRecord(
                  LedgerKeys.submission(id), WorkloadCodec.encodeSubmission(submission)));
      submitting.put(id, writing);
      writing.thenAccept(result -> submitting.remove(id));
    }
    return outcome("job", id, call, writing);
  }

  private CompletableFuture<CallerAnswer> storeCancellation(Call call, String id) {
    JobEntry entry = directory.job(id);
    if (entry == null) {
      return now(unknownJob());
    }
    if (entry.state().isTerminal()) {
      return now(new Accepted());
    }
    if (contact.silence().compareTo(STORE_SILENCE) > 0) {
      return now(new Unavailable(RETRY_AFTER_SECONDS));
    }
    CompletableFuture<WriteResult> writing =
        writer.write(new KeyedRecord(LedgerKeys.cancellation(id), CANCELLED));
    return outcome("cancellation", id, call, writing);
  }

  private CallerAnswer phaseOf(String id) {
    JobEntry entry = directory.job(id);
    return entry == null ? unknownJob() : new Phase(entry.state());
  }

  /** An instance that may have missed records does not say that a job does not exist. */
  private CallerAnswer unknownJob() {
    return contact.isReachable() ? new NoSuchJob() : new Unavailable(RETRY_AFTER_SECONDS);
  }

  private CompletableFuture<CallerAnswer> outcome(
      String what, String id, Call call, CompletableFuture<WriteResult> writing) {
    CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
    writing.thenAccept(result -> answer.complete(answerOf(what, id, call, result)));
    if (!answer.isDone()) {
      long patience = (long) (call.request.deadlineMillis() * DEADLINE_SHARE);
      loop.schedule(() -> giveUp(what, id, call, answer), patience, TimeUnit.MILLISECONDS);
    }
    return answer;
  }

  private CallerAnswer answerOf(String what, String id, Call call, WriteResult result) {
    log(what + "-" + result, id, call.configuration, call.queue.policy().name());
    return switch (result) {
      case STORED -> new Accepted();
      case REFUSED -> new Unavailable(RETRY_AFTER_SECONDS);
      case FENCED -> new OutcomeUnknown();
    };
  }

  private void giveUp(String what, String id, Call call, CompletableFuture<CallerAnswer> answer) {
    if (answer.complete(new OutcomeUnknown())) {
      log(what + "-outcome-unknown", id, call.configuration, call.queue.policy().name());
    }
  }

  private void log(String event, String id, CallerConfiguration version, String detail) {
    events
        .event(event)
        .with("job", id)
        .with("configuration", version.version())
        .with("detail", detail)
        .with("storeSilentMillis", contact.silence().toMillis())
        .write();
  }

  private static CompletableFuture<CallerAnswer> now(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }

  private interface Action {
    CompletableFuture<CallerAnswer> answer(Call call);
  }

  private record Call(
      CallerRequest request,
      CallerQueue queue,
      String customer,
      CallerConfiguration configuration) {}
}
