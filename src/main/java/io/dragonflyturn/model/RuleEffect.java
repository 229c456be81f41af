package io.dragonflyturn.model;

/** How a placement rule restricts the jobs, failure domains, and workers that it selects. */
public enum RuleEffect {
  /** Selected jobs may run at the selected locations; other jobs may not run there. */
  ONLY,
  /** Selected jobs must run at the selected locations. */
  MUST,
  /** Selected jobs must not run at the selected locations. */
  MUST_NOT
}
