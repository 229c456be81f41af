package io.dragonflyturn.internal.request;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlPlane;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Handles requests at one entry: each caller gets the whole answer to its own request, and a
 * non-idempotent request runs at most once over all entries.
 */
public final class RequestService {
  /** How long to wait before an owner that is stopping is asked again. */
  private static final Duration STOPPING_OWNER_PAUSE = Duration.ofMillis(100);

  private final Supplier<RoutingSnapshot> routing;
  private final EntryForwarder forwarder;
  private final String incarnation;
  private final InstantSource monotonic;
  private final RequestTimer timer;
  private final RequestSettings settings;
  private final RequestRefusals refusals;
  private final RequestCounters counters;
  private final RequestLedger ledger;
  private final RequestIdentifiers identifiers;
  private final RequestClaim loggedClaim;
  private final RequestClaim issuedClaim;
  private final OutcomeRecorder recorder;
  private final SendGate gate;
  private final SlotQueue slots;
  private final ExecutionContext context;
  private final ActiveRuns activeRuns = new ActiveRuns();
  private volatile boolean draining;

  /**
   * Creates the service of one entry.
   *
   * @param controlPlane the scheduler replica that takes claims and outcomes
   * @param routing the latest routing view with the time of its receipt
   * @param client sends attempts to targets
   * @param forwarder passes calls on to other entries
   * @param incarnation the incarnation of this entry, unique for each process start
   * @param clock the time of day
   * @param monotonic a time source that never goes back
   * @param timer runs later actions
   * @param metrics the registry for counters
   * @param settings the limits
   */
  public RequestService(
      ControlPlane controlPlane,
      Supplier<RoutingSnapshot> routing,
      TargetClient client,
      EntryForwarder forwarder,
      String incarnation,
      Clock clock,
      InstantSource monotonic,
      RequestTimer timer,
      MetricRegistry metrics,
      RequestSettings settings) {
    this.routing = routing;
    this.forwarder = forwarder;
    this.incarnation = incarnation;
    this.monotonic = monotonic;
    this.timer = timer;
    this.settings = settings;
    this.refusals = new RequestRefusals(settings.retryAfter());
    this.counters = new RequestCounters(metrics);
    this.ledger = new RequestLedger(settings.outcomeLimit());
    this.identifiers = new RequestIdentifiers(incarnation, monotonic, settings);
    ClaimLog claimLog = new ClaimLog(controlPlane, settings.retryAfter().toMillis());
    this.loggedClaim = new LoggedClaim(claimLog, incarnation);
    this.issuedClaim = new IssuedClaim(identifiers, claimLog, incarnation, clock);
    this.recorder =
        new OutcomeRecorder(
            controlPlane, incarnation, timer, settings, metrics, ledger::confirmRecorded);
    this.gate = new SendGate(routing, monotonic, settings);
    this.slots =
        new SlotQueue(
            routing, new CreditPool(RandomGenerator.getDefault()), monotonic, timer, settings);
    this.context =
        new ExecutionContext(
            routing,
            slots,
            gate,
            new RetryBudget(settings.retryBudgetRatio(), settings.retryBudgetCapacity()),
            client,
            new AttemptIds(incarnation),
            monotonic,
            timer,
            counters,
            settings);
  }

  /** Returns the issuer of request identifiers. */
  public RequestIdentifiers identifiers() {
    return identifiers;
  }

  /**
   * Handles a call. The future never fails; cancelling it says that the caller has gone away, and
   * withdraws the request where nothing was sent yet and nobody else waits for it.
   */
  public CompletableFuture<RequestResponse> handle(RequestCall call) {
    return serve(call, true);
  }

  /** Handles a call that another entry passed on because this entry owns the request. */
  public CompletableFuture<RequestResponse> handleForwarded(RequestCall call) {
    return serve(call, false);
  }

  /** Returns whether no more is in flight at any worker than the latest view allows. */
  public boolean holdsOnlyItsCredits() {
    return slots.holdsOnlyItsCredits();
  }

  /** Returns whether the news from the log is fresh enough to send requests. */
  public boolean hasFreshNews() {
    return gate.hasFreshNews();
  }

  /** Tells the service that there is a new routing view. */
  public void routingChanged() {
    slots.serve();
  }

  /**
   * Refuses new requests, and completes when those in progress have their outcome and the log has
   * it too, or when the time is over; what is unsent then is closed as not run.
   */
  public CompletableFuture<DrainReport> drain(Duration mostTime) {
    draining = true;
    CompletableFuture<DrainReport> report = new CompletableFuture<>();
    RequestTimer.Cancellable end = timer.schedule(mostTime, () -> report.complete(endDrain()));
    activeRuns
        .closeWhenEmpty()
        .thenCompose(empty -> recorder.flush())
        .thenCompose(flushed -> recorder.close())
        .thenAccept(flushed -> report.complete(new DrainReport(0, 0, 0)));
    report.whenComplete((result, failure) -> end.cancel());
    return report;
  }

