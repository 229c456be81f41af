package io.dragonflyturn.internal.intake;

/**
 * A peer's answer to a call that was passed on.
 *
 * @param configuration the version of the configuration that the peer judged by
 */
public record PeerAnswer(CallerAnswer answer, long configuration) {}
