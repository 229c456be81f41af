package io.dragonflyturn;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.internal.client.EntryCall;
import io.dragonflyturn.internal.client.EntryClient;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.ReportData;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Urgency;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;

/**
 * Client of dragonflyturn, which sends jobs, requests, and operator changes to entries over HTTP.
 *
 * <h2>Contents</h2>
 *
 * <ol>
 *   <li><a href="#connect">Connecting</a>
 *   <li><a href="#job">Submitting a gang job and explaining why it waits</a>
 *   <li><a href="#request">Sending a booking that runs at most once</a>
 *   <li><a href="#issued">Reserving request ids for a log outage</a>
 *   <li><a href="#configuration">Changing the configuration</a>
 *   <li><a href="#domain">Taking a failure domain out and bringing it back</a>
 *   <li><a href="#failures">Handling failures</a>
 * </ol>
 *
 * <h3 id="connect">1. Connecting</h3>
 *
 * <pre>{@code
 * List<URI> entries = List.of(URI.create("http://10.0.0.1:7400"));
 * try (Dragonflyturn client = Dragonflyturn.connect(entries, "token-of-derwent")) {
 *   System.out.println(client.jobs());
 * }
 * }</pre>
 *
 * <p>With several entries, a call fails over to another entry only if that is safe: the call was
 * never sent, the entry rejected it without running it, or the call is idempotent.
 *
 * <h3 id="job">2. Submitting a gang job and explaining why it waits</h3>
 *
 * <pre>{@code
 * Shape shape = new Shape(4, 8, Span.RACK);
 * JobSpecification job =
 *     new JobSpecification(
 *         "forecast-12", "derwent", shape, Urgency.NORMAL, true, true, 3600, Map.of());
 * String id = client.submit(job);
 * System.out.println(client.status(id).phase());
 * System.out.println(client.explain(id));
 * }</pre>
 *
 * <h3 id="request">3. Sending a booking that runs at most once</h3>
 *
 * <pre>{@code
 * Request booking = Request.booking(clock.instant(), "locker 12, battery A");
 * RequestAnswer answer = client.send(booking);
 * }</pre>
 *
 * <p>A repeated request with the same id receives the answer to the first one.
 *
 * <h3 id="issued">4. Reserving request ids for a log outage</h3>
 *
 * <pre>{@code
 * List<String> ids = client.issueRequestIds(8);
 * RequestAnswer answer = client.send(booking.withIssuedId(ids.getFirst()));
 * }</pre>
 *
 * <h3 id="configuration">5. Changing the configuration</h3>
 *
 * <pre>{@code
 * VersionedConfiguration current = client.configuration();
 * List<ConfigurationProblem> problems = client.validate(changed);
 * long version = client.apply(current.version(), changed);
 * }</pre>
 *
 * <p>If another change was applied first, {@code apply} fails with {@link
 * ResultCode#VERSION_CONFLICT} and changes nothing.
 *
 * <h3 id="domain">6. Taking a failure domain out and bringing it back</h3>
 *
 * <pre>{@code
 * client.takeOut("glenorchy", Duration.ofMinutes(10), false);
 * System.out.println(client.explainDomain("glenorchy"));
 * client.bringBack("glenorchy");
 * }</pre>
 *
 * <h3 id="failures">7. Handling failures</h3>
 *
 * <pre>{@code
 * try {
 *   client.send(booking);
 * } catch (DragonflyturnException failure) {
 *   switch (failure.code().certainty()) {
 *     case NOT_RUN -> System.out.println("Nothing ran; try again later.");
 *     case RUN_AND_FAILED -> System.out.println("It ran and failed.");
 *     case UNKNOWN -> System.out.println("Check the state before you retry.");
 *     case DONE -> throw new AssertionError("A failure never has this certainty.");
 *   }
 * }
 * }</pre>
 */
public final class Dragonflyturn implements AutoCloseable {
  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final String PUT = "PUT";
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration ANSWER_MARGIN = Duration.ofSeconds(5);

