package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.dragonflyturn.model.Configuration;

/** A read-only query to a scheduler replica. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlQuery.JobStatus.class, name = "status"),
  @JsonSubTypes.Type(value = ControlQuery.JobList.class, name = "list"),
  @JsonSubTypes.Type(value = ControlQuery.JobExplanation.class, name = "explain"),
  @JsonSubTypes.Type(value = ControlQuery.DomainExplanation.class, name = "domain"),
  @JsonSubTypes.Type(value = ControlQuery.CurrentConfiguration.class, name = "configuration"),
  @JsonSubTypes.Type(value = ControlQuery.ValidateConfiguration.class, name = "validate"),
  @JsonSubTypes.Type(value = ControlQuery.AuditTrail.class, name = "audit"),
  @JsonSubTypes.Type(value = ControlQuery.ReplicaSummary.class, name = "summary"),
  @JsonSubTypes.Type(value = ControlQuery.Report.class, name = "report")
})
public sealed interface ControlQuery {
  /** The status of one job. An empty customer means that an operator asks. */
  record JobStatus(String jobId, String customer) implements ControlQuery {}

  /** The jobs of a customer. An empty customer selects the jobs of all customers. */
  record JobList(String customer) implements ControlQuery {}

  /** The phase of a job and the reason for it. An empty customer means that an operator asks. */
  record JobExplanation(String jobId, String customer) implements ControlQuery {}

  /** The service state, capacity, and jobs of a failure domain. */
  record DomainExplanation(String failureDomain) implements ControlQuery {}

  /** The current configuration and its version. */
  record CurrentConfiguration() implements ControlQuery {}

  /** The problems that validation finds in a proposed configuration. */
  record ValidateConfiguration(Configuration configuration) implements ControlQuery {}

  /** At most {@code most} audit entries, starting at a position. */
  record AuditTrail(long fromPosition, int most) implements ControlQuery {}

  /** The log position, leader, and object counts of the replica. */
  record ReplicaSummary() implements ControlQuery {}

  /** The data of the quarterly report. */
  record Report() implements ControlQuery {}
}
