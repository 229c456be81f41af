package io.dragonflyturn.internal.request;

import java.util.concurrent.CompletableFuture;

/** Forwards calls to the entry that owns the request. */
public interface EntryForwarder {
  /**
   * Forwards a call; the receiving entry passes it to {@link RequestService#handleForwarded}.
   *
   * <p>The future fails if no response arrives, in which case the owner may still have received the
   * call.
   *
   * @param incarnation the incarnation of the owning entry; an entry with another incarnation at
   *     the same address must reject the call
   * @param address the address of the owning entry
   * @param call the call to forward
   */
  CompletableFuture<RequestResponse> forward(String incarnation, String address, RequestCall call);
}
