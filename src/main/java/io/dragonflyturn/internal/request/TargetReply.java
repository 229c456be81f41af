package io.dragonflyturn.internal.request;

/** The result of an attempt at a target. */
public sealed interface TargetReply {
  /** The target ran the request, and its complete answer was received. */
  record Answered(String answer) implements TargetReply {}

  /** The target ran the request and reports that it failed. */
  record Failed(String message) implements TargetReply {}

  /** The target reports that it did not run the request. */
  record Refused(String message) implements TargetReply {}

  /** No connection could be established, and nothing was sent. */
  record NotConnected(String message) implements TargetReply {}

  /** The target may have received the request, but no complete answer was received. */
  record AnswerLost(String message) implements TargetReply {}
}