  private DrainReport endDrain() {
    List<RequestRun> open = activeRuns.all();
    for (RequestRun run : open) {
      withdraw(run, refusals.stopping(run.call()));
    }
    int unfinished = activeRuns.all().size();
    return new DrainReport(open.size() - unfinished, unfinished, recorder.backlog());
  }

  private CompletableFuture<RequestResponse> serve(RequestCall call, boolean mayForward) {
    Duration allowed = allowedTime(call);
    Optional<RequestRun> known = call.idempotent() ? Optional.empty() : ledger.find(call.key());
    if (known.isPresent()) {
      return await(known.get(), call, allowed);
    }
    Optional<RequestResponse> refusal = refusal(call, allowed);
    if (refusal.isPresent()) {
      return answer(call, truthful(call, refusal.get()));
    }
    Instant deadline = monotonic.instant().plus(allowed);
    RequestRun started = new RequestRun(call, deadline);
    RequestRun run = call.idempotent() ? started : ledger.joinOrStart(call.key(), () -> started);
    CompletableFuture<RequestResponse> answer = await(run, call, allowed);
    if (run == started) {
      begin(run, mayForward);
    }
    return answer;
  }

  /** Says unknown in place of not run where an earlier call may have been sent. */
  private RequestResponse truthful(RequestCall call, RequestResponse refusal) {
    boolean mayHaveRun = !call.idempotent() && claimOf(call).mayHaveRun(call);
    return mayHaveRun && refusal.saysNotRun() ? refusals.mayHaveRun(call, refusal) : refusal;
  }

  private Optional<RequestResponse> refusal(RequestCall call, Duration allowed) {
    if (!allowed.isPositive()) {
      return Optional.of(refusals.deadlineBeforeSend(call));
    }
    if (draining) {
      return Optional.of(refusals.stopping(call));
    }
    if (!call.idempotent() && !ledger.hasRoom()) {
      return Optional.of(refusals.tooManyOutcomes(call));
    }
    return isOwnedElsewhere(call) ? Optional.empty() : refusalHere(call);
  }

  /** A claim without a slot would bind the key to an entry that cannot send it. */
  private Optional<RequestResponse> refusalHere(RequestCall call) {
    Optional<RequestResponse> stale = gate.refusal(call);
    return stale.isEmpty() && !slots.hasSlots() ? Optional.of(refusals.noTarget(call)) : stale;
  }

  /** The issuing entry decides by its own news, which may be newer. */
  private boolean isOwnedElsewhere(RequestCall call) {
    return call.issued()
        && RequestIdentifiers.parse(call.requestId())
            .map(RequestIdentifiers.IssuedIdentifier::issuer)
            .filter(issuer -> !issuer.equals(incarnation))
            .filter(routing.get().view().entries()::containsKey)
            .isPresent();
  }

  private void begin(RequestRun run, boolean mayForward) {
    if (!activeRuns.add(run)) {
      withdraw(run, truthful(run.call(), refusals.stopping(run.call())));
      return;
    }
    if (run.call().idempotent()) {
      new RequestExecution(run, context, answer -> end(run, answer)).start();
      return;
    }
    RequestClaim claim = claimOf(run.call());
    claim.acquire(run.call()).thenAccept(decision -> follow(run, claim, decision, mayForward));
  }

  private void follow(
      RequestRun run, RequestClaim claim, ClaimDecision decision, boolean mayForward) {
    switch (decision) {
      case ClaimDecision.Owned owned -> execute(run, claim);
      case ClaimDecision.Settled settled -> end(run, settled.answer());
      case ClaimDecision.OwnedElsewhere elsewhere ->
          followOwner(run, claim, elsewhere.incarnation(), mayForward);
    }
  }

  private void execute(RequestRun run, RequestClaim claim) {
    run.markOwned();
    if (run.isWithdrawn()) {
      releaseUnsent(run);
    } else {
      new RequestExecution(run, context, answer -> settle(run, claim, answer)).start();
    }
  }

  /** From here on the request may have run, so nothing says any more that it did not. */
  private void followOwner(RequestRun run, RequestClaim claim, String owner, boolean mayForward) {
    if (run.beginSend()) {
      forward(run, claim, owner, mayForward);
    }
  }

