package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A message with the number that correlates a call with its answer.
 *
 * @param correlation the correlation number, which the answer repeats; 0 for a one-way message
 * @param answer whether this is an answer
 * @param message the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Frame(long correlation, boolean answer, Message message) {}
