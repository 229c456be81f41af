package io.dragonflyturn.internal.state;

/**
 * The position of a writer in the log.
 *
 * @param writer the writer's incarnation
 * @param applied the highest sequence number read from the log
 * @param fenced the highest fenced sequence number
 * @param offset the log offset of the last change to this position
 */
record WriterPosition(String writer, long applied, long fenced, long offset) {}
