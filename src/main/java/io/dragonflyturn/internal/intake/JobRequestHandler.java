package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.dispatch.JobDirectory;
import io.dragonflyturn.internal.dispatch.JobEntry;
import io.dragonflyturn.internal.dispatch.LedgerKeys;
import io.dragonflyturn.internal.intake.CallerAnswer.Accepted;
import io.dragonflyturn.internal.intake.CallerAnswer.Malformed;
import io.dragonflyturn.internal.intake.CallerAnswer.NoSuchJob;
import io.dragonflyturn.internal.intake.CallerAnswer.NoSuchQueue;
import io.dragonflyturn.internal.intake.CallerAnswer.OutcomeUnknown;
import io.dragonflyturn.internal.intake.CallerAnswer.Phase;
import io.dragonflyturn.internal.intake.CallerAnswer.Unavailable;
import io.dragonflyturn.internal.intake.CallerAnswer.UnknownKey;
import io.dragonflyturn.internal.intake.CallerAnswer.Waiting;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.StoreStatus;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.policy.CustomerDirectory;
import io.dragonflyturn.internal.policy.CustomerTerms;
import io.dragonflyturn.internal.workload.SubmittedJob;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Handles calls of the job API. A submission is accepted only once it is stored, and refused only
 * if it is certain that it will never be stored; otherwise its outcome is reported as unknown.
 *
 * <p>While this instance cannot reach the store, calls are forwarded to a peer.
 *
 * <p>Not thread-safe: all methods must be called on the event loop.
 */
public final class JobRequestHandler {
  private static final byte[] CANCELLED = {1};
  private static final String TOO_LONG =
      "The job is too long to be stored; submit it with fewer steps or in several jobs.";
  private static final String BEYOND_LIMIT =
      "A step needs more at the same time than its customer may use over all workers; submit it"
          + " with smaller tasks or a smaller gang, or have the limit of the customer raised.";
  private static final long RETRY_AFTER_SECONDS = 1;

  /** How long a write may be pending before the call is also sent to a peer. */
  private static final long HEDGE_DELAY_MILLIS = 700;

  /** Writes are refused once the store has been unreachable for longer than this. */
  private static final Duration MAX_STORE_OUTAGE = Duration.ofMillis(500);

  /** The fraction of the caller's deadline after which a pending write is reported as unknown. */
  private static final double DEADLINE_FRACTION = 0.85;

  private final Supplier<@Nullable CallerConfiguration> configuration;
  private final CustomerDirectory customers;
  private final JobDirectory jobDirectory;
  private final SequencedWriter writer;
  private final StoreStatus storeStatus;
  private final CallForwarder callForwarder;
  private final ForwardedWrites forwardedWrites;
  private final ScheduledExecutorService eventLoop;
  private final InstantSource wallClock;
  private final EventLog events;
  private final Map<String, CompletableFuture<WriteResult>> pendingSubmissions = new HashMap<>();

  /**
   * The highest configuration version with which a peer evaluated a call that this instance
   * answered. No later call may be evaluated with a lower version, so that callers never see the
   * configuration go back.
   */
  private long newestSeenConfigurationVersion;

  /**
   * Creates a handler.
   *
   * @param configuration supplies the current configuration; null before the first one is read
   * @param customers what the current configuration grants customers
   * @param jobDirectory the jobs that this instance has read from the store
   * @param writer writes submissions and cancellations to the store
   * @param storeStatus how current {@code jobDirectory} is
   * @param callForwarder forwards calls to peers
   * @param eventLoop the event loop on which all methods are called
   * @param monotonicClock a clock that never goes back
   * @param wallClock the time of day, for submission times
   */
  public JobRequestHandler(
      Supplier<@Nullable CallerConfiguration> configuration,
      CustomerDirectory customers,
      JobDirectory jobDirectory,
      SequencedWriter writer,
      StoreStatus storeStatus,
      CallForwarder callForwarder,
      ScheduledExecutorService eventLoop,
      InstantSource monotonicClock,
      InstantSource wallClock,
      EventLog events) {
    this.configuration = configuration;
    this.customers = customers;
    this.jobDirectory = jobDirectory;
    this.writer = writer;
    this.storeStatus = storeStatus;
    this.callForwarder = callForwarder;
    this.forwardedWrites = new ForwardedWrites(monotonicClock);
    this.eventLoop = eventLoop;
    this.wallClock = wallClock;
    this.events = events;
  }

  /** Answers a call of a caller, by way of a peer if this instance cannot reach the store. */
  public CompletableFuture<CallerAnswer> answer(CallerCall call) {
    if (storeStatus.isReachable() && configurationVersion() >= newestSeenConfigurationVersion) {
      return withHedge(call, answerLocally(call));
    }
    return forward(call)
        .thenCompose(
            peerAnswer ->
                peerAnswer.map(this::acceptPeerAnswer).orElseGet(() -> answerWithoutPeers(call)));
  }

