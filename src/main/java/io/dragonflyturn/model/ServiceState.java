package io.dragonflyturn.model;

/** The service state of a failure domain, which determines whether work may start there. */
public enum ServiceState {
  /** Work may start. */
  IN_SERVICE,
  /** No work starts; running work must leave by the deadline. */
  TAKEN_OUT,
  /** The failure domain returns to service: work starts again at a limited rate. */
  RETURNING
}
