package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.AppendOutcome;
import io.dragonflyturn.internal.ledger.AppendOutcome.EndMoved;
import io.dragonflyturn.internal.ledger.AppendOutcome.Fenced;
import io.dragonflyturn.internal.ledger.AppendOutcome.OutOfSequence;
import io.dragonflyturn.internal.ledger.AppendOutcome.Rejected;
import io.dragonflyturn.internal.ledger.AppendOutcome.Stored;
import io.dragonflyturn.internal.ledger.AppendOutcome.Unknown;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.ledger.WriterPosition;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.time.InstantSource;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Takes the lead where the leader has been silent in the jobs topic.
 *
 * <p>A candidate appends the next term only where the topic ends at what it has read, so exactly
 * one candidate wins a term. The term is the epoch of the leader's appends and the fencing token of
 * its orders. Each candidate starts at a random sequence, so that the store never takes one
 * candidate's append for a repeat of another's.
 */
public final class LeaderElection {
  /** The writer's name that all leaders share, so that a later epoch fences an earlier one. */
  static final String WRITER = "leader";

  private static final long LEADER_TIMEOUT_MILLIS = 1_500;
  private static final long CANDIDACY_SPREAD_MILLIS = 400;
  private static final long RETRY_DELAY_MILLIS = 60;

  private final RecordStore store;
  private final String instance;
  private final InstantSource monotonicClock;
  private final ScheduledExecutorService loop;
  private final EventLog events;
  private final Listener listener;
  private final long candidacySpreadMillis;
  private final long candidacyDelayMillis;
  private LeadershipRecord lastRecord = LeadershipRecord.NONE;
  private long lastActivityMillis;
  private long offset;
  private boolean participating = true;
  private boolean proposalPending;
  private long leadingTerm;

  /** Creates an election that an instance takes part in. */
  public LeaderElection(
      RecordStore store,
      String instance,
      InstanceCapacity capacity,
      InstantSource monotonicClock,
      ScheduledExecutorService loop,
      EventLog events,
      Listener listener) {
    this.store = store;
    this.instance = instance;
    this.monotonicClock = monotonicClock;
    this.loop = loop;
    this.events = events;
    this.listener = listener;
    this.candidacySpreadMillis = Math.floorMod(instance.hashCode(), CANDIDACY_SPREAD_MILLIS);
    this.candidacyDelayMillis = capacity.candidacyDelayMillis();
    this.lastActivityMillis = monotonicClock.millis();
  }

  /** Takes a leadership record that was read. */
  public void leadershipRead(LeadershipRecord record) {
    lastRecord = record;
    lastActivityMillis = monotonicClock.millis();
    if (leadingTerm != 0 && record.term() > leadingTerm) {
      stepDown("higher-term-read");
    }
  }

  /** Takes another sign that the leader works. */
  public void leaderActive() {
    lastActivityMillis = monotonicClock.millis();
  }

  /** Takes the offset up to which the jobs topic has been read. */
  public void reached(long nextOffset) {
    offset = nextOffset;
  }

  /** Returns the term that this instance leads; 0 where it does not. */
  public long leadingTerm() {
    return leadingTerm;
  }

  /** Takes no further part. */
  public void withdraw() {
    participating = false;
  }

  /** Gives up the lead, if this instance has it, because of something that it learned. */
  public void stepDown(String cause) {
    if (leadingTerm == 0) {
      return;
    }
    events
        .event("leadership-lost")
        .with("term", leadingTerm)
        .with("cause", cause)
        .with("seenTerm", lastRecord.term())
        .write();
    leadingTerm = 0;
    lastActivityMillis = monotonicClock.millis();
    listener.leadershipLost();
  }

  /** Starts a try where the leader is due to be replaced. Called regularly. */
  public void tick(boolean storeReachable) {
    if (!storeReachable) {
      lastActivityMillis = Math.max(lastActivityMillis, monotonicClock.millis() - LEADER_TIMEOUT_MILLIS / 2);
      return;
    }
    if (!participating || proposalPending || leadingTerm != 0) {
      return;
    }
    long silenceMillis = monotonicClock.millis() - lastActivityMillis;
    long timeoutMillis = lastRecord.released() ? candidacySpreadMillis / 2 : LEADER_TIMEOUT_MILLIS + candidacySpreadMillis;
    if (silenceMillis >= timeoutMillis + candidacyDelayMillis) {
      propose(silenceMillis);
    }
  }

  private void propose(long silenceMillis) {
    proposalPending = true;
    long term = lastRecord.term() + 1;
    long sequence = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE / 2);
    events
        .event("leadership-proposed")
        .with("term", term)
        .with("silenceMillis", silenceMillis)
        .with("offset", offset)
        .write();
    append(new Proposal(term, sequence, offset));
  }

  private void append(Proposal proposal) {
    LeadershipRecord record = new LeadershipRecord(proposal.term, instance, false);
    store
        .append(
            LedgerKeys.JOBS_TOPIC,
            new WriterPosition(WRITER, proposal.term, proposal.sequence),
            OptionalLong.of(proposal.expectedEnd),
            List.of(new KeyedRecord(LedgerKeys.LEADER, record.encode())))
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "answered",
                (outcome, failure) ->
                    answered(proposal, outcome == null ? new Unknown() : outcome)),
            loop);
  }

  private void answered(Proposal proposal, AppendOutcome outcome) {
    switch (outcome) {
      case Stored stored -> proposalStored(proposal, stored);
      case Unknown unknown -> retry(proposal);
      case EndMoved moved -> proposalPending = false;
      case OutOfSequence other -> proposalPending = false;
      case Rejected rejected -> proposalPending = false;
      case Fenced fenced -> proposalFenced();
    }
  }

  private void retry(Proposal proposal) {
    if (lastRecord.term() >= proposal.term && !lastRecord.instance().equals(instance)) {
      proposalPending = false;
      return;
    }
    loop.schedule(() -> append(proposal), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void proposalFenced() {
    proposalPending = false;
    lastActivityMillis = monotonicClock.millis();
  }

  private void proposalStored(Proposal proposal, Stored stored) {
    proposalPending = false;
    if (lastRecord.term() > proposal.term || !participating) {
      return;
    }
    leadingTerm = proposal.term;
    events
        .event("leadership-won")
        .with("term", proposal.term)
        .with("offset", stored.offset())
        .write();
    listener.elected(proposal.term, proposal.sequence + 1);
  }

  private record Proposal(long term, long sequence, long expectedEnd) {}

  /** Is told when this instance takes or loses the lead, on the event loop. */
  public interface Listener {
    /** This instance leads; its next append to the jobs topic has the given sequence. */
    void elected(long term, long nextSequence);

    /** This instance no longer leads. */
    void leadershipLost();
  }
}
