package io.dragonflyturn.measure.state;

/**
 * Measurement of the control state with one number of running tasks.
 *
 * @param runningTasks the number of running gang members
 * @param records the number of records applied to reach the state
 * @param recordBytes the mean size of a record in the control stream, in bytes
 * @param applyMicroseconds the mean time to apply a record, in microseconds
 * @param snapshotBytes the size of a snapshot, in bytes
 * @param snapshotBytesPerSecond the snapshot bytes written per second at the default snapshot
 *     interval
 * @param snapshotMilliseconds the time to create and encode a snapshot, in milliseconds
 * @param startMilliseconds the time from the start of a replica until it has caught up, in
 *     milliseconds; measured with an in-memory log, in the process that has just written the
 *     snapshot
 * @param heapBytes the heap memory used by the state, in bytes
 */
record StateFigures(
    int runningTasks,
    int records,
    double recordBytes,
    double applyMicroseconds,
    long snapshotBytes,
    double snapshotBytesPerSecond,
    double snapshotMilliseconds,
    double startMilliseconds,
    long heapBytes) {}
