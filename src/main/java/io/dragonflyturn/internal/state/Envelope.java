package io.dragonflyturn.internal.state;

/**
 * A proposed record in the control stream, with the metadata that is needed to accept or reject it.
 *
 * @param writer the writer's incarnation, unique for each process start
 * @param sequence the writer's sequence number, starting at 1, without gaps for accepted batches
 * @param decidedFrom the offset of the last log batch that the writer had applied when it proposed
 *     the record; -1 if there is none
 * @param term the leadership term of the writer; 0 if it does not act as the leader
 * @param region the region of the writer
 * @param atMillis the time on the writer's clock, in milliseconds since the epoch
 * @param record the proposed change
 */
public record Envelope(
    String writer,
    long sequence,
    long decidedFrom,
    long term,
    String region,
    long atMillis,
    ControlRecord record) {}
