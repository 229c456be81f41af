package io.dragonflyturn.internal.placement;

/**
 * Explains to people why a queued job waits.
 *
 * @param reason why the job does not start now
 * @param startCondition what must happen before it can start
 */
public record WaitReason(String reason, String startCondition) {}
