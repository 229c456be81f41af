package io.dragonflyturn.internal.relay;

import io.dragonflyturn.internal.intake.CallerAnswer;
import io.dragonflyturn.internal.intake.PeerAnswer;
import io.dragonflyturn.internal.workload.JobState;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a call in a message.
 *
 * @param configuration the version of the configuration that the call was judged by
 * @param phase the job's phase; null in all other answers
 * @param number the jobs that wait, or the seconds until the call may be repeated
 * @param message what is wrong with a call that cannot be read
 */
record AnswerForm(
    Kind kind, long configuration, @Nullable JobState phase, long number, String message) {
  /** The kinds of answers. */
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

  static AnswerForm of(PeerAnswer given) {
    long version = given.configuration();
    return switch (given.answer()) {
      case CallerAnswer.Accepted accepted -> plain(Kind.ACCEPTED, version);
      case CallerAnswer.Phase shown -> new AnswerForm(Kind.PHASE, version, shown.phase(), 0, "");
      case CallerAnswer.Waiting waiting ->
          new AnswerForm(Kind.WAITING, version, null, waiting.jobs(), "");
      case CallerAnswer.NoSuchJob none -> plain(Kind.NO_SUCH_JOB, version);
      case CallerAnswer.NoSuchQueue none -> plain(Kind.NO_SUCH_QUEUE, version);
      case CallerAnswer.UnknownKey unknown -> plain(Kind.UNKNOWN_KEY, version);
      case CallerAnswer.Malformed malformed ->
          new AnswerForm(Kind.MALFORMED, version, null, 0, malformed.message());
      case CallerAnswer.Unavailable unavailable ->
          new AnswerForm(Kind.UNAVAILABLE, version, null, unavailable.retryAfterSeconds(), "");
      case CallerAnswer.OutcomeUnknown unknown -> plain(Kind.OUTCOME_UNKNOWN, version);
    };
  }

  private static AnswerForm plain(Kind kind, long version) {
    return new AnswerForm(kind, version, null, 0, "");
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