  private CompletableFuture<Optional<PeerAnswer>> forward(CallerCall call) {
    CompletableFuture<Optional<PeerAnswer>> outcome =
        callForwarder.forward(call, minConfigurationVersion());
    forwardedWrites.add(call, outcome);
    return outcome;
  }

  /**
   * Answers a call that no peer has answered, unless callers have already seen a newer
   * configuration than the one that this instance has read.
   */
  private CompletableFuture<CallerAnswer> answerWithoutPeers(CallerCall call) {
    return configurationVersion() >= newestSeenConfigurationVersion
        ? answerLocally(call)
        : refuse(ForwardedWrites.recordKey(call));
  }

  /**
   * Refuses a call that this instance has not carried out, unless it forwarded the call and a peer
   * may have carried it out.
   *
   * @param recordKey the key of the record that the call writes; null if it only reads
   */
  private CompletableFuture<CallerAnswer> refuse(@Nullable String recordKey) {
    Unavailable refusal = new Unavailable(RETRY_AFTER_SECONDS);
    return recordKey == null
        ? completed(refusal)
        : forwardedWrites.answerUnlessWritten(recordKey, refusal);
  }

  private CompletableFuture<CallerAnswer> acceptPeerAnswer(PeerAnswer answer) {
    newestSeenConfigurationVersion =
        Math.max(newestSeenConfigurationVersion, answer.configuration());
    return completed(answer.answer());
  }

  private long configurationVersion() {
    CallerConfiguration current = configuration.get();
    return current == null ? 0 : current.version();
  }

  private long minConfigurationVersion() {
    return Math.max(newestSeenConfigurationVersion, configurationVersion());
  }

  /**
   * Answers a call that a peer forwarded. The call is not forwarded again.
   *
   * @param minConfigurationVersion the lowest configuration version that the call may be evaluated
   *     with
   */
  public CompletableFuture<PeerAnswer> answerForPeer(
      CallerCall call, long minConfigurationVersion) {
    long version = configurationVersion();
    boolean current =
        storeStatus.isReachable()
            && version >= Math.max(minConfigurationVersion, newestSeenConfigurationVersion);
    CompletableFuture<CallerAnswer> answer =
        current ? answerLocally(call) : completed(new Unavailable(RETRY_AFTER_SECONDS));
    return answer.thenApply(forwardedAnswer -> new PeerAnswer(forwardedAnswer, version));
  }

  private CompletableFuture<CallerAnswer> answerLocally(CallerCall call) {
    return switch (call) {
      case CallerCall.Submit submit ->
          authorize(submit.request(), authorized -> storeSubmission(authorized, submit));
      case CallerCall.Cancel cancel ->
          authorize(cancel.request(), authorized -> storeCancellation(authorized, cancel.id()));
      case CallerCall.ReadState read ->
          authorize(read.request(), authorized -> completed(readState(read.id())));
      case CallerCall.CountWaiting count ->
          authorize(
              count.request(),
              authorized ->
                  completed(
                      new Waiting(
                          jobDirectory.countWaitingJobs(authorized.queue.policy().name()))));
    };
  }

