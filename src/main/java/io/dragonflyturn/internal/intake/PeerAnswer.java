package io.dragonflyturn.internal.intake;

/**
 * A peer's answer to a forwarded call.
 *
 * @param answer the answer for the caller
 * @param configuration the configuration version with which the peer evaluated the call
 */
public record PeerAnswer(CallerAnswer answer, long configuration) {}
