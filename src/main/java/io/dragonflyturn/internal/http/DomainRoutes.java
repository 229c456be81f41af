package io.dragonflyturn.internal.http;

import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.ServiceState;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * The API calls that take failure domains out of service, bring them back, and explain their state.
 */
public final class DomainRoutes implements ApiRoute {
  /** The time that running work may stay in the failure domain if the call does not specify it. */
  private static final Duration DEFAULT_LEAVE_WITHIN = Duration.ofMinutes(5);

  /** The base version that matches every configuration version. */
  private static final long ANY_VERSION = -1;

  private final ControlPlaneAdapter control;
  private final EmergencyTakeOutService emergencyService;

  /** Creates routes that use a control plane, and a service for emergency take-outs. */
  public DomainRoutes(ControlPlane controlPlane, EmergencyTakeOutService emergencyService) {
    this.control = new ControlPlaneAdapter(controlPlane);
    this.emergencyService = emergencyService;
  }

  @Override
  public Optional<CompletableFuture<ApiBody>> answer(ApiCall call) {
    if (call.matches("POST", "domains", "*", "take-out")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(takeOut(call));
    }
    if (call.matches("POST", "domains", "*", "bring-back")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(bringBack(call));
    }
    if (call.matches("GET", "domains", "*", "explanation")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(control.query(new ControlQuery.DomainExplanation(call.path().get(1))));
    }
    return Optional.empty();
  }

  private CompletableFuture<ApiBody> takeOut(ApiCall call) {
    TakeOutBody request =
        call.body().length == 0
            ? new TakeOutBody(null, null, null)
            : JsonCodec.read(call.body(), TakeOutBody.class);
    ControlRecord.DomainServiceChanged record =
        new ControlRecord.DomainServiceChanged(
            request.baseVersion() == null ? ANY_VERSION : request.baseVersion(),
            call.path().get(1),
            ServiceState.TAKEN_OUT,
            request.leaveWithin().toMillis(),
            call.principal().name());
    if (Boolean.TRUE.equals(request.emergency())) {
      return emergencyService.takeOut(record).thenApply(ApiBody::success);
    }
    return change(record);
  }

  private CompletableFuture<ApiBody> bringBack(ApiCall call) {
    emergencyService.release(call.path().get(1));
    return change(
        new ControlRecord.DomainServiceChanged(
            ANY_VERSION, call.path().get(1), ServiceState.RETURNING, 0, call.principal().name()));
  }

  private CompletableFuture<ApiBody> change(ControlRecord.DomainServiceChanged record) {
    return control
        .outcome(record)
        .thenApply(
            outcome -> ControlPlaneAdapter.body(outcome, Map.of("version", outcome.version())));
  }

  /**
   * The body of a take-out call.
   *
   * @param leaveWithinSeconds the time that running work may stay, in seconds; null for five
   *     minutes
   * @param emergency whether to notify every entry directly, which also works during a log outage
   * @param baseVersion the configuration version that the change is based on; null for any
   */
  record TakeOutBody(
      @Nullable Long leaveWithinSeconds, @Nullable Boolean emergency, @Nullable Long baseVersion) {

    Duration leaveWithin() {
      return leaveWithinSeconds == null
          ? DEFAULT_LEAVE_WITHIN
          : Duration.ofSeconds(leaveWithinSeconds);
    }
  }
}
