package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The status that a scheduler replica sends to its peers in heartbeats.
 *
 * @param incarnation the unique ID of the replica's process incarnation
 * @param address the address of its protocol server
 * @param appliedOffset the offset of the last log batch that it applied
 * @param logReachable whether it heard from the log within the freshness bound
 * @param entries the live entries that request routing views from it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PeerStatus(
    String incarnation,
    String address,
    long appliedOffset,
    boolean logReachable,
    List<EntryPresence> entries) {
  /** Creates a status with an immutable copy of the entries. */
  public PeerStatus {
    entries = List.copyOf(entries);
  }
}
