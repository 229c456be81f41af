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

/** Takes failure domains out of service and brings them back. */
public final class DomainRoutes implements ApiRoute {
  /** How long running work may stay where a call names no time. */
  private static final Duration DEFAULT_LEAVE_WITHIN = Duration.ofMinutes(5);

  /** The version that stands for any version. */
  private static final long ANY_VERSION = -1;

  private final ControlPlaneAdapter control;
  private final EmergencyTakeOutService brake;

  /** Creates routes over a control plane and the brake for outages of the log. */
  public DomainRoutes(ControlPlane controlPlane, EmergencyTakeOutService brake) {
    this.control = new ControlPlaneAdapter(controlPlane);
    this.brake = brake;
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
    TakeOutBody departure =
        call.body().length == 0
            ? new TakeOutBody(null, null, null)
            : JsonCodec.read(call.body(), TakeOutBody.class);
    ControlRecord.DomainServiceChanged record =
        new ControlRecord.DomainServiceChanged(
            departure.baseVersion() == null ? ANY_VERSION : departure.baseVersion(),
            call.path().get(1),
            ServiceState.TAKEN_OUT,
            departure.leaveWithin().toMillis(),
            call.principal().name());
    if (Boolean.TRUE.equals(departure.emergency())) {
      return brake.takeOut(record).thenApply(ApiBody::success);
    }
    return change(record);
  }

  private CompletableFuture<ApiBody> bringBack(ApiCall call) {
    brake.release(call.path().get(1));
    return change(
        new ControlRecord.DomainServiceChanged(
            ANY_VERSION, call.path().get(1), ServiceState.RETURNING, 0, call.principal().name()));
  }

  private CompletableFuture<ApiBody> change(ControlRecord.DomainServiceChanged record) {
    return control
        .outcome(record)
        .thenApply(outcome -> ControlPlaneAdapter.body(outcome, Map.of("version", outcome.version())));
  }

  /**
   * The body of a take-out call.
   *
   * @param leaveWithinSeconds how long running work may stay, in seconds; null for five minutes
   * @param emergency whether to tell every entry directly, also while the log is out
   * @param baseVersion the version that the change starts from; null for any
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
