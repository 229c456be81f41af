package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ControlQuery;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Shows the audit trail, the report, and the state of the replica. */
public final class OperatorRoutes implements ApiRoute {
  /** The audit entries that one call returns where it names no number. */
  private static final long DEFAULT_AUDIT_ENTRIES = 100;

  private final ControlPlaneAdapter control;

  /** Creates routes over a control plane. */
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
    long from = number(call, "from", 0);
    long most = number(call, "most", DEFAULT_AUDIT_ENTRIES);
    return control.query(new ControlQuery.AuditTrail(from, (int) Math.min(most, 1_000)));
  }

  private static long number(ApiCall call, String name, long fallback) {
    String text = call.query().get(name);
    if (text == null) {
      return fallback;
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
