package io.dragonflyturn.internal.http;

/** The result of the health check that a load balancer calls. */
public enum Health {
  /** The process accepts calls. */
  OK(200),
  /** The process is running but cannot serve calls yet. */
  STARTING(503),
  /** The process is shutting down and accepts no new calls. */
  DRAINING(503);

  private final int httpStatus;

  Health(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  int httpStatus() {
    return httpStatus;
  }
}
