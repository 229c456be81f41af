package io.dragonflyturn.internal.policy;

/** What waiting costs the caller of a job. Within a rank, earlier tiers are served first. */
public enum ServiceTier {
  /** The job can still complete on time. */
  TIMELY,
  /** The job can no longer complete on time, but a late completion serves its caller. */
  LATE,
  /** The job exceeds the rate at which its customer may submit; it uses room that others leave. */
  OVER_RATE,
  /** The job can no longer complete while that serves its caller. */
  HOPELESS
}
