package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.RoutingView;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Executes one request that this entry may send: waits for a slot, sends an attempt, and retries if
 * that is safe.
 *
 * <p>A non-idempotent request is sent again only if the target refused the previous attempt or no
 * connection could be established. An idempotent request may also be hedged: a second attempt
 * starts while the first is still in flight.
 *
 * <p>The counters and flags are guarded by the monitor of this object. The response is passed on
 * without holding it.
 */
final class RequestExecution {
  private final TrackedRequest request;
  private final RequestCall call;
  private final ExecutionContext context;
  private final Consumer<RequestResponse> onResponse;
  private final Set<String> triedTargets = new HashSet<>();
  private int attempts;
  private int inFlight;
  private boolean answerLost;
  private boolean finished;

  RequestExecution(
      TrackedRequest request, ExecutionContext context, Consumer<RequestResponse> onResponse) {
    this.request = request;
    this.call = request.call();
    this.context = context;
    this.onResponse = onResponse;
  }

  /** Starts the first attempt. */
  void start() {
    context.retryBudget().deposit();
    requestSlot();
  }

  private void requestSlot() {
    context
        .slots()
        .request(
            new SlotRequest(call.urgency(), call.kind(), excludedTargets(), request.deadline()))
        .thenAccept(
            result -> {
              switch (result) {
                case SlotResult.Granted granted -> send(granted.slot());
                case SlotResult.Refused refused -> endAttempt(refusal(refused));
              }
            });
  }

  private void send(TargetSlot slot) {
    Optional<RequestResponse> refusal = sendRefusal(slot);
    if (refusal.isPresent()) {
      slot.release();
      endAttempt(refusal.get());
      return;
    }
    if (!beginAttempt(slot)) {
      slot.release();
      return;
    }
    RequestAttempt attempt =
        new RequestAttempt(
            context.attemptIds().next(),
            call.requestId(),
            call.kind(),
            call.idempotent(),
            millisLeft(),
            call.body());
    AttemptCompletion completion = new AttemptCompletion(slot);
    RequestTimer.Cancellable answerTimeout =
        context
            .timer()
            .schedule(
                timeLeft().plus(context.settings().lostAnswerGracePeriod()),
                () ->
                    completion.accept(
                        new TargetReply.AnswerLost("The target did not answer in time.")));
    RequestTimer.Cancellable hedgeTimer = scheduleHedge();
    context
        .client()
        .send(slot.worker().address(), attempt)
        .whenComplete(
            (reply, failure) -> {
              hedgeTimer.cancel();
              answerTimeout.cancel();
              completion.accept(
                  reply == null ? new TargetReply.AnswerLost(String.valueOf(failure)) : reply);
            });
  }

  private synchronized boolean beginAttempt(TargetSlot slot) {
    if (finished || !request.beginSend()) {
      return false;
    }
    attempts++;
    inFlight++;
    triedTargets.add(slot.worker().name());
    return true;
  }

  private RequestTimer.Cancellable scheduleHedge() {
    if (!call.idempotent()) {
      return () -> {};
    }
    return context.timer().schedule(context.settings().hedgeDelay(), this::hedge);
  }

  private void hedge() {
    boolean mayHedge;
    synchronized (this) {
      mayHedge = !finished && inFlight == 1 && attempts < context.settings().attemptLimit();
    }
    if (mayHedge && hasOtherTarget() && context.retryBudget().tryWithdraw()) {
      context.metrics().hedges().mark();
      requestSlot();
    }
  }

  private Optional<RequestResponse> sendRefusal(TargetSlot slot) {
    if (millisLeft() <= 0) {
      return Optional.of(
          refusal(
              ResultCode.DEADLINE_BEFORE_SEND,
              "The deadline passed before the request was sent; allow more time."));
    }
    return context.freshness().refusal(call);
  }

  private void onReply(TargetReply reply, TargetSlot slot) {
    switch (reply) {
      case TargetReply.Answered answered ->
          finish(
              new RequestResponse(
                  ResultCode.OK,
                  "",
                  call.requestId(),
                  answered.answer(),
                  slot.worker().name(),
                  null));
      case TargetReply.Failed failed ->
          finish(
              new RequestResponse(
                  ResultCode.RUN_AND_FAILED,
                  failed.message(),
                  call.requestId(),
                  null,
                  slot.worker().name(),
                  null));
      case TargetReply.Refused refused ->
          endNotRun(refusal(ResultCode.TARGET_REFUSED, refused.message()));
      case TargetReply.NotConnected notConnected ->
          endNotRun(refusal(ResultCode.NO_TARGET, notConnected.message()));
      case TargetReply.AnswerLost lost -> endAnswerLost();
    }
  }

