package io.dragonflyturn.standin;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.jspecify.annotations.Nullable;

/** Runs the requests of a worker stand-in, limited by its slots, and records each attempt. */
final class RequestExecutor {
  private static final int UNAVAILABLE = 503;
  private static final String FAIL_BODY = "fail";

  private final Semaphore slots;
  private final WorkerFaultState faults;
  private final InstantSource clock;
  private final List<WorkerHistory.RequestRun> history = new ArrayList<>();
  private @Nullable RequestReply earlierReply;

  RequestExecutor(int requestSlots, WorkerFaultState faults, InstantSource clock) {
    this.slots = new Semaphore(requestSlots);
    this.faults = faults;
    this.clock = clock;
  }

  /** Runs a request, or refuses it if all slots are busy or the worker is leaving. */
  StandinAnswer serve(RequestCall call) throws InterruptedException {
    boolean leaving = faults.leaving();
    boolean accepted = !leaving && slots.tryAcquire();
    record(call, accepted, leaving);
    if (!accepted) {
      return StandinAnswer.json(UNAVAILABLE, reply(call, RequestReply.REFUSED, ""));
    }
    try {
      Thread.sleep(faults.serviceMillis());
    } finally {
      slots.release();
    }
    Thread.sleep(faults.delayMillis());
    return answer(run(call));
  }

  /** Returns all attempts received so far, including refused ones. */
  synchronized List<WorkerHistory.RequestRun> history() {
    return List.copyOf(history);
  }

  private static RequestReply run(RequestCall call) {
    if (call.body().equals(FAIL_BODY)) {
      return reply(call, RequestReply.FAILED, "The work failed.");
    }
    String answer = RequestReply.expectedAnswer(call.kind(), call.requestId(), call.body());
    return reply(call, RequestReply.ANSWERED, answer);
  }

  private synchronized StandinAnswer answer(RequestReply current) {
    RequestReply earlier = earlierReply;
    earlierReply = current;
    if (faults.consumeLostRequestAnswer()) {
      return StandinAnswer.LOST;
    }
    if (faults.consumeCrossedAnswer()) {
      return earlier == null ? StandinAnswer.LOST : StandinAnswer.json(earlier);
    }
    return StandinAnswer.json(current);
  }

  private synchronized void record(RequestCall call, boolean accepted, boolean leaving) {
    history.add(
        new WorkerHistory.RequestRun(
            call.requestId(),
            call.attemptId(),
            call.idempotent(),
            accepted,
            leaving,
            clock.millis()));
  }

  private static RequestReply reply(RequestCall call, String status, String answer) {
    return new RequestReply(call.attemptId(), call.requestId(), status, answer);
  }
}
