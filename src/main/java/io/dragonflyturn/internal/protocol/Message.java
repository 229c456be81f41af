package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.state.ControlRecord;

/** A message between dragonflyturn processes. */
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

  /** Asks a scheduler for a routing view above a version. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record FetchView(EntryPresence entry, long knownVersion, long waitMillis) implements Message {}

  /** A routing view. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record View(RoutingView view) implements Message {}

  /** Asks a scheduler a question about the control state. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Query(ControlQuery query) implements Message {}

  /** The answer to a question. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QueryAnswer(ControlAnswer answer) implements Message {}

  /** A replica tells a peer that it lives; it is not answered. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(PeerStatus status) implements Message {}

  /** Asks a peer to read the log, for a replica that cannot reach it. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ReadLog(String stream, long fromOffset, long waitMillis) implements Message {}

  /** Batches read from the log. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record LogRead(LogSlice slice) implements Message {}

  /** Hands a request to the entry that owns it; the content is a request call. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @SuppressWarnings("ArrayRecordComponent")
  record Forward(byte[] call) implements Message {}

  /** The answer to a forwarded request; the content is a request answer. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @SuppressWarnings("ArrayRecordComponent")
  record Forwarded(byte[] answer) implements Message {}

  /** Tells an entry to send nothing into a failure domain until the log confirms or denies it. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record EmergencyTakeOut(String failureDomain, String actor) implements Message {}

  /** The message was taken. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Acknowledged() implements Message {}

  /** The message could not be answered. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Failed(ResultCode code, String message) implements Message {}
}
