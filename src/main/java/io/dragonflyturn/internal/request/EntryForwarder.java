package io.dragonflyturn.internal.request;

import java.util.concurrent.CompletableFuture;

/** Passes calls on to the entry that owns the request. */
public interface EntryForwarder {
  /**
   * Passes a call on; the other side gives it to {@link RequestService#handleForwarded}.
   *
   * <p>The future fails where no answer came; the call may have arrived.
   *
   * @param incarnation the incarnation of the owning entry; another incarnation at the address must
   *     refuse the call
   * @param address the address of the owning entry
   */
  CompletableFuture<RequestResponse> forward(String incarnation, String address, RequestCall call);
}