  private final EntryClient calls;
  private final Duration timeout;

  private Dragonflyturn(EntryClient calls, Duration timeout) {
    this.calls = calls;
    this.timeout = timeout;
  }

  /** Creates a client with a timeout of 30 seconds per call. */
  public static Dragonflyturn connect(List<URI> entries, String token) {
    return connect(entries, token, DEFAULT_TIMEOUT);
  }

  /**
   * Creates a client for the given entries.
   *
   * @param entries the URLs of entries, in order of preference
   * @param token the token of a customer or an operator
   * @param timeout the timeout of a call; requests use their own deadline instead
   * @throws DragonflyturnException with {@link ResultCode#INVALID_SETTINGS} if the list of entries
   *     is empty
   */
  public static Dragonflyturn connect(List<URI> entries, String token, Duration timeout) {
    if (entries.isEmpty()) {
      throw Reporter.noEntries();
    }
    HttpClient client = new HttpClient();
    try {
      client.start();
    } catch (Exception failure) {
      throw new IllegalStateException("The HTTP client did not start.", failure);
    }
    return new Dragonflyturn(new EntryClient(client, entries, token), timeout);
  }

  /**
   * Submits a job and returns its id; submitting the same id again joins the existing job.
   *
   * @param job the job; an empty id is replaced by a random id, an empty customer by the calling
   *     customer
   */
  public String submit(JobSpecification job) {
    String id = job.id().isEmpty() ? "job-" + UUID.randomUUID() : job.id();
    SubmitMessage message = SubmitMessage.of(id, job);
    return calls.call(post("/v1/jobs", message, true)).path("jobId").asText();
  }

  /** Returns the status of a job. */
  public JobStatus status(String jobId) {
    return calls.call(get("/v1/jobs/" + encoded(jobId)), JobStatus.class);
  }

  /** Returns the jobs that are visible to the caller. */
  public List<JobStatus> jobs() {
    return List.of(calls.call(get("/v1/jobs"), JobStatus[].class));
  }

  /** Cancels jobs; unknown and ended jobs are ignored. */
  public void cancel(List<String> jobIds) {
    calls.call(post("/v1/jobs/cancel", Map.of("jobIds", jobIds), true));
  }

  /** Returns an explanation of the current state of a job, as a JSON document. */
  public JsonNode explain(String jobId) {
    return calls.call(get("/v1/jobs/" + encoded(jobId) + "/explanation"));
  }

  /** Sends a request and returns its answer. */
  public RequestAnswer send(Request request) {
    RequestMessage message = RequestMessage.of(request);
    long waitMillis = request.deadline().plus(ANSWER_MARGIN).toMillis();
    byte[] body = JsonCodec.write(message);
    return calls.call(
        new EntryCall(POST, "/v1/requests", body, true, waitMillis), RequestAnswer.class);
  }

  /**
   * Returns request ids that the issuing entry can run at most once even while the log is
   * unavailable.
   */
  public List<String> issueRequestIds(int count) {
    JsonNode data = calls.call(post("/v1/request-ids", Map.of("count", count), true));
    List<String> ids = new ArrayList<>();
    data.path("requestIds").forEach(id -> ids.add(id.asText()));
    return List.copyOf(ids);
  }

  /** Returns the current configuration with its version. */
  public VersionedConfiguration configuration() {
    return calls.call(get("/v1/configuration"), VersionedConfiguration.class);
  }

  /** Returns the problems of a configuration; it can be applied unless a problem rejects it. */
  public List<ConfigurationProblem> validate(Configuration configuration) {
    ConfigurationMessage body = new ConfigurationMessage(0, configuration);
    EntryCall call = post("/v1/configuration/validate", body, true);
    return calls.call(call, ProblemList.class).problems();
  }

