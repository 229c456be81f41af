package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The result of applying a proposed record.
 *
 * @param code {@link ResultCode#OK}, or the reason why the record was rejected
 * @param message what happened and how to correct it
 * @param offset the log offset of the batch that contained the record; -1 if there is none
 * @param version the configuration version after the record
 * @param owner for a rejected claim, the incarnation of the entry that owns the request; null
 *     otherwise
 * @param finishedCode for a rejected claim of a finished request, its recorded result code; null
 *     otherwise
 * @param answer for a rejected claim of a finished request, its recorded answer; null otherwise
 */
public record ProposalOutcome(
    ResultCode code,
    String message,
    long offset,
    long version,
    @Nullable String owner,
    @Nullable ResultCode finishedCode,
    @Nullable String answer) {

  /** Returns an outcome without the owner, code, and answer of a request. */
  public static ProposalOutcome of(ResultCode code, String message, long offset, long version) {
    return new ProposalOutcome(code, message, offset, version, null, null, null);
  }
}
