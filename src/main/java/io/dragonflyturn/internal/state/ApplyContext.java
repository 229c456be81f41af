package io.dragonflyturn.internal.state;

/**
 * The log position, envelope, and time at which a record is applied.
 *
 * @param offset the offset of the batch that contains the record
 * @param envelope the envelope that contains the record
 * @param stateMillis the current state time, in milliseconds since the epoch
 */
record ApplyContext(long offset, Envelope envelope, long stateMillis) {
  /**
   * Returns the timestamp of the record: the writer's clock, limited to {@link StateClock#MAX_SKEW}
   * from the state time, in milliseconds since the epoch.
   */
  long atMillis() {
    return StateClock.clampToStateTime(envelope.atMillis(), stateMillis);
  }
}
