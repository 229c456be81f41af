package io.dragonflyturn.internal.placement;

/**
 * The reason why a queued job waits, as text for operators.
 *
 * @param reason why the job does not start now
 * @param startCondition what must happen before it can start
 */
public record WaitReason(String reason, String startCondition) {}