  /** Also sends the call to a peer if its write stays pending; the first success is the answer. */
  private CompletableFuture<CallerAnswer> withHedge(
      CallerCall call, CompletableFuture<CallerAnswer> answer) {
    if (!answer.isDone()) {
      eventLoop.schedule(
          () -> hedgeToPeer(call, answer), HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
    return answer;
  }

  private void hedgeToPeer(CallerCall call, CompletableFuture<CallerAnswer> answer) {
    if (answer.isDone()) {
      return;
    }
    forward(call)
        .thenAccept(
            peerAnswer ->
                peerAnswer
                    .filter(forwardedAnswer -> forwardedAnswer.answer() instanceof Accepted)
                    .ifPresent(
                        forwardedAnswer ->
                            acceptPeerAnswer(forwardedAnswer).thenAccept(answer::complete)));
  }

  /** Selects the queue and authenticates the customer of a request before the action runs. */
  private CompletableFuture<CallerAnswer> authorize(
      CallerRequest request, AuthorizedAction action) {
    CallerConfiguration current = configuration.get();
    if (current == null || !storeStatus.isLoaded()) {
      return completed(new Unavailable(RETRY_AFTER_SECONDS));
    }
    CallerQueue queue = current.findQueue(request.host(), request.path());
    if (queue == null) {
      log("call-refused", request.path(), current, "no-such-queue");
      return completed(new NoSuchQueue());
    }
    String customer = current.customersByApiKey().get(request.key());
    if (customer == null && !queue.anonymous()) {
      log("call-refused", request.path(), current, "unknown-key");
      return completed(new UnknownKey());
    }
    return action.answer(
        new AuthorizedCall(request, queue, customer == null ? "" : customer, current));
  }

  private CompletableFuture<CallerAnswer> storeSubmission(
      AuthorizedCall call, CallerCall.Submit submit) {
    String id = submit.id();
    String recordKey = LedgerKeys.submission(id);
    JobContent content = submit.content();
    if (jobDirectory.job(id) != null) {
      log("job-joined", id, call.configuration, "known");
      return completed(new Accepted());
    }
    CompletableFuture<WriteResult> pendingWrite = pendingSubmissions.get(id);
    if (pendingWrite == null) {
      if (storeStatus.unreachableDuration().compareTo(MAX_STORE_OUTAGE) > 0) {
        log("job-refused", id, call.configuration, "store-silent");
        return refuse(recordKey);
      }
      SubmittedJob submission =
          new SubmittedJob(
              id,
              call.customer,
              call.queue.policy(),
              wallClock.millis(),
              content.specification(),
              content.steps(),
              content.recurrence());
      KeyedRecord submissionRecord =
          new KeyedRecord(recordKey, WorkloadCodec.encodeSubmission(submission));
      if (!writer.limits().accepts(submissionRecord)) {
        log("job-refused", id, call.configuration, "too-long");
        return forwardedWrites.answerUnlessWritten(recordKey, new Malformed(TOO_LONG));
      }
      CustomerTerms terms = customers.termsOf(call.customer);
      if (!content.steps().stream().allMatch(terms::canEverRun)) {
        log("job-refused", id, call.configuration, "beyond-customer-limit");
        return forwardedWrites.answerUnlessWritten(recordKey, new Malformed(BEYOND_LIMIT));
      }
      pendingWrite = writer.write(submissionRecord);
      pendingSubmissions.put(id, pendingWrite);
      pendingWrite.thenAccept(result -> pendingSubmissions.remove(id));
    }
    return answerWhenWritten("job", id, recordKey, call, pendingWrite);
  }

  private CompletableFuture<CallerAnswer> storeCancellation(AuthorizedCall call, String id) {
    JobEntry entry = jobDirectory.job(id);
    if (entry == null) {
      return completed(noSuchJob());
    }
    if (entry.state().isTerminal()) {
      return completed(new Accepted());
    }
    String recordKey = LedgerKeys.cancellation(id);
    if (storeStatus.unreachableDuration().compareTo(MAX_STORE_OUTAGE) > 0) {
      return refuse(recordKey);
    }
    CompletableFuture<WriteResult> pendingWrite =
        writer.write(new KeyedRecord(recordKey, CANCELLED));
    return answerWhenWritten("cancellation", id, recordKey, call, pendingWrite);
  }

  private CallerAnswer readState(String id) {
    JobEntry entry = jobDirectory.job(id);
    return entry == null ? noSuchJob() : new Phase(entry.state());
  }

  /**
   * Returns the answer for a job that is not in the directory. While the store is unreachable the
   * directory may be stale, so the job may exist.
   */
  private CallerAnswer noSuchJob() {
    return storeStatus.isReachable() ? new NoSuchJob() : new Unavailable(RETRY_AFTER_SECONDS);
  }

  /** Answers once the outcome of a write is known, or as unknown before the caller gives up. */
  private CompletableFuture<CallerAnswer> answerWhenWritten(
      String operation,
      String id,
      String recordKey,
      AuthorizedCall call,
      CompletableFuture<WriteResult> pendingWrite) {
    CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
    answer.thenAccept(
        given ->
            log(
                operation + outcomeName(given),
                id,
                call.configuration,
                call.queue.policy().name()));
    pendingWrite.thenCompose(result -> toAnswer(result, recordKey)).thenAccept(answer::complete);
    if (!answer.isDone()) {
      long timeoutMillis = (long) (call.request.deadlineMillis() * DEADLINE_FRACTION);
      eventLoop.schedule(
          () -> answer.complete(new OutcomeUnknown()), timeoutMillis, TimeUnit.MILLISECONDS);
    }
    return answer;
  }

  private CompletableFuture<CallerAnswer> toAnswer(WriteResult result, String recordKey) {
    return switch (result) {
      case STORED -> completed(new Accepted());
      case REFUSED, INVALID -> refuse(recordKey);
      case FENCED -> completed(new OutcomeUnknown());
    };
  }

  /** Returns the end of the event name for the answer that a caller was given. */
  private static String outcomeName(CallerAnswer answer) {
    return switch (answer) {
      case Accepted accepted -> "-STORED";
      case Unavailable unavailable -> "-REFUSED";
      default -> "-outcome-unknown";
    };
  }

  private void log(String event, String id, CallerConfiguration version, String detail) {
    events
        .event(event)
        .with("job", id)
        .with("configuration", version.version())
        .with("detail", detail)
        .with("storeSilentMillis", storeStatus.unreachableDuration().toMillis())
        .write();
  }

  private static CompletableFuture<CallerAnswer> completed(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }

  private interface AuthorizedAction {
    CompletableFuture<CallerAnswer> answer(AuthorizedCall call);
  }

  private record AuthorizedCall(
      CallerRequest request,
      CallerQueue queue,
      String customer,
      CallerConfiguration configuration) {}
}
