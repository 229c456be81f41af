package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.internal.membership.EntryRegistry;
import io.dragonflyturn.internal.membership.PeerTable;
import io.dragonflyturn.internal.protocol.EntryPresence;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Builds the routing view of an entry from the control state and the live entries. */
final class RoutingViewFactory {
  private final EntryRegistry entries;
  private final PeerTable peers;

  RoutingViewFactory(EntryRegistry entries, PeerTable peers) {
    this.entries = entries;
    this.peers = peers;
  }

  /** Returns the live entries of this replica and of its peers. */
  List<EntryPresence> liveEntries() {
    List<EntryPresence> live = new ArrayList<>(entries.live());
    live.addAll(peers.entries());
    return live;
  }

  /** Returns the full routing view of an entry. */
  RoutingView view(ControlState state, String entry, long logAgeMillis, boolean outageForAll) {
    List<String> customers =
        state.configuration().customers().stream().map(Customer::name).sorted().toList();
    List<Worker> targets = targets(state);
    Map<String, Integer> credits = state.credits(entry);
    Map<String, String> addresses = addresses();
    long version =
        contentVersion(state.configurationVersion(), customers, targets, credits, addresses);
    return new RoutingView(
        version,
        state.configurationVersion(),
        logAgeMillis,
        outageForAll,
        customers,
        targets,
        credits,
        addresses);
  }

  /** Returns a view without content, which tells an entry that its known view is still current. */
  static RoutingView unchanged(RoutingView view) {
    return new RoutingView(
        view.version(),
        view.configurationVersion(),
        view.logAgeMillis(),
        view.outageForAll(),
        List.of(),
        List.of(),
        Map.of(),
        Map.of());
  }

  private static List<Worker> targets(ControlState state) {
    Set<String> closedDomains =
        state.configuration().failureDomains().stream()
            .filter(domain -> !domain.acceptsStarts())
            .map(FailureDomain::name)
            .collect(Collectors.toSet());
    return state.workers().stream()
        .filter(worker -> !worker.leaving() && !closedDomains.contains(worker.failureDomain()))
        .toList();
  }

  private Map<String, String> addresses() {
    Map<String, String> addresses = new TreeMap<>();
    for (EntryPresence entry : liveEntries()) {
      addresses.put(entry.incarnation(), entry.address());
    }
    return addresses;
  }

  /**
   * Returns a version derived from a hash of the content, so that equal content has the same
   * version at every replica.
   */
  private static long contentVersion(long configurationVersion, Object... parts) {
    long version = configurationVersion;
    for (Object part : parts) {
      version = version * 1_000_003L + part.hashCode();
    }
    return version & Long.MAX_VALUE;
  }
}
