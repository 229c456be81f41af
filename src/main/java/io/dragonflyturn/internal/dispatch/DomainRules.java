package io.dragonflyturn.internal.dispatch;

/** What operators have decided about failure domains. */
@FunctionalInterface
public interface DomainRules {
  /** Says whether a failure domain is out of service, so that nothing may start there. */
  boolean isOutOfService(String failureDomain);
}
