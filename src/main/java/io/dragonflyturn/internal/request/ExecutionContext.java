package io.dragonflyturn.internal.request;

import java.time.InstantSource;
import java.util.function.Supplier;

/** The collaborators that all request executions of one entry share. */
record ExecutionContext(
    Supplier<RoutingSnapshot> routing,
    SlotQueue slots,
    FreshnessCheck freshness,
    RetryBudget retryBudget,
    TargetClient client,
    AttemptIdGenerator attemptIds,
    InstantSource monotonic,
    RequestTimer timer,
    RequestMetrics metrics,
    RequestSettings settings) {}
