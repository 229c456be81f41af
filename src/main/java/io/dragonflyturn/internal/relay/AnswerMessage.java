package io.dragonflyturn.internal.relay;

import io.dragonflyturn.internal.intake.CallerAnswer;
import io.dragonflyturn.internal.intake.PeerAnswer;
import io.dragonflyturn.internal.workload.JobState;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The wire format of a peer's answer to a forwarded call.
 *
 * @param kind the kind of the answer, which decides which of the other components are used
 * @param configuration the configuration version with which the peer evaluated the call
 * @param phase the job's state; null in all other answers
 * @param number the number of waiting jobs, or the delay before a retry in seconds; otherwise 0
 * @param message what is invalid in a malformed call; otherwise empty
 */
record AnswerMessage(
    Kind kind, long configuration, @Nullable JobState phase, long number, String message) {
  /** The kinds of answers; one for each type of {@link CallerAnswer}. */
  enum Kind {
    ACCEPTED,
    PHASE,
    WAITING,
    NO_SUCH_JOB,
    NO_SUCH_QUEUE,
    UNKNOWN_KEY,
    MALFORMED,
    UNAVAILABLE,
    OUTCOME_UNKNOWN
  }

  static AnswerMessage of(PeerAnswer peerAnswer) {
    long version = peerAnswer.configuration();
    return switch (peerAnswer.answer()) {
      case CallerAnswer.Accepted accepted -> withoutData(Kind.ACCEPTED, version);
      case CallerAnswer.Phase current ->
          new AnswerMessage(Kind.PHASE, version, current.phase(), 0, "");
      case CallerAnswer.Waiting waiting ->
          new AnswerMessage(Kind.WAITING, version, null, waiting.jobs(), "");
      case CallerAnswer.NoSuchJob absent -> withoutData(Kind.NO_SUCH_JOB, version);
      case CallerAnswer.NoSuchQueue absent -> withoutData(Kind.NO_SUCH_QUEUE, version);
      case CallerAnswer.UnknownKey unknown -> withoutData(Kind.UNKNOWN_KEY, version);
      case CallerAnswer.Malformed malformed ->
          new AnswerMessage(Kind.MALFORMED, version, null, 0, malformed.message());
      case CallerAnswer.Unavailable unavailable ->
          new AnswerMessage(Kind.UNAVAILABLE, version, null, unavailable.retryAfterSeconds(), "");
      case CallerAnswer.OutcomeUnknown unknown -> withoutData(Kind.OUTCOME_UNKNOWN, version);
    };
  }

  private static AnswerMessage withoutData(Kind kind, long version) {
    return new AnswerMessage(kind, version, null, 0, "");
  }

  PeerAnswer answer() {
    return new PeerAnswer(callerAnswer(), configuration);
  }

  private CallerAnswer callerAnswer() {
    return switch (kind) {
      case ACCEPTED -> new CallerAnswer.Accepted();
      case PHASE -> new CallerAnswer.Phase(Objects.requireNonNull(phase));
      case WAITING -> new CallerAnswer.Waiting((int) number);
      case NO_SUCH_JOB -> new CallerAnswer.NoSuchJob();
      case NO_SUCH_QUEUE -> new CallerAnswer.NoSuchQueue();
      case UNKNOWN_KEY -> new CallerAnswer.UnknownKey();
      case MALFORMED -> new CallerAnswer.Malformed(message);
      case UNAVAILABLE -> new CallerAnswer.Unavailable(number);
      case OUTCOME_UNKNOWN -> new CallerAnswer.OutcomeUnknown();
    };
  }
}
