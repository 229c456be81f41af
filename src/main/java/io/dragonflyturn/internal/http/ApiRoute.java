package io.dragonflyturn.internal.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Handles a group of related calls of the HTTP API. */
@FunctionalInterface
public interface ApiRoute {
  /** Returns a future of the response body, or empty if this route does not handle the call. */
  Optional<CompletableFuture<ApiBody>> answer(ApiCall call);
}
