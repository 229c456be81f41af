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
 * Handles requests at one entry. Each caller receives the complete response to its own request, and
 * a non-idempotent request runs at most once across all entries.
 */
public final class RequestService {
  /** The delay before a call is forwarded again to an owner that is shutting down. */
  private static final Duration DRAINING_OWNER_RETRY_DELAY = Duration.ofMillis(100);

  private final Supplier<RoutingSnapshot> routing;
  private final EntryForwarder forwarder;
  private final String incarnation;
  private final InstantSource monotonic;
  private final RequestTimer timer;
  private final RequestSettings settings;
  private final RequestRefusals refusals;
  private final RequestMetrics requestMetrics;
  private final RequestRegistry registry;
  private final RequestIdentifiers identifiers;
  private final ClaimStrategy logClaims;
  private final ClaimStrategy issuedIdentifierClaims;
  private final OutcomeRecorder recorder;
  private final FreshnessCheck freshness;
  private final SlotQueue slots;
  private final ExecutionContext context;
  private final ActiveRequests activeRequests = new ActiveRequests();
  private volatile boolean draining;

  /**
   * Creates the service of one entry.
   *
   * @param controlPlane the scheduler to which claims and outcomes are proposed
   * @param routing supplies the latest routing view
   * @param client sends attempts to targets
   * @param forwarder forwards calls to other entries
   * @param incarnation the identifier of this entry, unique for each process start
   * @param clock the wall clock
   * @param monotonic a time source that never goes backwards
   * @param timer schedules actions
   * @param metrics the registry for metrics
   * @param settings the limits on request handling
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
    this.requestMetrics = new RequestMetrics(metrics);
    this.registry = new RequestRegistry(settings.outcomeLimit());
    this.identifiers = new RequestIdentifiers(incarnation, monotonic, settings);
    ClaimLog claimLog = new ClaimLog(controlPlane, settings.retryAfter().toMillis());
    this.logClaims = new LogClaimStrategy(claimLog, incarnation);
    this.issuedIdentifierClaims =
        new IssuedIdentifierClaimStrategy(identifiers, claimLog, incarnation, clock);
    this.recorder =
        new OutcomeRecorder(
            controlPlane, incarnation, timer, settings, metrics, registry::markRecorded);
    this.freshness = new FreshnessCheck(routing, monotonic, settings);
    this.slots =
        new SlotQueue(
            routing, new CreditPool(RandomGenerator.getDefault()), monotonic, timer, settings);
    this.context =
        new ExecutionContext(
            routing,
            slots,
            freshness,
            new RetryBudget(settings.retryBudgetRatio(), settings.retryBudgetCapacity()),
            client,
            new AttemptIdGenerator(incarnation),
            monotonic,
            timer,
            requestMetrics,
            settings);
  }

  /** Returns the issuer of request identifiers. */
  public RequestIdentifiers identifiers() {
    return identifiers;
  }

  /**
   * Handles a call from a caller.
   *
   * <p>The future never fails. Cancelling it means that the caller has disconnected: the request is
   * withdrawn if nothing was sent yet and no other caller is waiting for it.
   */
  public CompletableFuture<RequestResponse> handle(RequestCall call) {
    return process(call, true);
  }

  /** Handles a call that another entry forwarded because this entry owns the request. */
  public CompletableFuture<RequestResponse> handleForwarded(RequestCall call) {
    return process(call, false);
  }

  /**
   * Returns whether the number of attempts in flight at every worker is within the credits of the
   * latest routing view.
   */
  public boolean isWithinCredits() {
    return slots.isWithinCredits();
  }

  /** Returns whether the control state known to this entry is fresh enough to send requests. */
  public boolean hasFreshControlState() {
    return freshness.hasFreshControlState();
  }

  /** Must be called after the routing view changed. */
  public void routingChanged() {
    slots.dispatch();
  }

  /**
   * Refuses new requests and waits for those in progress.
   *
   * <p>The future completes when every request in progress has an outcome that is recorded in the
   * log, or after the timeout. On timeout, requests that were not sent yet are cancelled and
   * reported as not run.
   *
   * @param timeout the maximum time to wait
   */
  public CompletableFuture<DrainReport> drain(Duration timeout) {
    draining = true;
    CompletableFuture<DrainReport> report = new CompletableFuture<>();
    RequestTimer.Cancellable expiry = timer.schedule(timeout, () -> report.complete(abortDrain()));
    activeRequests
        .closeWhenEmpty()
        .thenCompose(empty -> recorder.flush())
        .thenCompose(flushed -> recorder.close())
        .thenAccept(flushed -> report.complete(new DrainReport(0, 0, 0)));
    report.whenComplete((result, failure) -> expiry.cancel());
    return report;
  }

  private DrainReport abortDrain() {
    List<TrackedRequest> unanswered = activeRequests.snapshot();
    for (TrackedRequest request : unanswered) {
      withdraw(request, refusals.shuttingDown(request.call()));
    }
    int unfinished = activeRequests.snapshot().size();
    return new DrainReport(unanswered.size() - unfinished, unfinished, recorder.backlog());
  }

