package io.dragonflyturn.internal.log;

import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.Envelope;

/** Receives each envelope that a replica has applied, in log order. */
@FunctionalInterface
public interface EnvelopeListener {
  /** Called on the reader thread without locks after an envelope was applied; must not block. */
  void applied(Envelope envelope, ProposalOutcome outcome);
}
