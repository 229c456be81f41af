package io.dragonflyturn.internal.http;

import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.Configuration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** The API calls that show, validate, and replace the configuration. */
public final class ConfigurationRoutes implements ApiRoute {
  private final ControlPlaneAdapter control;

  /** Creates routes that use a control plane. */
  public ConfigurationRoutes(ControlPlane controlPlane) {
    this.control = new ControlPlaneAdapter(controlPlane);
  }

  @Override
  public Optional<CompletableFuture<ApiBody>> answer(ApiCall call) {
    if (call.matches("GET", "configuration")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(control.query(new ControlQuery.CurrentConfiguration()));
    }
    if (call.matches("PUT", "configuration")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(apply(call));
    }
    if (call.matches("POST", "configuration", "validate")) {
      ControlPlaneAdapter.requireOperator(call);
      ChangeBody change = JsonCodec.read(call.body(), ChangeBody.class);
      return Optional.of(
          control.query(new ControlQuery.ValidateConfiguration(change.configuration())));
    }
    return Optional.empty();
  }

  private CompletableFuture<ApiBody> apply(ApiCall call) {
    ChangeBody change = JsonCodec.read(call.body(), ChangeBody.class);
    ControlRecord record =
        new ControlRecord.ConfigurationChanged(
            change.baseVersion(),
            change.configuration(),
            call.principal().name(),
            change.summary() == null ? "configuration replaced" : change.summary());
    return control
        .outcome(record)
        .thenApply(
            outcome -> ControlPlaneAdapter.body(outcome, Map.of("version", outcome.version())));
  }

  /**
   * The body of a call that changes or validates the configuration.
   *
   * @param baseVersion the configuration version that the change is based on; 0 if the
   *     configuration is only validated
   * @param configuration the new configuration
   * @param summary a description of the change for the audit trail; null for a default text
   */
  record ChangeBody(long baseVersion, Configuration configuration, @Nullable String summary) {}
}
