package io.dragonflyturn.internal.intake;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The addresses of the other instances: those that the instances have published, or the seed
 * addresses of the settings while no other instance is known, as after a start without the store.
 */
public final class PeerDirectory implements Supplier<Map<String, String>> {
  private final Supplier<Map<String, String>> publishedAddresses;
  private final String ownName;
  private final List<String> seedAddresses;

  /**
   * Creates a directory.
   *
   * @param publishedAddresses supplies the published address of each instance by its name
   * @param ownName the name of this instance, which is left out
   * @param seedAddresses addresses of other instances that are known without the store
   */
  public PeerDirectory(
      Supplier<Map<String, String>> publishedAddresses,
      String ownName,
      List<String> seedAddresses) {
    this.publishedAddresses = publishedAddresses;
    this.ownName = ownName;
    this.seedAddresses = List.copyOf(seedAddresses);
  }

  /** Returns the addresses of peers by their names; a seed address is its own name. */
  @Override
  public Map<String, String> get() {
    Map<String, String> peers = new LinkedHashMap<>(publishedAddresses.get());
    peers.remove(ownName);
    if (peers.isEmpty()) {
      seedAddresses.forEach(address -> peers.put(address, address));
    }
    return peers;
  }
}
