package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.RequestTimer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.URIUtil;
import org.jspecify.annotations.Nullable;

/**
 * Handles calls of the HTTP API: authenticates the caller, reads the body, dispatches the call to
 * its route, and writes the response.
 */
public final class ApiHandler extends Handler.Abstract {
  /** The maximum size of a body in bytes. */
  public static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

  private static final String PREFIX = "/v1/";

  private final TokenDirectory tokens;
  private final List<ApiRoute> routes;
  private final Duration bodyTimeout;
  private final RequestTimer timer;

  /**
   * Creates a handler for paths that start with {@code /v1/}.
   *
   * @param tokens the directory that authenticates callers
   * @param routes the routes, tried in order
   * @param bodyTimeout the maximum time for a caller to send its body
   * @param timer the timer for the body timeout
   */
  public ApiHandler(
      TokenDirectory tokens, List<ApiRoute> routes, Duration bodyTimeout, RequestTimer timer) {
    super(InvocationType.NON_BLOCKING);
    this.tokens = tokens;
    this.routes = List.copyOf(routes);
    this.bodyTimeout = bodyTimeout;
    this.timer = timer;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    if (!path.startsWith(PREFIX)) {
      return false;
    }
    answer(request, path)
        .thenAccept(
            body -> ApiResponses.write(response, callback, ResultCode.ofNumber(body.code()), body))
        .exceptionally(failure -> fail(response, callback, failure));
    return true;
  }

  private static @Nullable Void fail(Response response, Callback callback, Throwable failure) {
    ApiResponses.writeFailure(response, callback, failure);
    return null;
  }

  private CompletableFuture<ApiBody> answer(Request request, String path) {
    Principal principal;
    try {
      principal = tokens.authenticate(request.getHeaders().get(HttpHeader.AUTHORIZATION));
    } catch (DragonflyturnException unknown) {
      return CompletableFuture.failedFuture(unknown);
    }
    return BodyReader.read(request, MAXIMUM_BODY_BYTES, bodyTimeout, timer)
        .thenApply(body -> call(request, path, principal, body))
        .thenCompose(this::route);
  }

  private static ApiCall call(Request request, String path, Principal principal, byte[] body) {
    List<String> segments =
        Arrays.stream(path.substring(PREFIX.length()).split("/")).map(URIUtil::decodePath).toList();
    Map<String, String> query = new HashMap<>();
    for (Fields.Field field : Request.extractQueryParameters(request)) {
      query.put(field.getName(), field.getValue());
    }
    return new ApiCall(request.getMethod(), segments, query, principal, body);
  }

  private CompletableFuture<ApiBody> route(ApiCall call) {
    for (ApiRoute route : routes) {
      Optional<CompletableFuture<ApiBody>> answer = route.answer(call);
      if (answer.isPresent()) {
        return answer.get();
      }
    }
    throw new DragonflyturnException(
        ResultCode.NOT_FOUND,
        call.method()
            + " /v1/"
            + String.join("/", call.path())
            + " is not a call of this API; see 'dragonflyturn --help'.");
  }
}
