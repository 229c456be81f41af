package io.dragonflyturn.internal.dispatch;

/** The topics and keys under which jobs, runs, and leadership records are stored. */
public final class LedgerKeys {
  /**
   * The topic of jobs, cancellations, job states, instance addresses, and leadership records. Every
   * instance follows it.
   */
  public static final String JOBS_TOPIC = "keyed.jobs";

  /** The topic of runs. Only the leader reads and writes it. */
  public static final String RUNS_TOPIC = "keyed.runs";

  /** The key of the {@link LeadershipRecord} in both topics. */
  public static final String LEADER = "leader";

  static final char SUBMISSION = 's';
  static final char CANCELLATION = 'c';
  static final char STATE = 'p';
  static final char INSTANCE = 'i';

  private LedgerKeys() {}

  /** Returns the key of a job's submission record. */
  public static String submission(String job) {
    return SUBMISSION + job;
  }

  /** Returns whether a key is that of a job's submission record. */
  static boolean isSubmission(String key) {
    return !key.isEmpty() && key.charAt(0) == SUBMISSION;
  }

  /** Returns the key of a job's cancellation. */
  public static String cancellation(String job) {
    return CANCELLATION + job;
  }

  /** Returns the key under which an instance stores the address at which peers reach it. */
  public static String instance(String name) {
    return INSTANCE + name;
  }

  /** Returns the key of a job's state. */
  public static String state(String job) {
    return STATE + job;
  }
}
