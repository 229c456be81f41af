package io.dragonflyturn.internal.log;

import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import java.util.concurrent.CompletableFuture;

/**
 * A proposal without an outcome yet.
 *
 * @param record the proposed record
 * @param term the leadership term of the proposal; 0 if it is not proposed by the leader
 * @param decidedFrom the offset of the last batch that was applied when the record was proposed
 * @param deadlineNanoseconds the time on the monotonic clock at which the proposal is rejected if
 *     it was not appended
 * @param future the future that completes with the outcome
 */
record PendingProposal(
    ControlRecord record,
    long term,
    long decidedFrom,
    long deadlineNanoseconds,
    CompletableFuture<ProposalOutcome> future) {}
