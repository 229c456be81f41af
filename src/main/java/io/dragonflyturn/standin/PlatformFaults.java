package io.dragonflyturn.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Change to the faults that the platform stand-in injects. A null field leaves the corresponding
 * fault unchanged.
 *
 * @param stopped whether the log rejects every call immediately with an error
 * @param hanging whether the log accepts calls without responding
 * @param delayMillis the delay of each log call, in milliseconds
 * @param loseAppends the number of upcoming appends that are dropped without effect or response
 * @param loseAnswers the number of upcoming appends that take effect without a response
 * @param expireBelow the offset below which records are removed, by stream
 * @param listFrozen whether the visible instance list stops changing
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record PlatformFaults(
    @Nullable Boolean stopped,
    @Nullable Boolean hanging,
    @Nullable Long delayMillis,
    @Nullable Integer loseAppends,
    @Nullable Integer loseAnswers,
    @Nullable Map<String, Long> expireBelow,
    @Nullable Boolean listFrozen) {
  /** A change that leaves all faults as they are. */
  public static final PlatformFaults NONE =
      new PlatformFaults(null, null, null, null, null, null, null);

  /** Returns a change that clears all faults; expired records stay expired. */
  public static PlatformFaults heal() {
    return new PlatformFaults(false, false, 0L, 0, 0, null, false);
  }

  /** Returns a change that makes the log reject calls, or serve them again. */
  public static PlatformFaults stop(boolean stopped) {
    return new PlatformFaults(stopped, null, null, null, null, null, null);
  }

  /** Returns a change that makes the log accept calls without responding, or ends this fault. */
  public static PlatformFaults hang(boolean hanging) {
    return new PlatformFaults(null, hanging, null, null, null, null, null);
  }

  /** Returns a change that delays every log call by the given time in milliseconds. */
  public static PlatformFaults delay(long delayMillis) {
    return new PlatformFaults(null, null, delayMillis, null, null, null, null);
  }

  /** Returns a change that drops the next appends before they take effect. */
  public static PlatformFaults loseAppends(int count) {
    return new PlatformFaults(null, null, null, count, null, null, null);
  }

  /** Returns a change that drops the responses to the next appends after they take effect. */
  public static PlatformFaults loseAnswers(int count) {
    return new PlatformFaults(null, null, null, null, count, null, null);
  }

  /** Returns a change that removes the records of a stream below an offset. */
  public static PlatformFaults expire(String stream, long offset) {
    return new PlatformFaults(null, null, null, null, null, Map.of(stream, offset), null);
  }
}
