package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;

/** Checks the control state against writers with stale views and an unreliable log. */
class ControlStateProperties {
  private static final int WRITERS = 4;
  private static final int RECORD_KINDS = 27;
  private static final int MIN_STEPS = 20;
  private static final int MAX_STEPS = 150;
  private static final List<Integer> GANG_KINDS = List.of(0, 5, 6, 8, 9, 10, 11, 12, 14, 15);
  private static final int ALL_BATCHES = Integer.MAX_VALUE / 2;

  /** Creates a leader, a configuration, workers, and jobs, so that random steps can place gangs. */
  private static final List<Step> SETUP_STEPS =
      List.of(
          setupStep(2, 2, 0),
          setupStep(0, 0, 0),
          setupStep(0, 18, 1),
          setupStep(0, 18, 2),
          setupStep(0, 18, 3),
          setupStep(3, 5, 1),
          setupStep(3, 5, 2),
          setupStep(3, 5, 3),
          setupStep(3, 5, 7),
          setupStep(0, 8, 0),
          setupStep(0, 8, 1));

  /** How an envelope is delivered to the log. */
  enum Delivery {
    IMMEDIATE,
    DUPLICATED,
    DELAYED,
    LOST
  }

  /** One proposal of one writer, and the number of batches that the writer reads before it. */
  record Step(int writer, int kind, int choice, int reads, Delivery delivery, int minutes) {}

  private static Step setupStep(int writer, int kind, int choice) {
    return new Step(writer, kind, choice, ALL_BATCHES, Delivery.IMMEDIATE, 0);
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Delivery> delivery =
        Arbitraries.frequency(
            Tuple.of(8, Delivery.IMMEDIATE),
            Tuple.of(2, Delivery.DUPLICATED),
            Tuple.of(2, Delivery.DELAYED),
            Tuple.of(1, Delivery.LOST));
    Arbitrary<Integer> reads = Arbitraries.of(0, 1, 3, ALL_BATCHES, ALL_BATCHES, ALL_BATCHES);
    return Combinators.combine(
            Arbitraries.integers().between(0, WRITERS - 1),
            Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.integers().between(0, RECORD_KINDS - 1)),
                Tuple.of(2, Arbitraries.of(GANG_KINDS))),
            Arbitraries.integers().between(0, 9),
            reads,
            delivery,
            Arbitraries.integers().between(-5, 10))
        .as(Step::new)
        .list()
        .ofMinSize(MIN_STEPS)
        .ofMaxSize(MAX_STEPS);
  }

  @Property(tries = 1000, seed = "4001", edgeCases = EdgeCasesMode.NONE)
  void should_preserve_all_invariants_and_restore_equal_replicas(
      @ForAll("steps") List<Step> steps, @ForAll int snapshotPosition) {
    List<Step> allSteps = new ArrayList<>(SETUP_STEPS);
    allSteps.addAll(steps);
    List<Envelope> log = run(allSteps);
    ControlState replayed = replay(new ControlState(SimulatedWriter.SETTINGS), log, 0);
    int splitIndex = Math.floorMod(snapshotPosition, log.size() + 1);

    ControlState partial =
        replay(new ControlState(SimulatedWriter.SETTINGS), log.subList(0, splitIndex), 0);
    byte[] snapshot = partial.snapshot().encode();
    ControlState restored =
        ControlState.restore(SimulatedWriter.SETTINGS, StateSnapshot.decode(snapshot));
    assertThat(restored.snapshot().encode()).as("restored bytes").isEqualTo(snapshot);
    replay(restored, log.subList(splitIndex, log.size()), splitIndex);

    assertThat(restored.snapshot().encode()).isEqualTo(replayed.snapshot().encode());
  }

  private static List<Envelope> run(List<Step> steps) {
    List<SimulatedWriter> writers = new ArrayList<>();
    for (int index = 0; index < WRITERS; index++) {
      writers.add(new SimulatedWriter("writer" + index));
    }
    StateInvariants checkedState = new StateInvariants(new ControlState(SimulatedWriter.SETTINGS));
    List<Envelope> log = new ArrayList<>();
    ArrayDeque<Envelope> delayed = new ArrayDeque<>();
    long nowMillis = 0;
    for (Step step : steps) {
      nowMillis += Duration.ofMinutes(step.minutes()).toMillis();
      SimulatedWriter writer =
          writers.get(step.kind() >= 8 && step.kind() <= 15 ? step.writer() % 2 : step.writer());
      writer.catchUp(log, step.reads());
      deliver(writer.propose(step.kind(), step.choice(), nowMillis), step, log, delayed);
    }
    log.addAll(delayed);
    for (int offset = 0; offset < log.size(); offset++) {
      checkedState.apply(offset, log.get(offset));
    }
    Statistics.label("reservations").collect(Math.min(checkedState.reservations(), 5));
    Statistics.label("unstoppable reservations")
        .collect(Math.min(checkedState.unstoppableReservations(), 5));
    return log;
  }

  private static void deliver(
      Envelope envelope, Step step, List<Envelope> log, ArrayDeque<Envelope> delayed) {
    if (step.delivery() == Delivery.IMMEDIATE || step.delivery() == Delivery.DUPLICATED) {
      log.add(envelope);
    }
    if (step.delivery() == Delivery.DELAYED || step.delivery() == Delivery.DUPLICATED) {
      delayed.add(envelope);
    }
    if (step.choice() % 4 == 0 && !delayed.isEmpty()) {
      log.add(delayed.removeFirst());
    }
  }

  private static ControlState replay(ControlState state, List<Envelope> log, int firstOffset) {
    for (int index = 0; index < log.size(); index++) {
      state.apply(firstOffset + index, log.get(index));
    }
    return state;
  }
}
