package io.dragonflyturn;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * One change in the audit trail.
 *
 * @param position the position in the audit trail
 * @param atMillis the time of the change, in milliseconds since the epoch
 * @param actor who made the change
 * @param action what was done
 * @param fromVersion the configuration version before the change
 * @param toVersion the configuration version after the change
 * @param summary a description of the change
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AuditEntry(
    long position,
    long atMillis,
    String actor,
    String action,
    long fromVersion,
    long toVersion,
    String summary) {}
