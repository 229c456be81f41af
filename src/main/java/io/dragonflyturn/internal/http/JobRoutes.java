package io.dragonflyturn.internal.http;

import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.JobSpecification;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The API calls that submit, show, explain, and cancel jobs. */
public final class JobRoutes implements ApiRoute {
  private final ControlPlaneAdapter control;

  /** Creates routes that use a control plane. */
  public JobRoutes(ControlPlane controlPlane) {
    this.control = new ControlPlaneAdapter(controlPlane);
  }

  @Override
  public Optional<CompletableFuture<ApiBody>> answer(ApiCall call) {
    String customer = call.principal().visibleCustomer();
    if (call.matches("POST", "jobs")) {
      return Optional.of(submit(call));
    }
    if (call.matches("GET", "jobs")) {
      return Optional.of(control.query(new ControlQuery.JobList(customer)));
    }
    if (call.matches("POST", "jobs", "cancel")) {
      return Optional.of(cancel(call));
    }
    if (call.matches("GET", "jobs", "*")) {
      return Optional.of(control.query(new ControlQuery.JobStatus(call.path().get(1), customer)));
    }
    if (call.matches("GET", "jobs", "*", "explanation")) {
      return Optional.of(
          control.query(new ControlQuery.JobExplanation(call.path().get(1), customer)));
    }
    return Optional.empty();
  }

  private CompletableFuture<ApiBody> submit(ApiCall call) {
    JobSubmission submission = JsonCodec.read(call.body(), JobSubmission.class);
    JobSpecification job = submission.specification(call.principal());
    return control.propose(new ControlRecord.JobSubmitted(job), Map.of("jobId", job.id()));
  }

  private CompletableFuture<ApiBody> cancel(ApiCall call) {
    List<String> jobIds = JsonCodec.read(call.body(), CancelBody.class).jobIds();
    return checkVisible(jobIds, call.principal().visibleCustomer())
        .thenCompose(
            error ->
                error.isPresent()
                    ? CompletableFuture.completedFuture(error.get())
                    : control.propose(
                        new ControlRecord.JobsCancelled(jobIds, call.principal().name()),
                        Map.of("jobIds", jobIds)));
  }

  /**
   * Returns the error response for the first job that the customer may not see, or empty if all are
   * visible.
   */
  private CompletableFuture<Optional<ApiBody>> checkVisible(List<String> jobIds, String customer) {
    if (customer.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    List<CompletableFuture<ApiBody>> statuses = new ArrayList<>();
    for (String jobId : jobIds) {
      statuses.add(control.query(new ControlQuery.JobStatus(jobId, customer)));
    }
    return CompletableFuture.allOf(statuses.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                statuses.stream()
                    .map(CompletableFuture::join)
                    .filter(status -> status.code() != 0)
                    .findFirst());
  }

  /**
   * The body of {@code POST /v1/jobs/cancel}.
   *
   * @param jobIds the IDs of the jobs to cancel
   */
  record CancelBody(List<String> jobIds) {
    CancelBody {
      jobIds = List.copyOf(jobIds);
    }
  }
}