  private void forward(RequestRun run, RequestClaim claim, String owner, boolean mayForward) {
    String address = routing.get().view().entries().get(owner);
    if (address == null || !mayForward || owner.equals(incarnation)) {
      takeOver(run, claim, owner, mayForward);
      return;
    }
    counters.forwarded().mark();
    long millisLeft = Duration.between(monotonic.instant(), run.deadline()).toMillis();
    forwarder
        .forward(owner, address, run.call().withDeadlineMillis(Math.max(1, millisLeft)))
        .whenComplete(
            (answer, failure) -> {
              if (answer == null) {
                takeOver(run, claim, owner, mayForward);
              } else if (answer.code() == ResultCode.SHUTTING_DOWN) {
                askAgainLater(run, claim, owner, answer);
              } else {
                end(run, answer);
              }
            });
  }

  /** An owner that stops has sent nothing; once it has ended, the log names the next owner. */
  private void askAgainLater(
      RequestRun run, RequestClaim claim, String owner, RequestResponse refusal) {
    run.returnUnsent();
    if (monotonic.instant().plus(STOPPING_OWNER_PAUSE).isBefore(run.deadline())) {
      timer.schedule(STOPPING_OWNER_PAUSE, () -> followOwner(run, claim, owner, true));
    } else {
      withdraw(run, refusal);
    }
  }

  private void takeOver(RequestRun run, RequestClaim claim, String owner, boolean mayForward) {
    claim
        .takeOver(run.call(), owner)
        .thenAccept(decision -> followTakeOver(run, decision, mayForward));
  }

  private void followTakeOver(RequestRun run, ClaimDecision decision, boolean mayForward) {
    switch (decision) {
      case ClaimDecision.Owned owned -> {
        run.returnUnsent();
        execute(run, loggedClaim);
      }
      case ClaimDecision.OwnedElsewhere elsewhere ->
          forward(run, loggedClaim, elsewhere.incarnation(), mayForward);
      case ClaimDecision.Settled settled -> end(run, settled.answer());
    }
  }

  /** Ends a run that this entry owns. */
  private void settle(RequestRun run, RequestClaim claim, RequestResponse answer) {
    if (!answer.saysNotRun()) {
      ledger.remember(run, claim.remembersUse());
      run.outcome().complete(answer);
      recorder.record(run.call(), answer);
    } else if (run.withdraw()) {
      releaseUnsent(run);
      end(run, answer);
    }
  }

  /** Ends a run of which nothing is remembered here. */
  private void end(RequestRun run, RequestResponse answer) {
    ledger.forget(run);
    run.outcome().complete(answer);
  }

  private CompletableFuture<RequestResponse> await(
      RequestRun run, RequestCall call, Duration allowed) {
    Instant startedAt = monotonic.instant();
    CompletableFuture<RequestResponse> caller = new CompletableFuture<>();
    run.addCaller();
    RequestTimer.Cancellable expiry = timer.schedule(allowed, () -> expire(run, call, caller));
    run.outcome().thenAccept(caller::complete);
    caller.whenComplete(
        (answer, failure) -> {
          expiry.cancel();
          leave(run, answer);
          count(call, answer, startedAt);
        });
    return caller;
  }

  private void expire(RequestRun run, RequestCall call, CompletableFuture<RequestResponse> caller) {
    if (run.hasOneCaller()) {
      withdraw(run, refusals.deadlineBeforeSend(call));
    }
    caller.complete(refusals.noAnswerInTime(call));
  }

  private void leave(RequestRun run, @Nullable RequestResponse answer) {
    boolean last = run.removeCaller();
    if (last && answer == null) {
      withdraw(run, refusals.callerGone(run.call()));
    }
  }

  /** Closes a run where nothing was sent yet; does nothing else. */
  private void withdraw(RequestRun run, RequestResponse answer) {
    if (run.withdraw()) {
      releaseUnsent(run);
      end(run, answer);
    }
  }

  private void releaseUnsent(RequestRun run) {
    if (run.giveUpOwnership()) {
      claimOf(run.call()).releaseUnsent(run.call());
    }
  }

  private RequestClaim claimOf(RequestCall call) {
    return call.issued() ? issuedClaim : loggedClaim;
  }

  private Duration allowedTime(RequestCall call) {
    return Duration.ofMillis(
        Math.min(call.deadlineMillis(), settings.maximumDeadline().toMillis()));
  }

  private CompletableFuture<RequestResponse> answer(RequestCall call, RequestResponse answer) {
    count(call, answer, monotonic.instant());
    return CompletableFuture.completedFuture(answer);
  }

  private void count(RequestCall call, @Nullable RequestResponse answer, Instant startedAt) {
    ResultCode code = answer == null ? ResultCode.CANCELLED : answer.code();
    counters.answered(call.urgency(), code, Duration.between(startedAt, monotonic.instant()));
  }
}