  private void endNotRun(RequestResponse response) {
    synchronized (this) {
      inFlight--;
      if (inFlight == 0 && !answerLost) {
        request.markUnsent();
      }
    }
    retryOrEnd(response);
  }

  private void endAnswerLost() {
    context.metrics().lostAnswers().mark();
    synchronized (this) {
      inFlight--;
      answerLost = true;
    }
    if (call.idempotent()) {
      retryOrEnd(outcomeUnknown());
    } else {
      finish(outcomeUnknown());
    }
  }

  private void retryOrEnd(RequestResponse response) {
    boolean mayRetry;
    synchronized (this) {
      mayRetry = !finished && inFlight == 0 && attempts < context.settings().attemptLimit();
    }
    if (mayRetry && millisLeft() > 0 && hasOtherTarget() && context.retryBudget().tryWithdraw()) {
      context.metrics().retries().mark();
      requestSlot();
    } else {
      endAttempt(response);
    }
  }

  /**
   * Finishes with the given response, unless another attempt is still in flight. If the answer to
   * an earlier attempt was lost, the outcome is reported as unknown instead.
   */
  private void endAttempt(RequestResponse response) {
    boolean mayHaveRun;
    synchronized (this) {
      if (inFlight > 0) {
        return;
      }
      mayHaveRun = answerLost;
    }
    finish(mayHaveRun ? outcomeUnknown() : response);
  }

  private void finish(RequestResponse response) {
    synchronized (this) {
      if (finished) {
        return;
      }
      finished = true;
    }
    onResponse.accept(response);
  }

  private boolean hasOtherTarget() {
    RoutingView view = context.routing().get().view();
    return CreditPool.totalSlots(view, excludedTargets()) > 0;
  }

  private synchronized Set<String> excludedTargets() {
    return Set.copyOf(triedTargets);
  }

  private Duration timeLeft() {
    return Duration.between(context.monotonic().instant(), request.deadline());
  }

  private long millisLeft() {
    return timeLeft().toMillis();
  }

  private RequestResponse refusal(SlotResult.Refused refused) {
    return RequestResponse.retryable(
        refused.code(), refused.message(), call.requestId(), refused.retryAfter().toMillis());
  }

  private RequestResponse refusal(ResultCode code, String message) {
    return RequestResponse.retryable(
        code, message, call.requestId(), context.settings().retryAfter().toMillis());
  }

  private RequestResponse outcomeUnknown() {
    return RequestResponse.of(
        ResultCode.OUTCOME_UNKNOWN,
        "The answer of the target was lost; the request is not sent again.",
        call.requestId());
  }

  /**
   * Completes one attempt with the first reply or timeout, and releases its slot once the target is
   * no longer working on it.
   */
  private final class AttemptCompletion {
    private final TargetSlot slot;
    private final Instant sentAt = context.monotonic().instant();
    private final AtomicBoolean completed = new AtomicBoolean();

    AttemptCompletion(TargetSlot slot) {
      this.slot = slot;
    }

    void accept(TargetReply reply) {
      if (!completed.compareAndSet(false, true)) {
        return;
      }
      recordResult(reply);
      Duration releaseDelay = timeLeft().plus(context.settings().lostAnswerGracePeriod());
      if (reply instanceof TargetReply.AnswerLost && releaseDelay.isPositive()) {
        context.timer().schedule(releaseDelay, slot::release);
      } else {
        slot.release();
      }
      onReply(reply, slot);
    }

    private void recordResult(TargetReply reply) {
      String worker = slot.worker().name();
      switch (reply) {
        case TargetReply.Answered answered -> recordAnswer(worker);
        case TargetReply.Failed failed -> recordAnswer(worker);
        case TargetReply.Refused refused -> context.slots().recordFailure(worker);
        case TargetReply.NotConnected notConnected -> context.slots().recordFailure(worker);
        case TargetReply.AnswerLost lost -> context.slots().recordFailure(worker);
      }
    }

    private void recordAnswer(String worker) {
      Duration serviceTime = Duration.between(sentAt, context.monotonic().instant());
      context.slots().recordAnswer(worker, call.kind(), serviceTime);
    }
  }
}
