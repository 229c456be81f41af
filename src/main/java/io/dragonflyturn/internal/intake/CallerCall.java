package io.dragonflyturn.internal.intake;

/** A call of the job API, received from a caller or forwarded by a peer. */
public sealed interface CallerCall {
  /** Returns the attributes of the HTTP request, which select the queue and the customer. */
  CallerRequest request();

  /** Submits a job; does nothing if a job with this identifier already exists. */
  record Submit(CallerRequest request, String id, JobContent content) implements CallerCall {}

  /** Cancels a job. */
  record Cancel(CallerRequest request, String id) implements CallerCall {}

  /** Reads the state of a job. */
  record ReadState(CallerRequest request, String id) implements CallerCall {}

  /** Counts the jobs of a queue that have not started. */
  record CountWaiting(CallerRequest request) implements CallerCall {}
}
