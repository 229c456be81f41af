package io.dragonflyturn.model;

/**
 * The value of a metric at one point in time.
 *
 * @param atMillis the time, in milliseconds since the epoch
 * @param value the value in the unit of its series
 */
public record ReportPoint(long atMillis, double value) {}
