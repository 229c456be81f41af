package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.AppendId;
import io.dragonflyturn.internal.ledger.AppendOutcome;
import io.dragonflyturn.internal.ledger.AppendOutcome.EndOffsetMismatch;
import io.dragonflyturn.internal.ledger.AppendOutcome.Fenced;
import io.dragonflyturn.internal.ledger.AppendOutcome.Invalid;
import io.dragonflyturn.internal.ledger.AppendOutcome.OutOfSequence;
import io.dragonflyturn.internal.ledger.AppendOutcome.Rejected;
import io.dragonflyturn.internal.ledger.AppendOutcome.Stored;
import io.dragonflyturn.internal.ledger.AppendOutcome.Unknown;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.logging.LoggedCallback;
import java.time.InstantSource;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Elects a leader through appends to the jobs topic. An instance becomes a candidate if the leader
 * has written nothing to the topic for a timeout.
 *
 * <p>A candidate appends a record with the next term. The term is also the epoch of the append, and
 * each candidate starts with a random sequence number, so the store accepts only the first append
 * of a term: at most one candidate wins it. The term is the fencing token of the leader's orders,
 * too.
 *
 * <p>A first proposal is made on condition that the topic ends where the candidate has read up to,
 * which shows that no leader has been active meanwhile. Where other records keep arriving, as on a
 * slow store under load, no such proposal would ever succeed; so once the candidate has read the
 * records that came first, and no leader's is among them, it proposes itself without the condition.
 */
public final class LeaderElection {
  /** The writer name shared by all leaders, so that a later epoch fences earlier ones. */
  static final String WRITER = "leader";

  /** How long the leader may write nothing before it is replaced. */
  private static final long LEADER_TIMEOUT_MILLIS = 1_500;

  /** The range over which instances spread their candidacies, so that they rarely compete. */
  private static final long CANDIDACY_SPREAD_MILLIS = 400;

  /** How long a leader may write nothing before instances read without a pause, to replace it. */
  private static final long SUSPICION_MILLIS = 900;

  /**
   * How much longer a process that has run for a long time waits after a release than one that has
   * just started, so that in a rolling restart the leadership goes to a process that stays.
   */
  private static final long MAXIMUM_UPTIME_DELAY_MILLIS = 200;

  private static final long LONG_UPTIME_MILLIS = 60_000;

  private static final long RETRY_DELAY_MILLIS = 60;

  private final RecordStore store;
  private final String instance;
  private final InstantSource monotonicClock;
  private final ScheduledExecutorService eventLoop;
  private final EventLog events;
  private final Listener listener;
  private final long candidacySpreadMillis;
  private final long candidacyDelayMillis;
  private final long startedMillis;
  private LeadershipRecord lastRecord = LeadershipRecord.NONE;
  private long lastActivityMillis;
  private long readOffset;

  /** The end of the topic that refused a proposal; 0 once it has been read up to there. */
  private long refusedAtEnd;

  /** Whether records of callers, and none of a leader, came before the last proposal. */
  private boolean overtakenByCallers;

  private boolean participating = true;
  private boolean proposalPending;

  /** Whether this process has led a term. */
  private boolean hasLed;

  private long leadingTerm;

  /**
   * Creates an election.
   *
   * @param store the store that holds the jobs topic
   * @param instance the name of this instance
   * @param capacity the capacity of this instance
   * @param monotonicClock a clock that never goes back
   * @param eventLoop the event loop
   * @param events the event log
   * @param listener notified when this instance gains or loses the leadership
   */
  public LeaderElection(
      RecordStore store,
      String instance,
      InstanceCapacity capacity,
      InstantSource monotonicClock,
      ScheduledExecutorService eventLoop,
      EventLog events,
      Listener listener) {
    this.store = store;
    this.instance = instance;
    this.monotonicClock = monotonicClock;
    this.eventLoop = eventLoop;
    this.events = events;
    this.listener = listener;
    this.candidacySpreadMillis = Math.floorMod(instance.hashCode(), CANDIDACY_SPREAD_MILLIS);
    this.candidacyDelayMillis = capacity.candidacyDelayMillis();
    this.startedMillis = monotonicClock.millis();
    this.lastActivityMillis = startedMillis;
  }

  /**
   * Processes a leadership record that was read. Steps down if its term is higher than the term
   * that this instance leads.
   */
  public void leadershipRead(LeadershipRecord record) {
    lastRecord = record;
    leaderActive();
    if (leadingTerm != 0 && record.term() > leadingTerm) {
      stepDown("higher-term-read");
    }
  }

  /** Records that the leader is active, which restarts the leader timeout. */
  public void leaderActive() {
    lastActivityMillis = monotonicClock.millis();
    overtakenByCallers = false;
  }

  /** Records the offset up to which the jobs topic has been read. */
  public void advancedTo(long nextOffset) {
    readOffset = nextOffset;
    if (refusedAtEnd != 0 && readOffset >= refusedAtEnd) {
      refusedAtEnd = 0;
      tick(true);
    }
  }

  /**
   * Returns whether this instance has to read the topic without delay: it is the leader, or there
   * may be none, and a proposal needs the end of the topic.
   */
  public boolean needsLatestRecords() {
    return leadingTerm != 0
        || lastRecord.released()
        || monotonicClock.millis() - lastActivityMillis > SUSPICION_MILLIS;
  }

  /** Returns the term that this instance leads; 0 if it is not the leader. */
  public long leadingTerm() {
    return leadingTerm;
  }

