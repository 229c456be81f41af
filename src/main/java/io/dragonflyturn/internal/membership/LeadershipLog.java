package io.dragonflyturn.internal.membership;

import java.time.Duration;

/** Gives {@link LeaderElector} access to the leadership in the replicated state. */
public interface LeadershipLog {
  /** Returns the current term; 0 before the first leader. */
  long term();

  /** Returns the incarnation of the leader of the current term; empty if there is none. */
  String leader();

  /** Returns the age of this replica's view of the log. */
  Duration logAge();

  /** Proposes a claim of leadership for the term after {@code expectedTerm}. */
  void claim(String candidate, long expectedTerm);

  /** Proposes a renewal of the leadership lease. */
  void renew(String leader, long term);

  /** Proposes a release of leadership. */
  void release(String leader, long term);
}
