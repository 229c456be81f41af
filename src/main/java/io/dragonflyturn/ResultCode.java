package io.dragonflyturn;

/**
 * Numbered results of requests, jobs, and configuration changes.
 *
 * <p>The hundreds digit is the class of the result: 0 success, 1 invalid input, 2 not permitted, 3
 * rejected and not run, 4 run and failed, 5 outcome unknown, 6 conflict, 7 internal protocol. The
 * table in docs/ERRORS.md lists each code with its remedy.
 */
public enum ResultCode {
  OK(0, 200, Certainty.DONE),
  JOINED(1, 200, Certainty.DONE),
  MALFORMED_INPUT(100, 400, Certainty.NOT_RUN),
  UNKNOWN_FIELD(101, 400, Certainty.NOT_RUN),
  INPUT_TOO_LARGE(102, 413, Certainty.NOT_RUN),
  UNKNOWN_CUSTOMER(103, 404, Certainty.NOT_RUN),
  IMPOSSIBLE_SHAPE(104, 422, Certainty.NOT_RUN),
  STALE_REQUEST_KEY(105, 410, Certainty.NOT_RUN),
  SLOW_SENDER(106, 408, Certainty.NOT_RUN),
  INVALID_CONFIGURATION(107, 422, Certainty.NOT_RUN),
  UNKNOWN_JOB(108, 404, Certainty.NOT_RUN),
  UNKNOWN_FAILURE_DOMAIN(109, 404, Certainty.NOT_RUN),
  INVALID_SETTINGS(110, 400, Certainty.NOT_RUN),
  GUARANTEE_NOT_FEASIBLE(111, 422, Certainty.NOT_RUN),
  QUOTA_EXCEEDED(112, 429, Certainty.NOT_RUN),
  NOT_FOUND(113, 404, Certainty.NOT_RUN),
  BLOCKED_BY_GUARANTEES(114, 422, Certainty.NOT_RUN),
  UNAUTHENTICATED(200, 401, Certainty.NOT_RUN),
  FORBIDDEN(201, 403, Certainty.NOT_RUN),
  OVERLOADED(300, 503, Certainty.NOT_RUN),
  DEADLINE_BEFORE_SEND(301, 504, Certainty.NOT_RUN),
  CONTROL_STATE_STALE(302, 503, Certainty.NOT_RUN),
  LOG_UNAVAILABLE(303, 503, Certainty.NOT_RUN),
  SHUTTING_DOWN(304, 503, Certainty.NOT_RUN),
  NO_TARGET(305, 503, Certainty.NOT_RUN),
  TARGET_REFUSED(306, 503, Certainty.NOT_RUN),
  QUEUE_FULL(307, 503, Certainty.NOT_RUN),
  CANCELLED_BEFORE_RUN(308, 409, Certainty.NOT_RUN),
  RUN_AND_FAILED(400, 502, Certainty.RUN_AND_FAILED),
  JOB_FAILED_ON_SOUND_WORKERS(401, 502, Certainty.RUN_AND_FAILED),
  CANCELLED(402, 409, Certainty.RUN_AND_FAILED),
  OUTCOME_UNKNOWN(500, 504, Certainty.UNKNOWN),
  VERSION_CONFLICT(600, 409, Certainty.NOT_RUN),
  FENCED(601, 409, Certainty.NOT_RUN),
  DUPLICATE(602, 409, Certainty.NOT_RUN),
  STATE_CONFLICT(603, 409, Certainty.NOT_RUN),
  FRAME_TOO_LARGE(700, 502, Certainty.NOT_RUN),
  FRAME_BROKEN(701, 502, Certainty.NOT_RUN),
  PEER_UNREACHABLE(702, 503, Certainty.NOT_RUN),
  INTERNAL_ERROR(799, 500, Certainty.UNKNOWN);

  /** What a caller may conclude about whether the work ran. */
  public enum Certainty {
    /** The work completed. */
    DONE,
    /** Nothing ran, and nothing will run. */
    NOT_RUN,
    /** The work started and did not succeed. */
    RUN_AND_FAILED,
    /** The work may or may not have run; it is not retried. */
    UNKNOWN
  }

  private static final int NUMBERS_IN_CLASS = 100;
  private static final int EXIT_STATUS_STEP = 10;

  private final int number;
  private final int httpStatus;
  private final Certainty certainty;

  ResultCode(int number, int httpStatus, Certainty certainty) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.certainty = certainty;
  }

  /**
   * Returns the code with the given number.
   *
   * @throws IllegalArgumentException if there is no such code
   */
  public static ResultCode ofNumber(int number) {
    for (ResultCode code : values()) {
      if (code.number == number) {
        return code;
      }
    }
    throw new IllegalArgumentException("No result code has the number " + number);
  }

  /** Returns the stable number of this code. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status that carries this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns what a caller may conclude about whether the work ran. */
  public Certainty certainty() {
    return certainty;
  }

  /**
   * Returns the exit status of a command that ends with this code: 0 for success, otherwise ten
   * times the hundreds digit, from 10 for invalid input to 70 for the internal protocol.
   */
  public int exitStatus() {
    return number / NUMBERS_IN_CLASS * EXIT_STATUS_STEP;
  }

  /** Returns whether this code indicates success. */
  public boolean isSuccess() {
    return certainty == Certainty.DONE;
  }
}
