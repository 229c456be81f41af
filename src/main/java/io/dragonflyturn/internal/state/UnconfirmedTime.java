package io.dragonflyturn.internal.state;

/**
 * A timestamp too far ahead of the state time to advance it without confirmation.
 *
 * @param writer the incarnation of the writer
 * @param atMillis the timestamp, in milliseconds since the epoch
 */
record UnconfirmedTime(String writer, long atMillis) {}
