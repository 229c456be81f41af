package io.dragonflyturn.internal.state;

/**
 * The current leadership term and its leader.
 *
 * @param term the current term, starting at 0; it never decreases
 * @param leader the incarnation of the leader; empty if there is none
 * @param renewedAtMillis the timestamp of the last claim, renewal, or release, in milliseconds
 *     since the epoch
 * @param renewedOffset the offset of that record; -1 if there is none
 */
public record Leadership(long term, String leader, long renewedAtMillis, long renewedOffset) {
  /** The state before the first term. */
  public static final Leadership NONE = new Leadership(0, "", 0, -1);

  /** Returns whether the current term has a leader. */
  public boolean isHeld() {
    return !leader.isEmpty();
  }
}
