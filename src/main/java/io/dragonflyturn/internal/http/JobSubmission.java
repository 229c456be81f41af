package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Urgency;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /v1/jobs}. Missing fields have default values.
 *
 * @param id the ID of the job; null to generate one
 * @param customer the customer that owns the job; null for the caller
 * @param shape the accelerators that the gang needs at the same time
 * @param urgency the urgency class; null for normal
 * @param stoppable whether the job may be stopped; null for false
 * @param checkpointable whether the job can continue from a checkpoint; null for false
 * @param declaredSeconds the declared run time in seconds; null for unknown
 * @param labels the labels that placement rules refer to; null for none
 */
record JobSubmission(
    @Nullable String id,
    @Nullable String customer,
    @Nullable Shape shape,
    @Nullable Urgency urgency,
    @Nullable Boolean stoppable,
    @Nullable Boolean checkpointable,
    @Nullable Long declaredSeconds,
    @Nullable Map<String, String> labels) {

  /** The maximum length of an ID or customer name in characters. */
  private static final int MAXIMUM_NAME_CHARACTERS = 128;

  /** The maximum number of labels of a job. */
  private static final int MAXIMUM_LABELS = 64;

  /**
   * Returns the specification of the submitted job, with defaults applied.
   *
   * @throws DragonflyturnException if a value is invalid or the caller may not submit jobs for the
   *     customer
   */
  JobSpecification specification(Principal principal) {
    if (shape == null) {
      throw malformed("The field 'shape' is missing; give members, acceleratorsPerMember, span.");
    }
    String owner = customer == null ? principal.name() : customer;
    if (!principal.operator() && !owner.equals(principal.name())) {
      throw new DragonflyturnException(
          ResultCode.FORBIDDEN,
          "The caller '" + principal.name() + "' may not submit for '" + owner + "'.");
    }
    String jobId = id == null ? "job-" + UUID.randomUUID() : id;
    Map<String, String> actualLabels = labels == null ? Map.of() : labels;
    checkSizes(jobId, owner, actualLabels);
    return new JobSpecification(
        jobId,
        owner,
        shape,
        urgency == null ? Urgency.NORMAL : urgency,
        Boolean.TRUE.equals(stoppable),
        Boolean.TRUE.equals(checkpointable),
        declaredSeconds == null ? 0 : declaredSeconds,
        actualLabels);
  }

  private void checkSizes(String jobId, String owner, Map<String, String> actualLabels) {
    checkName("id", jobId);
    checkName("customer", owner);
    if (actualLabels.size() > MAXIMUM_LABELS) {
      throw malformed("There are " + actualLabels.size() + " labels; at most 64 are allowed.");
    }
    if (declaredSeconds != null && declaredSeconds < 0) {
      throw malformed("declaredSeconds is " + declaredSeconds + "; it must not be negative.");
    }
  }

  private static void checkName(String field, String value) {
    if (value.isBlank() || value.length() > MAXIMUM_NAME_CHARACTERS || value.contains("/")) {
      throw malformed("The field '" + field + "' must have 1 to 128 characters and no '/'.");
    }
  }

  private static DragonflyturnException malformed(String message) {
    return new DragonflyturnException(ResultCode.MALFORMED_INPUT, message);
  }
}
