package io.dragonflyturn;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.dragonflyturn.model.MemberPlacement;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The state of a job. Times are in milliseconds since the epoch, or 0 if not set.
 *
 * @param jobId the id
 * @param customer the customer that the job belongs to
 * @param phase the lifecycle phase of the job
 * @param attempt the number of the current or last attempt; 0 before the first
 * @param placements where the members of the attempt run
 * @param submittedAtMillis when the job was submitted
 * @param firstStartedAtMillis when all members first ran
 * @param endedAtMillis when the job ended
 * @param endCode the number of the result code; null until the job ends
 * @param endName the name of the result code; null until the job ends
 * @param reason the reason for the last scheduling decision
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record JobStatus(
    String jobId,
    String customer,
    String phase,
    int attempt,
    List<MemberPlacement> placements,
    long submittedAtMillis,
    long firstStartedAtMillis,
    long endedAtMillis,
    @Nullable Integer endCode,
    @Nullable String endName,
    String reason) {
  /** Copies the placements; null becomes an empty list. */
  public JobStatus {
    placements = placements == null ? List.of() : List.copyOf(placements);
  }

  /** Returns whether the job has ended. */
  public boolean ended() {
    return endCode != null;
  }
}