  /**
   * Replaces the configuration and returns the new version.
   *
   * @param baseVersion the version that the change is based on
   * @throws DragonflyturnException with {@link ResultCode#VERSION_CONFLICT} if another change was
   *     applied first
   */
  public long apply(long baseVersion, Configuration configuration) {
    byte[] body = JsonCodec.write(new ConfigurationMessage(baseVersion, configuration));
    EntryCall call = new EntryCall(PUT, "/v1/configuration", body, false, timeout.toMillis());
    return calls.call(call).path("version").asLong();
  }

  /**
   * Takes a failure domain out of service.
   *
   * @param failureDomain the failure domain
   * @param leaveWithin how long running work may continue
   * @param emergency whether to notify every entry directly, even while the log is unavailable
   */
  public void takeOut(String failureDomain, Duration leaveWithin, boolean emergency) {
    TakeOutMessage body = new TakeOutMessage(leaveWithin.toSeconds(), emergency);
    calls.call(post(domainPath(failureDomain) + "/take-out", body, true));
  }

  /** Brings a failure domain back into service. */
  public void bringBack(String failureDomain) {
    calls.call(post(domainPath(failureDomain) + "/bring-back", Map.of(), true));
  }

  /** Returns an explanation of the state of a failure domain, as a JSON document. */
  public JsonNode explainDomain(String failureDomain) {
    return calls.call(get(domainPath(failureDomain) + "/explanation"));
  }

  /**
   * Returns entries of the audit trail.
   *
   * @param from the first position to return, 0 for the oldest
   * @param most the maximum number of entries to return
   */
  public List<AuditEntry> audit(long from, int most) {
    AuditPage page = calls.call(get("/v1/audit?from=" + from + "&most=" + most), AuditPage.class);
    return page.entries();
  }

  /** Returns the data of the quarterly report. */
  public ReportData report() {
    return calls.call(get("/v1/report"), ReportData.class);
  }

  /** Returns the position, the leader, and the counts of the entry's scheduler replica. */
  public JsonNode summary() {
    return calls.call(get("/v1/summary"));
  }

  /** Returns the counters and latencies of the entry as text. */
  public String metrics() {
    return calls.callForText(get("/metrics"));
  }

  @Override
  public void close() {
    calls.close();
  }

  private EntryCall get(String path) {
    return new EntryCall(GET, path, null, true, timeout.toMillis());
  }

  private EntryCall post(String path, Object body, boolean idempotent) {
    return new EntryCall(POST, path, JsonCodec.write(body), idempotent, timeout.toMillis());
  }

  private static String domainPath(String failureDomain) {
    return "/v1/domains/" + encoded(failureDomain);
  }

  private static String encoded(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private record ConfigurationMessage(long baseVersion, Configuration configuration) {}

  private record TakeOutMessage(long leaveWithinSeconds, boolean emergency) {}

  private record ProblemList(List<ConfigurationProblem> problems) {}

  private record AuditPage(List<AuditEntry> entries) {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record SubmitMessage(
      String id,
      @Nullable String customer,
      Shape shape,
      Urgency urgency,
      boolean stoppable,
      boolean checkpointable,
      long declaredSeconds,
      Map<String, String> labels) {
    static SubmitMessage of(String id, JobSpecification job) {
      return new SubmitMessage(
          id,
          job.customer().isEmpty() ? null : job.customer(),
          job.shape(),
          job.urgency(),
          job.stoppable(),
          job.checkpointable(),
          job.declaredSeconds(),
          job.labels());
    }
  }

  private record RequestMessage(
      String requestId,
      boolean issued,
      long createdAtMillis,
      String kind,
      String urgency,
      long deadlineMillis,
      boolean idempotent,
      String body) {
    static RequestMessage of(Request request) {
      return new RequestMessage(
          request.id(),
          request.issued(),
          request.createdAt().toEpochMilli(),
          request.kind().wireName(),
          request.urgency().name(),
          request.deadline().toMillis(),
          request.idempotent(),
          request.body());
    }
  }
}
