package io.dragonflyturn.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.intake.CallerAnswer;
import io.dragonflyturn.internal.intake.CallerCall;
import io.dragonflyturn.internal.intake.CallerRequest;
import io.dragonflyturn.internal.intake.JobContent;
import io.dragonflyturn.internal.intake.PeerAnswer;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.Recurrence;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CallMessagesTest {
  private static final CallerRequest REQUEST =
      new CallerRequest("host", "/jobs/00000000000000aa", "key", 400);
  private static final StepSpecification STEP =
      new StepSpecification(
          2, new Resources(1, 2, 3), 10, List.of(), true, true, true, "a", "r", 1, true, true);

  static Stream<CallerCall> calls() {
    JobContent content = new JobContent("text", List.of(STEP), new Recurrence(3, 4, 5));
    return Stream.of(
        new CallerCall.Submit(REQUEST, "aa", content),
        new CallerCall.Cancel(REQUEST, "aa"),
        new CallerCall.ReadState(REQUEST, "aa"),
        new CallerCall.CountWaiting(REQUEST));
  }

  static Stream<CallerAnswer> answers() {
    return Stream.of(
        new CallerAnswer.Accepted(),
        new CallerAnswer.Phase(JobState.RUNNING),
        new CallerAnswer.Waiting(7),
        new CallerAnswer.NoSuchJob(),
        new CallerAnswer.NoSuchQueue(),
        new CallerAnswer.UnknownKey(),
        new CallerAnswer.Malformed("the field"),
        new CallerAnswer.Unavailable(2),
        new CallerAnswer.OutcomeUnknown());
  }

  @ParameterizedTest
  @MethodSource("calls")
  void should_decode_an_encoded_call(CallerCall call) {
    byte[] message = MessagePackCodec.encode(CallMessage.of(call, 7));

    assertThat(MessagePackCodec.decode(message, CallMessage.class).call()).isEqualTo(call);
  }

  @ParameterizedTest
  @MethodSource("answers")
  void should_decode_an_encoded_answer(CallerAnswer answer) {
    PeerAnswer peerAnswer = new PeerAnswer(answer, 7);
    byte[] message = MessagePackCodec.encode(AnswerMessage.of(peerAnswer));

    assertThat(MessagePackCodec.decode(message, AnswerMessage.class).answer())
        .isEqualTo(peerAnswer);
  }
}
