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
 * Sends one request that this entry may send: waits for a slot, sends, and retries where that is
 * safe.
 *
 * <p>A non-idempotent request is sent again only after the target refused it or no connection was
 * made. The monitor of this object guards the counts; the result is given outside of it.
 */
final class RequestExecution {
  private final RequestRun run;
  private final RequestCall call;
  private final ExecutionContext context;
  private final Consumer<RequestResponse> onResult;
  private final Set<String> triedTargets = new HashSet<>();
  private int attempts;
  private int inFlight;
  private boolean lost;
  private boolean finished;

  RequestExecution(RequestRun run, ExecutionContext context, Consumer<RequestResponse> onResult) {
    this.run = run;
    this.call = run.call();
    this.context = context;
    this.onResult = onResult;
  }

  /** Starts the first attempt. */
  void start() {
    context.retryBudget().earn();
    requestSlot();
  }

  private void requestSlot() {
    context
        .slots()
        .request(new SlotRequest(call.urgency(), call.kind(), tried(), run.deadline()))
        .thenAccept(
            grant -> {
              switch (grant) {
                case SlotGrant.Granted granted -> send(granted.slot());
                case SlotGrant.Refused refused -> endAttempt(refusal(refused));
              }
            });
  }

  private void send(TargetSlot slot) {
    Optional<RequestResponse> obstacle = obstacle(slot);
    if (obstacle.isPresent()) {
      slot.release();
      endAttempt(obstacle.get());
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
    AttemptEnd end = new AttemptEnd(slot);
    RequestTimer.Cancellable lossTimer =
        context
            .timer()
            .schedule(
                timeLeft().plus(context.settings().lostAnswerGracePeriod()),
                () -> end.accept(new TargetReply.AnswerLost("No answer came in time.")));
    RequestTimer.Cancellable hedgeTimer = scheduleHedge();
    context
        .client()
        .send(slot.worker().address(), attempt)
        .whenComplete(
            (reply, failure) -> {
              hedgeTimer.cancel();
              lossTimer.cancel();
              end.accept(
                  reply == null ? new TargetReply.AnswerLost(String.valueOf(failure)) : reply);
            });
  }

  private synchronized boolean beginAttempt(TargetSlot slot) {
    if (finished || !run.beginSend()) {
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
    boolean useful;
    synchronized (this) {
      useful = !finished && inFlight == 1 && attempts < context.settings().attemptLimit();
    }
    if (useful && hasOtherTarget() && context.retryBudget().trySpend()) {
      context.counters().hedges().mark();
      requestSlot();
    }
  }

  private Optional<RequestResponse> obstacle(TargetSlot slot) {
    if (millisLeft() <= 0) {
      return Optional.of(
          refusal(
              ResultCode.DEADLINE_BEFORE_SEND,
              "The deadline passed before the request was sent; allow more time."));
    }
    return context.gate().refusal(call);
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
          endUnsent(refusal(ResultCode.TARGET_REFUSED, refused.message()));
      case TargetReply.NotConnected notConnected ->
          endUnsent(refusal(ResultCode.NO_TARGET, notConnected.message()));
      case TargetReply.AnswerLost answerLost -> endLost();
    }
  }

  private void endUnsent(RequestResponse answer) {
    synchronized (this) {
      inFlight--;
      if (inFlight == 0 && !lost) {
        run.returnUnsent();
      }
    }
    retryOrEnd(answer);
  }

  private void endLost() {
    context.counters().lostAnswers().mark();
    synchronized (this) {
      inFlight--;
      lost = true;
    }
    if (call.idempotent()) {
      retryOrEnd(unknown());
    } else {
      finish(unknown());
    }
  }

  private void retryOrEnd(RequestResponse answer) {
    boolean mayRetry;
    synchronized (this) {
      mayRetry = !finished && inFlight == 0 && attempts < context.settings().attemptLimit();
    }
    if (mayRetry && millisLeft() > 0 && hasOtherTarget() && context.retryBudget().trySpend()) {
      context.counters().retries().mark();
      requestSlot();
    } else {
      endAttempt(answer);
    }
  }

  /** Ends with an answer, unless another attempt is still out; a lost attempt makes it unknown. */
  private void endAttempt(RequestResponse answer) {
    boolean mayHaveRun;
    synchronized (this) {
      if (inFlight > 0) {
        return;
      }
      mayHaveRun = lost;
    }
    finish(mayHaveRun ? unknown() : answer);
  }

  private void finish(RequestResponse answer) {
    synchronized (this) {
      if (finished) {
        return;
      }
      finished = true;
    }
    onResult.accept(answer);
  }

  private boolean hasOtherTarget() {
    RoutingView view = context.routing().get().view();
    return CreditPool.slots(view, tried()) > 0;
  }

  private synchronized Set<String> tried() {
    return Set.copyOf(triedTargets);
  }

  private Duration timeLeft() {
    return Duration.between(context.monotonic().instant(), run.deadline());
  }

  private long millisLeft() {
    return timeLeft().toMillis();
  }

  private RequestResponse refusal(SlotGrant.Refused refused) {
    return RequestResponse.retryable(
        refused.code(), refused.message(), call.requestId(), refused.retryAfter().toMillis());
  }

  private RequestResponse refusal(ResultCode code, String message) {
    return RequestResponse.retryable(
        code, message, call.requestId(), context.settings().retryAfter().toMillis());
  }

  private RequestResponse unknown() {
    return RequestResponse.of(
        ResultCode.OUTCOME_UNKNOWN,
        "The answer of the target was lost; the request is not repeated.",
        call.requestId());
  }

  /** Takes the first end of one attempt and frees its slot when the target is done with it. */
  private final class AttemptEnd {
    private final TargetSlot slot;
    private final Instant sentAt = context.monotonic().instant();
    private final AtomicBoolean ended = new AtomicBoolean();

    AttemptEnd(TargetSlot slot) {
      this.slot = slot;
    }

    void accept(TargetReply reply) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      note(reply);
      Duration hold = timeLeft().plus(context.settings().lostAnswerGracePeriod());
      if (reply instanceof TargetReply.AnswerLost && hold.isPositive()) {
        context.timer().schedule(hold, slot::release);
      } else {
        slot.release();
      }
      onReply(reply, slot);
    }

    private void note(TargetReply reply) {
      String worker = slot.worker().name();
      switch (reply) {
        case TargetReply.Answered answered -> noteAnswer(worker);
        case TargetReply.Failed failed -> noteAnswer(worker);
        case TargetReply.Refused refused -> context.slots().noteFailure(worker);
        case TargetReply.NotConnected notConnected -> context.slots().noteFailure(worker);
        case TargetReply.AnswerLost answerLost -> context.slots().noteFailure(worker);
      }
    }

    private void noteAnswer(String worker) {
      Duration serviceTime = Duration.between(sentAt, context.monotonic().instant());
      context.slots().noteAnswer(worker, call.kind(), serviceTime);
    }
  }
}
