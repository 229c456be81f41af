package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What the leader knows of one worker: the members that may run there, the lease that covers them,
 * and the ends that are read and recorded. Times are milliseconds of the steady clock.
 */
final class WorkerSession {
  /** A worker's clock may be this much slower than ours. */
  private static final double SLOWEST_CLOCK = 0.97;

  private static final long LEASE_MARGIN_MILLIS = 300;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private WorkerRegistration registration;
  private boolean listed = true;
  private long incarnation;
  private long anchorMillis;
  private long anchorClockMillis;
  private long leaseBoundMillis;
  private long seenEnd;
  private long recordedEnd;
  private long lastAcknowledgedEnd;
  private boolean holding;
  private boolean kickScheduled;
  private int silentHolds;

  WorkerSession(WorkerRegistration registration, long nowMillis) {
    this.registration = registration;
    this.incarnation = registration.incarnation();
    anchor(registration.clockMillis(), nowMillis);
  }

  String id() {
    return registration.id();
  }

  WorkerRegistration registration() {
    return registration;
  }

  long incarnation() {
    return incarnation;
  }

  boolean isListed() {
    return listed;
  }

  void unlist() {
    listed = false;
  }

  /** Takes a newer report; returns whether the worker has begun another life. */
  boolean update(WorkerRegistration next, long nowMillis) {
    listed = true;
    registration = next;
    if (next.incarnation() > incarnation) {
      beginLife(next.incarnation(), next.clockMillis(), nowMillis);
      return true;
    }
    return false;
  }

  /** Notes that the worker has started again, and counts its ends from the beginning. */
  void beginLife(long born, long clockMillis, long nowMillis) {
    incarnation = born;
    seenEnd = 0;
    recordedEnd = 0;
    lastAcknowledgedEnd = 0;
    anchor(clockMillis, nowMillis);
  }

  /** Takes a reading of the worker's clock that is not newer than now. */
  void anchor(long clockMillis, long nowMillis) {
    anchorClockMillis = clockMillis;
    anchorMillis = nowMillis;
  }

  /** Returns the end of a lease that is given now, on the worker's clock, and remembers it. */
  long grantLease(long leaseMillis, long nowMillis) {
    extendLeaseBound(nowMillis + leaseMillis);
    return anchorClockMillis + nowMillis - anchorMillis + leaseMillis;
  }

  /** Notes that the worker may hold a lease until a time of a clock as slow as allowed. */
  void extendLeaseBound(long untilMillis) {
    leaseBoundMillis = Math.max(leaseBoundMillis, untilMillis + LEASE_MARGIN_MILLIS);
  }

  /** Returns when every lease on the worker has ended for certain. */
  boolean leaseHasEnded(long nowMillis, long leaseMillis) {
    long drift = (long) (leaseMillis / SLOWEST_CLOCK) - leaseMillis;
    return nowMillis > leaseBoundMillis + drift;
  }

  Collection<Member> members() {
    return members.values();
  }

  @Nullable Member member(String task) {
    return members.get(task);
  }

  void add(Member member) {
    members.put(member.task(), member);
  }

  void remove(Member member) {
    members.remove(member.task(), member);
  }

  long seenEnd() {
    return seenEnd;
  }

  void endSeen(long number) {
    seenEnd = Math.max(seenEnd, number);
  }

  void endRecorded(long number) {
    recordedEnd = Math.max(recordedEnd, number);
  }

  long recordedEnd() {
    return recordedEnd;
  }

  void acknowledged(long number) {
    lastAcknowledgedEnd = Math.max(lastAcknowledgedEnd, number);
  }

  boolean owesAcknowledgement() {
    return recordedEnd > lastAcknowledgedEnd;
  }

  boolean hasUnrecordedEnds() {
    return seenEnd > recordedEnd;
  }

  boolean needsHold() {
    return !members.isEmpty() || owesAcknowledgement();
  }

  boolean isHolding() {
    return holding;
  }

  void setHolding(boolean now) {
    holding = now;
  }

  boolean isKickScheduled() {
    return kickScheduled;
  }

  void setKickScheduled(boolean now) {
    kickScheduled = now;
  }

  int silentHolds() {
    return silentHolds;
  }

  void countSilence() {
    silentHolds++;
  }

  void answered() {
    silentHolds = 0;
  }
}
