package io.dragonflyturn;

import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.util.UUID;

/**
 * A request that an entry forwards to a target.
 *
 * @param id the idempotency key: a repeated request with the same id receives the answer to the
 *     first
 * @param issued whether an entry issued the id, by {@link Dragonflyturn#issueRequestIds}
 * @param createdAt when the caller created the request; requests that are too old are rejected
 *     instead of being run again
 * @param kind the kind of the request
 * @param urgency the urgency class, which determines what is shed first under overload
 * @param deadline how long the caller waits for the answer
 * @param idempotent whether the target may run the request more than once
 * @param body the content for the target
 */
public record Request(
    String id,
    boolean issued,
    Instant createdAt,
    RequestKind kind,
    Urgency urgency,
    Duration deadline,
    boolean idempotent,
    String body) {
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

  /** Creates an urgent booking with a new random id and a deadline of 10 seconds. */
  public static Request booking(Instant now, String body) {
    return once(now, RequestKind.BOOKING, Urgency.URGENT, body);
  }

  /** Creates an inspection with a new random id and a deadline of 10 seconds. */
  public static Request inspection(Instant now, String body) {
    return once(now, RequestKind.INSPECTION, Urgency.NORMAL, body);
  }

  /** Creates an idempotent reading with a new random id and a deadline of 10 seconds. */
  public static Request reading(Instant now, String body) {
    return new Request(
        randomId(), false, now, RequestKind.READING, Urgency.NORMAL, DEFAULT_DEADLINE, true, body);
  }

  /** Returns a copy of this request with an id that an entry issued. */
  public Request withIssuedId(String issuedId) {
    return new Request(issuedId, true, createdAt, kind, urgency, deadline, idempotent, body);
  }

  /** Returns a copy of this request with an id that the caller chose. */
  public Request withId(String chosenId) {
    return new Request(chosenId, false, createdAt, kind, urgency, deadline, idempotent, body);
  }

  /** Returns a copy of this request with another urgency class. */
  public Request withUrgency(Urgency newUrgency) {
    return new Request(id, issued, createdAt, kind, newUrgency, deadline, idempotent, body);
  }

  /** Returns a copy of this request with another deadline. */
  public Request withDeadline(Duration newDeadline) {
    return new Request(id, issued, createdAt, kind, urgency, newDeadline, idempotent, body);
  }

  private static Request once(Instant now, RequestKind kind, Urgency urgency, String body) {
    return new Request(randomId(), false, now, kind, urgency, DEFAULT_DEADLINE, false, body);
  }

  private static String randomId() {
    return UUID.randomUUID().toString();
  }
}
