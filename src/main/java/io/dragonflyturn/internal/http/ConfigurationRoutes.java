package io.dragonflyturn.internal.http;

import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.Configuration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Shows, validates, and replaces the configuration. */
public final class ConfigurationRoutes implements ApiRoute {
  private final ControlPlaneAdapter control;

  /** Creates routes over a control plane. */
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
        .thenApply(outcome -> ControlPlaneAdapter.body(outcome, Map.of("version", outcome.version())));
  }

  /**
   * The body of a call that changes or validates the configuration.
   *
   * @param baseVersion the version that the change starts from; 0 where only validated
   * @param configuration the new configuration
   * @param summary what changed, for the audit trail; null for a general text
   */
  record ChangeBody(long baseVersion, Configuration configuration, @Nullable String summary) {}
}
