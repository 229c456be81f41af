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
  private static final double MINIMUM_CLOCK_RATE = 0.97;

  private static final long LEASE_MARGIN_MILLIS = 300;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private WorkerRegistration registration;
  private boolean registered = true;
  private long incarnation;
  private long clockReadMillis;
  private long workerClockMillis;
  private long latestLeaseEndMillis;
  private long lastSeenEnd;
  private long lastRecordedEnd;
  private long lastAcknowledgedEnd;
  private boolean polling;
  private boolean pollScheduled;
  private int unansweredPolls;

  WorkerSession(WorkerRegistration registration, long nowMillis) {
    this.registration = registration;
    this.incarnation = registration.incarnation();
    synchronizeClock(registration.clockMillis(), nowMillis);
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

  boolean isRegistered() {
    return registered;
  }

  void markUnregistered() {
    registered = false;
  }

  /** Takes a newer report; returns whether the worker has begun another life. */
  boolean update(WorkerRegistration next, long nowMillis) {
    registered = true;
    registration = next;
    if (next.incarnation() > incarnation) {
      beginIncarnation(next.incarnation(), next.clockMillis(), nowMillis);
      return true;
    }
    return false;
  }

  /** Notes that the worker has started again, and counts its ends from the beginning. */
  void beginIncarnation(long nextIncarnation, long clockMillis, long nowMillis) {
    incarnation = nextIncarnation;
    lastSeenEnd = 0;
    lastRecordedEnd = 0;
    lastAcknowledgedEnd = 0;
    synchronizeClock(clockMillis, nowMillis);
  }

  /** Takes a reading of the worker's clock that is not newer than now. */
  void synchronizeClock(long clockMillis, long nowMillis) {
    workerClockMillis = clockMillis;
    clockReadMillis = nowMillis;
  }

  /** Returns the end of a lease that is given now, on the worker's clock, and remembers it. */
  long grantLease(long leaseMillis, long nowMillis) {
    extendLatestLeaseEnd(nowMillis + leaseMillis);
    return workerClockMillis + nowMillis - clockReadMillis + leaseMillis;
  }

  /** Notes that the worker may hold a lease until a time of a clock as slow as allowed. */
  void extendLatestLeaseEnd(long untilMillis) {
    latestLeaseEndMillis = Math.max(latestLeaseEndMillis, untilMillis + LEASE_MARGIN_MILLIS);
  }

  /** Returns when every lease on the worker has ended for certain. */
  boolean haveLeasesExpired(long nowMillis, long leaseMillis) {
    long drift = (long) (leaseMillis / MINIMUM_CLOCK_RATE) - leaseMillis;
    return nowMillis > latestLeaseEndMillis + drift;
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

  long lastSeenEnd() {
    return lastSeenEnd;
  }

  void markEndSeen(long number) {
    lastSeenEnd = Math.max(lastSeenEnd, number);
  }

  void markEndRecorded(long number) {
    lastRecordedEnd = Math.max(lastRecordedEnd, number);
  }

  long lastRecordedEnd() {
    return lastRecordedEnd;
  }

  void markEndAcknowledged(long number) {
    lastAcknowledgedEnd = Math.max(lastAcknowledgedEnd, number);
  }

  boolean hasUnacknowledgedEnds() {
    return lastRecordedEnd > lastAcknowledgedEnd;
  }

  boolean hasUnrecordedEnds() {
    return lastSeenEnd > lastRecordedEnd;
  }

  boolean needsPoll() {
    return !members.isEmpty() || hasUnacknowledgedEnds();
  }

  boolean isPolling() {
    return polling;
  }

  void setPolling(boolean now) {
    polling = now;
  }

  boolean isPollScheduled() {
    return pollScheduled;
  }

  void setPollScheduled(boolean now) {
    pollScheduled = now;
  }

  int unansweredPolls() {
    return unansweredPolls;
  }

  void countUnansweredPoll() {
    unansweredPolls++;
  }

  void resetUnansweredPolls() {
    unansweredPolls = 0;
  }
}
