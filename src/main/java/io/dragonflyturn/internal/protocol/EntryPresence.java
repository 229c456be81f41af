package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Map;
import java.util.Objects;

/**
 * What an entry says of itself with every view that it asks for.
 *
 * @param incarnation the unique id of the entry's process start
 * @param address the address at which it takes forwarded requests, as {@code 127.0.0.1:7000}
 * @param draining whether it shuts down and gives its slots back
 * @param settledCreditsFingerprint names the slots that it keeps to, by {@link #fingerprint}; 0 while more is in
 *     flight than they allow
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EntryPresence(
    String incarnation, String address, boolean draining, int settledCreditsFingerprint) {

  /** Names an allotment of slots; the same slots have the same name in every process. */
  public static int fingerprint(Map<String, Integer> slots) {
    return Objects.hash(1, slots);
  }
}
