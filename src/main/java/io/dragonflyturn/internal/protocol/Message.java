package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.state.ControlRecord;

/** A message of the protocol between dragonflyturn processes. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = Message.Propose.class, name = "p"),
  @JsonSubTypes.Type(value = Message.Proposed.class, name = "P"),
  @JsonSubTypes.Type(value = Message.FetchView.class, name = "v"),
  @JsonSubTypes.Type(value = Message.View.class, name = "V"),
  @JsonSubTypes.Type(value = Message.Query.class, name = "q"),
  @JsonSubTypes.Type(value = Message.QueryAnswer.class, name = "Q"),
  @JsonSubTypes.Type(value = Message.Heartbeat.class, name = "h"),
  @JsonSubTypes.Type(value = Message.ReadLog.class, name = "r"),
  @JsonSubTypes.Type(value = Message.LogRead.class, name = "R"),
  @JsonSubTypes.Type(value = Message.Forward.class, name = "f"),
  @JsonSubTypes.Type(value = Message.Forwarded.class, name = "F"),
  @JsonSubTypes.Type(value = Message.EmergencyTakeOut.class, name = "e"),
  @JsonSubTypes.Type(value = Message.Acknowledged.class, name = "d"),
  @JsonSubTypes.Type(value = Message.Failed.class, name = "x")
})
public sealed interface Message {
  /** Asks a scheduler to append a record. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Propose(ControlRecord record) implements Message {}

  /** The outcome of an append. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Proposed(ProposalOutcome outcome) implements Message {}

  /** Asks a scheduler for a routing view with a version greater than the known one. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record FetchView(EntryPresence entry, long knownVersion, long waitMillis) implements Message {}

  /** A routing view. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record View(RoutingView view) implements Message {}

  /** Sends a query about the control state to a scheduler. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Query(ControlQuery query) implements Message {}

  /** The answer to a {@link Query}. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QueryAnswer(ControlAnswer answer) implements Message {}

  /** Reports the status of a replica to a peer. It is sent one-way. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(PeerStatus status) implements Message {}

  /** Asks a peer to read the log on behalf of a replica that cannot reach the log. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ReadLog(String stream, long fromOffset, long waitMillis) implements Message {}

  /** The batches that a peer read from the log. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LogRead(LogSlice slice) implements Message {}

  /** Forwards a request to the entry that owns it. The content is an encoded request call. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @SuppressWarnings("ArrayRecordComponent")
  record Forward(byte[] call) implements Message {}

  /** The answer to a forwarded request. The content is an encoded request answer. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @SuppressWarnings("ArrayRecordComponent")
  record Forwarded(byte[] answer) implements Message {}

  /**
   * Tells an entry to send no requests to a failure domain until the log confirms or contradicts
   * the take-out.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record EmergencyTakeOut(String failureDomain, String actor) implements Message {}

  /** Acknowledges a message that has no other answer. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Acknowledged() implements Message {}

  /** Reports that a message could not be handled. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Failed(ResultCode code, String message) implements Message {}
}
