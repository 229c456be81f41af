package io.dragonflyturn.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.request.ClosingRecord;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CreditPlannerTest {
  private static final Duration LONGER_THAN_ANY_DRAIN = Duration.ofSeconds(30);

  private final ControlState state = new ControlState(StateSettings.DEFAULT);
  private Instant now = Instant.EPOCH;
  private List<EntryPresence> live = List.of();
  private final CreditPlanner planner = new CreditPlanner(() -> live, () -> now);
  private long sequence;

  @BeforeEach
  void lead() {
    apply(new ControlRecord.LeadershipClaimed("leader", 0), 0);
    Worker worker = new Worker("w", "127.0.0.1:1", "a", "a-1", 8, 30, 60_000, 8, false, Map.of());
    apply(new ControlRecord.WorkersListed(List.of(worker), List.of()), 1);
  }

  @Test
  void should_give_a_lone_entry_all_slots() {
    live = List.of(settled("e1"));
    plan();

    assertThat(state.credits("e1")).containsEntry("w", 8);
  }

  @Test
  void should_let_a_second_entry_wait_until_the_first_keeps_to_its_share() {
    live = List.of(settled("e1"));
    plan();
    live = List.of(unsettled("e1"), settled("e2"));
    plan();
    plan();

    assertThat(state.credits("e1")).containsEntry("w", 4);
    assertThat(state.credits("e2")).isEmpty();
  }

  @Test
  void should_move_slots_once_the_first_entry_keeps_to_its_share() {
    live = List.of(settled("e1"));
    plan();
    live = List.of(unsettled("e1"), settled("e2"));
    plan();
    live = List.of(settled("e1"), settled("e2"));
    plan();

    assertThat(state.credits("e2")).containsEntry("w", 4);
  }

  @Test
  void should_return_the_slots_of_a_lost_entry_after_the_drain_time() {
    live = List.of(settled("e1"));
    plan();
    live = List.of(settled("e2"));
    plan();
    plan();
    assertThat(state.credits("e2")).isEmpty();

    now = now.plus(LONGER_THAN_ANY_DRAIN);
    plan();
    assertThat(state.credits("e2")).containsEntry("w", 8);
  }

  @Test
  void should_return_the_slots_of_an_entry_at_once_when_it_stopped_as_planned() {
    live = List.of(settled("e1"));
    plan();
    apply(ClosingRecord.of("e1"), 1);
    live = List.of(settled("e2"));
    plan();
    plan();

    assertThat(state.credits("e2")).containsEntry("w", 8);
  }

  @Test
  void should_give_a_draining_entry_nothing() {
    live = List.of(new EntryPresence("e1", "127.0.0.1:1", true, fingerprint("e1")));

    assertThat(planner.change(state)).isEmpty();
  }

  private void plan() {
    Optional<ControlRecord> change = planner.change(state);
    change.ifPresent(record -> apply(record, 1));
  }

  private void apply(ControlRecord record, long term) {
    sequence++;
    Envelope envelope = new Envelope("leader", sequence, sequence - 2, term, "r", 1_000, record);
    assertThat(state.apply(sequence - 1, envelope).code().isSuccess()).isTrue();
  }

  private EntryPresence settled(String entry) {
    return new EntryPresence(entry, "127.0.0.1:1", false, fingerprint(entry));
  }

  private static EntryPresence unsettled(String entry) {
    return new EntryPresence(entry, "127.0.0.1:1", false, 0);
  }

  private int fingerprint(String entry) {
    return EntryPresence.fingerprint(state.credits(entry));
  }
}