  private CompletableFuture<RequestResponse> process(RequestCall call, boolean mayForward) {
    Duration timeAllowed = timeAllowedFor(call);
    Optional<TrackedRequest> known =
        call.idempotent() ? Optional.empty() : registry.find(call.key());
    if (known.isPresent()) {
      return await(known.get(), call, timeAllowed);
    }
    Optional<RequestResponse> refusal = refusal(call, timeAllowed);
    if (refusal.isPresent()) {
      return respond(call, toUnknownIfMayHaveRun(call, refusal.get()));
    }
    Instant deadline = monotonic.instant().plus(timeAllowed);
    TrackedRequest started = new TrackedRequest(call, deadline);
    TrackedRequest request =
        call.idempotent() ? started : registry.joinOrStart(call.key(), () -> started);
    CompletableFuture<RequestResponse> response = await(request, call, timeAllowed);
    if (request == started) {
      start(request, mayForward);
    }
    return response;
  }

  /**
   * Replaces a not-run response by an unknown outcome if an earlier call may have sent the request.
   */
  private RequestResponse toUnknownIfMayHaveRun(RequestCall call, RequestResponse refusal) {
    boolean mayHaveRun = !call.idempotent() && claimStrategyFor(call).mayHaveRun(call);
    return mayHaveRun && refusal.saysNotRun()
        ? refusals.earlierCallMayHaveRun(call, refusal)
        : refusal;
  }

  private Optional<RequestResponse> refusal(RequestCall call, Duration timeAllowed) {
    if (!timeAllowed.isPositive()) {
      return Optional.of(refusals.deadlineBeforeSend(call));
    }
    if (draining) {
      return Optional.of(refusals.shuttingDown(call));
    }
    if (!call.idempotent() && !registry.hasCapacity()) {
      return Optional.of(refusals.tooManyOutcomes(call));
    }
    return isOwnedElsewhere(call) ? Optional.empty() : localRefusal(call);
  }

  /**
   * Refuses before the claim if this entry cannot send the request: claiming without a slot would
   * bind the key to this entry.
   */
  private Optional<RequestResponse> localRefusal(RequestCall call) {
    Optional<RequestResponse> stale = freshness.refusal(call);
    return stale.isEmpty() && !slots.hasSlots() ? Optional.of(refusals.noTarget(call)) : stale;
  }

  /**
   * Returns whether another live entry issued the identifier of the request. That entry decides
   * about freshness, because its control state may be newer.
   */
  private boolean isOwnedElsewhere(RequestCall call) {
    return call.issued()
        && RequestIdentifiers.parse(call.requestId())
            .map(RequestIdentifiers.IssuedIdentifier::issuer)
            .filter(issuer -> !issuer.equals(incarnation))
            .filter(routing.get().view().entries()::containsKey)
            .isPresent();
  }

  private void start(TrackedRequest request, boolean mayForward) {
    if (!activeRequests.add(request)) {
      withdraw(
          request, toUnknownIfMayHaveRun(request.call(), refusals.shuttingDown(request.call())));
      return;
    }
    if (request.call().idempotent()) {
      new RequestExecution(request, context, response -> complete(request, response)).start();
      return;
    }
    ClaimStrategy strategy = claimStrategyFor(request.call());
    strategy
        .acquire(request.call())
        .thenAccept(decision -> onClaimDecision(request, strategy, decision, mayForward));
  }

  private void onClaimDecision(
      TrackedRequest request, ClaimStrategy strategy, ClaimDecision decision, boolean mayForward) {
    switch (decision) {
      case ClaimDecision.Owned owned -> execute(request, strategy);
      case ClaimDecision.Resolved resolved -> complete(request, resolved.response());
      case ClaimDecision.OwnedElsewhere elsewhere ->
          sendToOwner(request, strategy, elsewhere.incarnation(), mayForward);
    }
  }

  private void execute(TrackedRequest request, ClaimStrategy strategy) {
    request.markOwned();
    if (request.isWithdrawn()) {
      releaseClaim(request);
    } else {
      new RequestExecution(request, context, response -> completeOwned(request, strategy, response))
          .start();
    }
  }

  /**
   * Forwards to the owner. From then on the request may have run, so no response may state that it
   * did not.
   */
  private void sendToOwner(
      TrackedRequest request, ClaimStrategy strategy, String owner, boolean mayForward) {
    if (request.beginSend()) {
      forward(request, strategy, owner, mayForward);
    }
  }

