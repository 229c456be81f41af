package io.dragonflyturn.internal.entry;

import io.dragonflyturn.internal.protocol.RoutingView;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * Removes the targets of failure domains that operators took out in an emergency from the routing
 * views of this entry.
 */
public final class EmergencyDomainFilter implements UnaryOperator<RoutingView> {
  private final Set<String> takenOut = ConcurrentHashMap.newKeySet();

  /** Stops sending requests to a failure domain. */
  public void takeOut(String failureDomain) {
    takenOut.add(failureDomain);
  }

  /** Resumes sending requests to a failure domain, as far as the routing view permits it. */
  public void release(String failureDomain) {
    takenOut.remove(failureDomain);
  }

  /**
   * Removes the targets of each taken-out failure domain, until a view without these targets shows
   * that the log contains the change. From then on the routing view alone decides.
   */
  @Override
  public RoutingView apply(RoutingView view) {
    if (!view.targets().isEmpty()) {
      takenOut.removeIf(domain -> isWithoutTargets(view, domain));
    }
    if (takenOut.isEmpty()) {
      return view;
    }
    return new RoutingView(
        view.version(),
        view.configurationVersion(),
        view.logAgeMillis(),
        view.outageForAll(),
        view.customers(),
        view.targets().stream()
            .filter(target -> !takenOut.contains(target.failureDomain()))
            .toList(),
        view.credits(),
        view.entries());
  }

  private static boolean isWithoutTargets(RoutingView view, String failureDomain) {
    return view.targets().stream()
        .noneMatch(target -> target.failureDomain().equals(failureDomain));
  }
}
