package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The API calls that show the audit trail, the report, and a summary of the replica. */
public final class OperatorRoutes implements ApiRoute {
  /** The number of audit entries that a call returns if it does not specify one. */
  private static final long DEFAULT_AUDIT_ENTRIES = 100;

  private final ControlPlaneAdapter control;

  /** Creates routes that use a control plane. */
  public OperatorRoutes(ControlPlane controlPlane) {
    this.control = new ControlPlaneAdapter(controlPlane);
  }

  @Override
  public Optional<CompletableFuture<ApiBody>> answer(ApiCall call) {
    if (call.matches("GET", "audit")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(audit(call));
    }
    if (call.matches("GET", "report")) {
      ControlPlaneAdapter.requireOperator(call);
      return Optional.of(control.query(new ControlQuery.Report()));
    }
    if (call.matches("GET", "summary")) {
      return Optional.of(control.query(new ControlQuery.ReplicaSummary()));
    }
    return Optional.empty();
  }

  private CompletableFuture<ApiBody> audit(ApiCall call) {
    long fromPosition = parseNumber(call, "from", 0);
    long maximumEntries = parseNumber(call, "most", DEFAULT_AUDIT_ENTRIES);
    return control.query(
        new ControlQuery.AuditTrail(fromPosition, (int) Math.min(maximumEntries, 1_000)));
  }

  private static long parseNumber(ApiCall call, String name, long defaultValue) {
    String text = call.query().get(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException invalid) {
      throw new DragonflyturnException(
          ResultCode.MALFORMED_INPUT,
          "The parameter '" + name + "' is '" + text + "'; it must be a whole number.",
          invalid);
    }
  }
}
