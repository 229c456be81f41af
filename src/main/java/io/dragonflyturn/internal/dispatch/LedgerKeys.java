package io.dragonflyturn.internal.dispatch;

/** The topics and keys under which jobs, runs, and the leadership are stored. */
public final class LedgerKeys {
  /** Jobs, cancellations, states, and the leadership; every instance follows it. */
  public static final String JOBS_TOPIC = "keyed.jobs";

  /** Runs; only the leader reads and writes it. */
  public static final String RUNS_TOPIC = "keyed.runs";

  /** The key of the {@link LeadershipRecord}. */
  public static final String LEADER = "leader";

  static final char SUBMISSION = 's';
  static final char CANCELLATION = 'c';
  static final char STATE = 'p';
  static final char INSTANCE = 'i';

  private LedgerKeys() {}

  /** Returns the key of a job's submission. */
  public static String submission(String job) {
    return SUBMISSION + job;
  }

  /** Returns the key of a job's cancellation. */
  public static String cancellation(String job) {
    return CANCELLATION + job;
  }

  /** Returns the key under which an instance stores where peers reach it. */
  public static String instance(String name) {
    return INSTANCE + name;
  }

  /** Returns the key of a job's state. */
  public static String state(String job) {
    return STATE + job;
  }
}
