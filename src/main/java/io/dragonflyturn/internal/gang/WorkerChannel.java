package io.dragonflyturn.internal.gang;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The communication state of one worker. At most one exchange is in flight at a time, and it renews
 * the leases of all members on the worker together. Not thread-safe.
 */
final class WorkerChannel {
  /** The poll interval is at most the age of the youngest running gang divided by this. */
  private static final int POLL_AGE_DIVISOR = 4;

  private final String worker;
  private final Set<ChannelMember> members = new LinkedHashSet<>();
  private final Set<WorkerCommand> cleanupCommands = new LinkedHashSet<>();
  private boolean inFlight;
  private boolean unresponsive;
  private long nextPollMillis;

  WorkerChannel(String worker) {
    this.worker = worker;
  }

  String worker() {
    return worker;
  }

  Set<ChannelMember> members() {
    return members;
  }

  boolean inFlight() {
    return inFlight;
  }

  /** Returns whether the last exchange was not answered. */
  boolean unresponsive() {
    return unresponsive;
  }

  boolean isIdle() {
    return members.isEmpty() && cleanupCommands.isEmpty() && !inFlight;
  }

  boolean pollDue(long nowMillis) {
    return !members.isEmpty() && contactDue(nowMillis);
  }

  /** Returns whether the pause after the last exchange is over. */
  boolean contactDue(long nowMillis) {
    return nowMillis >= nextPollMillis;
  }

  /** Adds a command for a task that belongs to no placed gang. */
  void addCleanupCommand(WorkerCommand command) {
    cleanupCommands.add(command);
  }

  List<WorkerCommand> cleanupCommands() {
    return new ArrayList<>(cleanupCommands);
  }

  void removeCleanupCommands(List<WorkerCommand> sent) {
    sent.forEach(cleanupCommands::remove);
  }

  void recordSent() {
    inFlight = true;
  }

  void recordAnswer(GangTimings timings, long nowMillis) {
    long intervalMillis = unresponsive ? 0 : pollIntervalMillis(timings, nowMillis);
    inFlight = false;
    unresponsive = false;
    nextPollMillis = nowMillis + intervalMillis;
  }

  void recordNoAnswer(GangTimings timings, long nowMillis) {
    inFlight = false;
    unresponsive = true;
    nextPollMillis = nowMillis + timings.retryIntervalMillis();
  }

  /**
   * Returns the time until the next poll. It grows with the age of the youngest running gang, so
   * that the end of a short job is detected quickly.
   */
  private long pollIntervalMillis(GangTimings timings, long nowMillis) {
    long intervalMillis = timings.renewalIntervalMillis();
    for (ChannelMember member : members) {
      if (member.stateMachine().stage() instanceof GangStage.Running running) {
        intervalMillis =
            Math.min(intervalMillis, (nowMillis - running.sinceMillis()) / POLL_AGE_DIVISOR);
      }
    }
    return Math.max(intervalMillis, timings.minPollIntervalMillis());
  }

  /** A member on this worker, with the state machine of its gang. */
  record ChannelMember(GangStateMachine stateMachine, GangMember member) {}
}