  /** Withdraws from the election: this instance makes no further proposals. */
  public void withdraw() {
    participating = false;
  }

  /**
   * Ends the leadership of this instance; does nothing if it is not the leader.
   *
   * @param cause the reason, for the event log
   */
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

  /**
   * Proposes this instance as the leader if the leader timeout has expired. Must be called
   * regularly.
   *
   * @param storeReachable whether the store is reachable; while it is not, nothing is proposed, and
   *     the leader counts as silent for at most half of its timeout
   */
  public void tick(boolean storeReachable) {
    if (!storeReachable) {
      lastActivityMillis =
          Math.max(lastActivityMillis, monotonicClock.millis() - LEADER_TIMEOUT_MILLIS / 2);
      return;
    }
    if (!participating || proposalPending || leadingTerm != 0) {
      return;
    }
    long silenceMillis = monotonicClock.millis() - lastActivityMillis;
    if (silenceMillis >= timeoutMillis()) {
      propose(silenceMillis);
    }
  }

  /** Returns how long the leader must have been silent before this instance proposes itself. */
  private long timeoutMillis() {
    if (isRecordOfEarlierProcess()) {
      return 0;
    }
    long timeoutMillis =
        lastRecord.released()
            ? candidacySpreadMillis / 4 + uptimeDelayMillis()
            : LEADER_TIMEOUT_MILLIS + candidacySpreadMillis;
    return timeoutMillis + candidacyDelayMillis;
  }

  private long uptimeDelayMillis() {
    long uptimeMillis = Math.min(monotonicClock.millis() - startedMillis, LONG_UPTIME_MILLIS);
    return uptimeMillis * MAXIMUM_UPTIME_DELAY_MILLIS / LONG_UPTIME_MILLIS;
  }

  /**
   * Returns whether the recorded leader is an earlier process of this instance, which has ended. No
   * other instance can know this before the leader timeout.
   */
  private boolean isRecordOfEarlierProcess() {
    return !hasLed && lastRecord.instance().equals(instance);
  }

  private void propose(long silenceMillis) {
    proposalPending = true;
    long term = lastRecord.term() + 1;
    long sequence = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE / 2);
    events
        .event("leadership-proposed")
        .with("term", term)
        .with("silenceMillis", silenceMillis)
        .with("offset", readOffset)
        .write();
    OptionalLong expectedEnd =
        overtakenByCallers ? OptionalLong.empty() : OptionalLong.of(readOffset);
    append(new Proposal(term, sequence, expectedEnd, monotonicClock.millis()));
  }

  private void append(Proposal proposal) {
    LeadershipRecord record = new LeadershipRecord(proposal.term, instance, false);
    store
        .append(
            LedgerKeys.JOBS_TOPIC,
            new AppendId(WRITER, proposal.term, proposal.sequence),
            proposal.expectedEnd,
            List.of(new KeyedRecord(LedgerKeys.LEADER, record.encode())))
        .whenCompleteAsync(
            LoggedCallback.of(
                events,
                "answered",
                (outcome, failure) ->
                    proposalAnswered(proposal, outcome == null ? new Unknown() : outcome)),
            eventLoop);
  }

  private void proposalAnswered(Proposal proposal, AppendOutcome outcome) {
    switch (outcome) {
      case Stored stored -> proposalStored(proposal, stored);
      case Unknown unknown -> retryProposal(proposal);
      case EndOffsetMismatch moved -> proposalRefused(moved.endOffset());
      case Rejected rejected -> proposalPending = false;
      case Invalid invalid -> proposalPending = false;
      case OutOfSequence other -> otherCandidateWon();
      case Fenced fenced -> otherCandidateWon();
    }
  }

  /** Proposes again once the records that came first have been read. */
  private void proposalRefused(long end) {
    proposalPending = false;
    refusedAtEnd = end;
    overtakenByCallers = true;
    advancedTo(readOffset);
  }

  private void retryProposal(Proposal proposal) {
    if (lastRecord.term() >= proposal.term && !lastRecord.instance().equals(instance)) {
      proposalPending = false;
      return;
    }
    eventLoop.schedule(() -> append(proposal), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Waits for the record of the candidate that has won the proposed term or a later one. */
  private void otherCandidateWon() {
    proposalPending = false;
    leaderActive();
  }

  private void proposalStored(Proposal proposal, Stored stored) {
    proposalPending = false;
    if (lastRecord.term() > proposal.term || !participating) {
      return;
    }
    leadingTerm = proposal.term;
    hasLed = true;
    events
        .event("leadership-won")
        .with("term", proposal.term)
        .with("offset", stored.offset())
        .write();
    listener.elected(proposal.term, proposal.sequence + 1, proposal.sentMillis);
  }

  /** A proposal of this instance as the leader; all retries use the same position in the topic. */
  private record Proposal(long term, long sequence, OptionalLong expectedEnd, long sentMillis) {}

  /** Receives notifications when this instance gains or loses the leadership, on the event loop. */
  public interface Listener {
    /**
     * Called when this instance has become the leader. Records that were stored before its own may
     * not have been read yet.
     *
     * @param term the term that this instance leads
     * @param nextSequence the sequence number of its next append to the jobs topic
     * @param proposedMillis when it sent its proposal first, which was stored later
     */
    void elected(long term, long nextSequence, long proposedMillis);

    /** Called when this instance is no longer the leader. */
    void leadershipLost();
  }
}
