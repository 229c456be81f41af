package io.dragonflyturn.model;

/** The topology level within which all members of a gang must be placed, from narrow to wide. */
public enum Span {
  /** All members on one worker. */
  WORKER,
  /** All members on workers of one rack. */
  RACK,
  /** All members in one failure domain. */
  FAILURE_DOMAIN,
  /** Members anywhere in the region. */
  REGION
}
