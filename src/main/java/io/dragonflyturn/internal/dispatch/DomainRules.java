package io.dragonflyturn.internal.dispatch;

/** Decisions of operators about failure domains. */
@FunctionalInterface
public interface DomainRules {
  /** Returns whether a failure domain is out of service, so that no run may be placed there. */
  boolean isOutOfService(String failureDomain);
}
