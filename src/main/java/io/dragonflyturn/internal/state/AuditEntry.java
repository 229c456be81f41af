package io.dragonflyturn.internal.state;

/**
 * One entry of the audit trail.
 *
 * @param position the position in the trail, starting at 0 without gaps
 * @param offset the offset of the log batch that contained the change
 * @param atMillis the timestamp of the change, in milliseconds since the epoch
 * @param actor the operator, customer, or replica that made the change
 * @param action the kind of change
 * @param fromVersion the configuration version before the change
 * @param toVersion the configuration version after the change
 * @param summary a description of the change
 */
public record AuditEntry(
    long position,
    long offset,
    long atMillis,
    String actor,
    String action,
    long fromVersion,
    long toVersion,
    String summary) {}
