package io.dragonflyturn.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.RequestResponse;
import io.dragonflyturn.internal.request.RequestService;
import io.dragonflyturn.internal.request.RequestTimer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Serves {@code POST /v1/requests} and {@code POST /v1/request-ids}. Other requests are left to the
 * next handler.
 */
public final class RequestsHandler extends Handler.Abstract.NonBlocking {
  private static final String REQUESTS_PATH = "/v1/requests";
  private static final String IDENTIFIERS_PATH = "/v1/request-ids";

  private final RequestService service;
  private final TokenDirectory tokens;
  private final RequestTimer timer;
  private final int maximumBodyBytes;
  private final Duration bodyTimeout;

  /**
   * Creates the handler.
   *
   * @param service the service that processes requests
   * @param tokens the directory that authenticates callers
   * @param timer the timer for the body timeout
   * @param maximumBodyBytes the maximum size of a body in bytes
   * @param bodyTimeout the maximum time for a caller to send a body
   */
  public RequestsHandler(
      RequestService service,
      TokenDirectory tokens,
      RequestTimer timer,
      int maximumBodyBytes,
      Duration bodyTimeout) {
    this.service = service;
    this.tokens = tokens;
    this.timer = timer;
    this.maximumBodyBytes = maximumBodyBytes;
    this.bodyTimeout = bodyTimeout;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    boolean isHandled = path.equals(REQUESTS_PATH) || path.equals(IDENTIFIERS_PATH);
    if (!isHandled || !HttpMethod.POST.is(request.getMethod())) {
      return false;
    }
    try {
      String customer = customer(request);
      BodyReader.read(request, maximumBodyBytes, bodyTimeout, timer)
          .thenAccept(body -> dispatch(path, customer, body, request, response, callback))
          .exceptionally(failure -> fail(response, callback, failure));
    } catch (DragonflyturnException rejection) {
      fail(response, callback, rejection);
    }
    return true;
  }

  private String customer(Request request) {
    Principal principal = tokens.authenticate(request.getHeaders().get(HttpHeader.AUTHORIZATION));
    if (principal.operator()) {
      throw new DragonflyturnException(
          ResultCode.FORBIDDEN, "Requests need the token of a customer.");
    }
    return principal.name();
  }

  private void dispatch(
      String path,
      String customer,
      byte[] body,
      Request request,
      Response response,
      Callback callback) {
    if (path.equals(IDENTIFIERS_PATH)) {
      issue(customer, body, response, callback);
    } else {
      serve(customer, body, request, response, callback);
    }
  }

  private void issue(String customer, byte[] body, Response response, Callback callback) {
    int count = JsonCodec.read(body, IdentifiersBody.class).count();
    IssuedIdentifiers issued = new IssuedIdentifiers(service.identifiers().issue(customer, count));
    ApiResponses.write(response, callback, ResultCode.OK, ApiBody.success(issued));
  }

  private void serve(
      String customer, byte[] body, Request request, Response response, Callback callback) {
    CompletableFuture<RequestResponse> answer =
        service.handle(JsonCodec.read(body, RequestBody.class).toCall(customer));
    request.addIdleTimeoutListener(timeout -> false);
    request.addFailureListener(failure -> answer.cancel(false));
    answer.whenComplete(
        (result, failure) -> {
          if (result != null) {
            write(response, callback, result);
          } else {
            callback.failed(failure);
          }
        });
  }

  private static void write(Response response, Callback callback, RequestResponse answer) {
    ApiBody body =
        new ApiBody(
            answer.code().number(),
            answer.code().name(),
            answer.message(),
            answer.retryAfterMillis(),
            new RequestResult(answer.requestId(), answer.answer(), answer.target()));
    ApiResponses.write(response, callback, answer.code(), body);
  }

  private static @Nullable Void fail(Response response, Callback callback, Throwable failure) {
    ApiResponses.writeFailure(response, callback, failure);
    return null;
  }

  /** The body of {@code POST /v1/request-ids}. */
  record IdentifiersBody(int count) {}

  /** The result of {@code POST /v1/request-ids}. */
  record IssuedIdentifiers(List<String> requestIds) {}

  /** The result of {@code POST /v1/requests}. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record RequestResult(String requestId, @Nullable String answer, @Nullable String target) {}
}
