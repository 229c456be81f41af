package io.dragonflyturn.internal.intake;

/** A call of a caller, as an instance takes it or passes it on to a peer. */
public sealed interface ApiCall {
  /** Returns who calls, and for which queue. */
  CallerRequest request();

  /** Submits a job; a job of the same identifier is joined. */
  record Submit(CallerRequest request, String id, JobContent content) implements ApiCall {}

  /** Cancels a job. */
  record Cancel(CallerRequest request, String id) implements ApiCall {}

  /** Asks for a job's phase. */
  record ReadPhase(CallerRequest request, String id) implements ApiCall {}

  /** Asks how many jobs of a queue have not begun. */
  record CountWaiting(CallerRequest request) implements ApiCall {}
}
