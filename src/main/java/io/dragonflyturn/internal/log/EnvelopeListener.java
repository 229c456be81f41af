package io.dragonflyturn.internal.log;

import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.Envelope;

/** Hears of each envelope that a replica has applied, in the order of the log. */
@FunctionalInterface
public interface EnvelopeListener {
  /** Called on the reading thread, outside of all locks; must not block. */
  void applied(Envelope envelope, ProposalOutcome outcome);
}
