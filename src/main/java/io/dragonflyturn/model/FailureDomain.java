package io.dragonflyturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A failure domain and its service state, which operators control.
 *
 * @param name the unique name
 * @param region the region of the failure domain
 * @param serviceState whether work may start there
 * @param changedAtMillis when operators last changed the state, in milliseconds since the epoch
 * @param leaveWithinMillis how long running work may continue after the change, in milliseconds
 * @param labels the labels that selectors of placement rules match
 */
public record FailureDomain(
    String name,
    String region,
    ServiceState serviceState,
    long changedAtMillis,
    long leaveWithinMillis,
    Map<String, String> labels) {
  /** Checks the name and copies the labels. */
  public FailureDomain {
    Fields.require("name", name);
    labels = Fields.copy(labels);
  }

  /** Creates a failure domain from JSON, where all fields except the name are optional. */
  @JsonCreator
  static FailureDomain of(
      @JsonProperty("name") String name,
      @JsonProperty("region") @Nullable String region,
      @JsonProperty("serviceState") @Nullable ServiceState serviceState,
      @JsonProperty("changedAtMillis") @Nullable Long changedAtMillis,
      @JsonProperty("leaveWithinMillis") @Nullable Long leaveWithinMillis,
      @JsonProperty("labels") @Nullable Map<String, String> labels) {
    return new FailureDomain(
        name,
        Fields.text(region),
        serviceState == null ? ServiceState.IN_SERVICE : serviceState,
        changedAtMillis == null ? 0 : changedAtMillis,
        leaveWithinMillis == null ? 0 : leaveWithinMillis,
        Fields.copy(labels));
  }

  /** Returns whether work may start in this failure domain. */
  public boolean acceptsStarts() {
    return serviceState != ServiceState.TAKEN_OUT;
  }
}
