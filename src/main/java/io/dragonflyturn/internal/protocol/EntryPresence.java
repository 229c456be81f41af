package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import java.util.Objects;

/**
 * The state that an entry reports about itself with each request for a routing view.
 *
 * @param incarnation the unique ID of the entry's process incarnation
 * @param address the address at which it accepts forwarded requests, such as {@code 127.0.0.1:7000}
 * @param draining whether it is shutting down and returning its slots
 * @param settledCredits the hash, by {@link #hashOf}, of the credits that it uses; 0 while more
 *     requests are in flight than these credits allow
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntryPresence(
    String incarnation, String address, boolean draining, int settledCredits) {

  /**
   * Returns a hash of the slots by worker name. Equal slots have the same hash in every process.
   */
  public static int hashOf(Map<String, Integer> slots) {
    return Objects.hash(1, slots);
  }
}
