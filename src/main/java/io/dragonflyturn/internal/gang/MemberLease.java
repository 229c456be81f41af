package io.dragonflyturn.internal.gang;

/**
 * Tracks the latest time at which the lease of a member can expire on its worker.
 *
 * <p>A worker accepts an extension only while the previous lease is valid, so each unanswered
 * extension can move the expiry by at most its own duration, however late it arrives. Once a later
 * message is answered, the worker ignores the earlier ones because of their sequence numbers, and a
 * worker that has restarted since ignores them because they are for its earlier incarnation.
 */
final class MemberLease {
  private static final long NONE_MILLIS = Long.MIN_VALUE;

  private final long messageLifetimeMillis;
  private long latestExpiryMillis = NONE_MILLIS;
  private long expiryBeforeLastSendMillis = NONE_MILLIS;
  private long lastLeaseMillis;

  MemberLease(long messageLifetimeMillis) {
    this.messageLifetimeMillis = messageLifetimeMillis;
  }

  /** Assumes that an earlier leader granted a lease that expires no later than the given time. */
  void adopt(long expiryMillis) {
    latestExpiryMillis = expiryMillis;
  }

  /** Records that a message that grants a lease was sent. */
  void recordSent(long leaseMillis, long nowMillis) {
    expiryBeforeLastSendMillis = latestExpiryMillis;
    boolean mayBeActive = latestExpiryMillis != NONE_MILLIS && latestExpiryMillis > nowMillis;
    long latestStartMillis = mayBeActive ? latestExpiryMillis : nowMillis + messageLifetimeMillis;
    latestExpiryMillis = latestStartMillis + leaseMillis;
    lastLeaseMillis = leaseMillis;
  }

  /** Records that the last message was answered, so it must have arrived by now. */
  void recordAnswer(long nowMillis) {
    latestExpiryMillis = nowMillis + lastLeaseMillis;
  }

  /** Records that the last message was never sent, and restores the previous expiry. */
  void recordNotSent() {
    latestExpiryMillis = expiryBeforeLastSendMillis;
  }

  /** Returns whether no lease can still be valid. */
  boolean definitelyExpired(long nowMillis) {
    return latestExpiryMillis == NONE_MILLIS || nowMillis > latestExpiryMillis;
  }

  /** Returns whether a lease was ever granted or assumed. */
  boolean wasEverGranted() {
    return latestExpiryMillis != NONE_MILLIS;
  }
}