  private void forward(
      TrackedRequest request, ClaimStrategy strategy, String owner, boolean mayForward) {
    String address = routing.get().view().entries().get(owner);
    if (address == null || !mayForward || owner.equals(incarnation)) {
      takeOver(request, strategy, owner, mayForward);
      return;
    }
    requestMetrics.forwarded().mark();
    long millisLeft = Duration.between(monotonic.instant(), request.deadline()).toMillis();
    forwarder
        .forward(owner, address, request.call().withDeadlineMillis(Math.max(1, millisLeft)))
        .whenComplete(
            (response, failure) -> {
              if (response == null) {
                takeOver(request, strategy, owner, mayForward);
              } else if (response.code() == ResultCode.SHUTTING_DOWN) {
                retryOwnerLater(request, strategy, owner, response);
              } else {
                complete(request, response);
              }
            });
  }

  /**
   * An owner that is shutting down has not sent the request. Once it has shut down, the log
   * determines the next owner.
   */
  private void retryOwnerLater(
      TrackedRequest request, ClaimStrategy strategy, String owner, RequestResponse refusal) {
    request.markUnsent();
    if (monotonic.instant().plus(DRAINING_OWNER_RETRY_DELAY).isBefore(request.deadline())) {
      timer.schedule(DRAINING_OWNER_RETRY_DELAY, () -> sendToOwner(request, strategy, owner, true));
    } else {
      withdraw(request, refusal);
    }
  }

  private void takeOver(
      TrackedRequest request, ClaimStrategy strategy, String owner, boolean mayForward) {
    strategy
        .takeOver(request.call(), owner)
        .thenAccept(decision -> onTakeOverDecision(request, decision, mayForward));
  }

  private void onTakeOverDecision(
      TrackedRequest request, ClaimDecision decision, boolean mayForward) {
    switch (decision) {
      case ClaimDecision.Owned owned -> {
        request.markUnsent();
        execute(request, logClaims);
      }
      case ClaimDecision.OwnedElsewhere elsewhere ->
          forward(request, logClaims, elsewhere.incarnation(), mayForward);
      case ClaimDecision.Resolved resolved -> complete(request, resolved.response());
    }
  }

  /** Completes a request that this entry owns. */
  private void completeOwned(
      TrackedRequest request, ClaimStrategy strategy, RequestResponse response) {
    if (!response.saysNotRun()) {
      registry.recordOutcome(request, strategy.tracksUsedKeys());
      request.outcome().complete(response);
      recorder.record(request.call(), response);
    } else if (request.withdraw()) {
      releaseClaim(request);
      complete(request, response);
    }
  }

  /** Completes a request without retaining its outcome. */
  private void complete(TrackedRequest request, RequestResponse response) {
    registry.remove(request);
    request.outcome().complete(response);
  }

  private CompletableFuture<RequestResponse> await(
      TrackedRequest request, RequestCall call, Duration timeAllowed) {
    Instant startedAt = monotonic.instant();
    CompletableFuture<RequestResponse> callerResponse = new CompletableFuture<>();
    request.addCaller();
    RequestTimer.Cancellable expiry =
        timer.schedule(timeAllowed, () -> expire(request, call, callerResponse));
    request.outcome().thenAccept(callerResponse::complete);
    callerResponse.whenComplete(
        (response, failure) -> {
          expiry.cancel();
          onCallerDone(request, response);
          recordResponse(call, response, startedAt);
        });
    return callerResponse;
  }

  private void expire(
      TrackedRequest request, RequestCall call, CompletableFuture<RequestResponse> callerResponse) {
    if (request.hasSingleCaller()) {
      withdraw(request, refusals.deadlineBeforeSend(call));
    }
    callerResponse.complete(refusals.noResponseInTime(call));
  }

  private void onCallerDone(TrackedRequest request, @Nullable RequestResponse response) {
    boolean last = request.removeCaller();
    if (last && response == null) {
      withdraw(request, refusals.callerDisconnected(request.call()));
    }
  }

  /** Completes a request if nothing was sent yet; otherwise has no effect. */
  private void withdraw(TrackedRequest request, RequestResponse response) {
    if (request.withdraw()) {
      releaseClaim(request);
      complete(request, response);
    }
  }

  private void releaseClaim(TrackedRequest request) {
    if (request.releaseOwnership()) {
      claimStrategyFor(request.call()).releaseClaim(request.call());
    }
  }

  private ClaimStrategy claimStrategyFor(RequestCall call) {
    return call.issued() ? issuedIdentifierClaims : logClaims;
  }

  private Duration timeAllowedFor(RequestCall call) {
    return Duration.ofMillis(
        Math.min(call.deadlineMillis(), settings.maximumDeadline().toMillis()));
  }

  private CompletableFuture<RequestResponse> respond(RequestCall call, RequestResponse response) {
    recordResponse(call, response, monotonic.instant());
    return CompletableFuture.completedFuture(response);
  }

  private void recordResponse(
      RequestCall call, @Nullable RequestResponse response, Instant startedAt) {
    ResultCode code = response == null ? ResultCode.CANCELLED : response.code();
    requestMetrics.recordResponse(
        call.urgency(), code, Duration.between(startedAt, monotonic.instant()));
  }
}
