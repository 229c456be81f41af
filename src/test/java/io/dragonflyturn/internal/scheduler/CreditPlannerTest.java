package io.dragonflyturn.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.request.ShutdownRecord;
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
  private List<EntryPresence> liveEntries = List.of();
  private final CreditPlanner planner = new CreditPlanner(() -> liveEntries, () -> now);
  private long sequence;

  @BeforeEach
  void prepareState() {
    apply(new ControlRecord.LeadershipClaimed("leader", 0), 0);
    Worker worker = new Worker("w", "127.0.0.1:1", "a", "a-1", 8, 30, 60_000, 8, false, Map.of());
    apply(new ControlRecord.WorkersListed(List.of(worker), List.of()), 1);
  }

  @Test
  void should_give_all_slots_to_a_single_entry() {
    liveEntries = List.of(settled("e1"));
    plan();

    assertThat(state.credits("e1")).containsEntry("w", 8);
  }

  @Test
  void should_give_a_second_entry_no_slots_until_the_first_uses_only_its_share() {
    liveEntries = List.of(settled("e1"));
    plan();
    liveEntries = List.of(unsettled("e1"), settled("e2"));
    plan();
    plan();

    assertThat(state.credits("e1")).containsEntry("w", 4);
    assertThat(state.credits("e2")).isEmpty();
  }

  @Test
  void should_move_slots_once_the_first_entry_uses_only_its_share() {
    liveEntries = List.of(settled("e1"));
    plan();
    liveEntries = List.of(unsettled("e1"), settled("e2"));
    plan();
    liveEntries = List.of(settled("e1"), settled("e2"));
    plan();

    assertThat(state.credits("e2")).containsEntry("w", 4);
  }

  @Test
  void should_reassign_the_slots_of_a_lost_entry_after_the_drain_time() {
    liveEntries = List.of(settled("e1"));
    plan();
    liveEntries = List.of(settled("e2"));
    plan();
    plan();
    assertThat(state.credits("e2")).isEmpty();

    now = now.plus(LONGER_THAN_ANY_DRAIN);
    plan();
    assertThat(state.credits("e2")).containsEntry("w", 8);
  }

  @Test
  void should_reassign_the_slots_of_an_entry_at_once_after_a_clean_shutdown() {
    liveEntries = List.of(settled("e1"));
    plan();
    apply(ShutdownRecord.of("e1"), 1);
    liveEntries = List.of(settled("e2"));
    plan();
    plan();

    assertThat(state.credits("e2")).containsEntry("w", 8);
  }

  @Test
  void should_give_no_slots_to_a_draining_entry() {
    liveEntries = List.of(new EntryPresence("e1", "127.0.0.1:1", true, hashOf("e1")));

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
    return new EntryPresence(entry, "127.0.0.1:1", false, hashOf(entry));
  }

  private static EntryPresence unsettled(String entry) {
    return new EntryPresence(entry, "127.0.0.1:1", false, 0);
  }

  private int hashOf(String entry) {
    return EntryPresence.hashOf(state.credits(entry));
  }
}
